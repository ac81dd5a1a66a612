//! Messages to the members of a service's group, about claims of idempotency keys
//! and about requests that may crash backend servers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    crash_notice::CrashNotice,
    ledger::{Claim, ClaimReply, KeptClaim, PageLimits},
    ledger_sync::Handover,
    ledger_view::LedgerKey,
};

/// Bounds of the page in one [`LedgerReply::Claims`].
pub const PAGE_LIMITS: PageLimits = PageLimits { claims: 1_000, bytes: 1 << 20 };

/// A request to a member of a service's group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// Asks the replica to grant a claim.
    Claim {
        /// Key to claim.
        key: LedgerKey,
        /// Claim to grant.
        claim: Claim,
        /// Digest of the key's replicas in the sender's view; a replica whose own
        /// view gives another digest doesn't decide.
        replicas: u64,
    },
    /// Releases a claim whose attempt didn't run.
    Release {
        /// Key that was claimed.
        key: LedgerKey,
        /// Claim to release.
        claim: Claim,
    },
    /// Stores the answer of a claim.
    Finish {
        /// Key that was claimed.
        key: LedgerKey,
        /// Claim that was answered.
        claim: Claim,
        /// The answer to the request of the claim.
        answer: Arc<[u8]>,
    },
    /// Asks for a page of claims, because the group changed.
    Fetch {
        /// Digest of the sender's view of the group.
        view: u64,
        /// Last key of the previous page; `None` asks for the first page.
        after: Option<LedgerKey>,
    },
    /// Reports what became known about requests that may crash backend servers.
    CrashNotices {
        /// The notices, in the order in which they were made.
        notices: Vec<CrashNotice>,
        /// Whether the receiver passes them on to the other members in its availability zone.
        is_for_zone: bool,
    },
}

/// The reply to a [`LedgerMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// Reply to [`LedgerMessage::Claim`].
    Claim(ClaimReply),
    /// The message was processed.
    Done,
    /// The member's view of the group differs from the sender's.
    ViewDiffers,
    /// Reply to [`LedgerMessage::Fetch`]: one page of claims.
    Claims {
        /// Claims in ascending order of their keys.
        claims: Vec<KeptClaim>,
        /// State of the member that sends the claims; set on the last page only.
        handover: Option<Handover>,
    },
}
