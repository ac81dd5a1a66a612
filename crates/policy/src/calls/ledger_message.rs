//! Messages between nodes about claims of idempotency keys and about crashes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    ledger::{Claim, ClaimReply, KeptClaim, PageLimits},
    ledger_sync::Handover,
    ledger_view::LedgerKey,
    quarantine::{CrashId, Fingerprint},
};

/// Bounds of one [`LedgerReply::Claims`].
pub const PAGE_LIMITS: PageLimits = PageLimits { claims: 1_000, bytes: 1 << 20 };

/// A message to a member of a service's group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// Asks for a claim.
    Claim {
        /// Key to claim.
        key: LedgerKey,
        /// Claim to grant.
        claim: Claim,
        /// Digest of the key's replicas, as the sender sees them.
        replicas: u64,
    },
    /// Takes back a claim whose attempt didn't run.
    Release {
        /// Key that was claimed.
        key: LedgerKey,
        /// Claim to take back.
        claim: Claim,
    },
    /// Hands over the answer of a claim.
    Finish {
        /// Key that was claimed.
        key: LedgerKey,
        /// Claim that was answered.
        claim: Claim,
        /// The answer.
        answer: Arc<[u8]>,
    },
    /// Asks for claims, because the group changed.
    Fetch {
        /// Digest of the group, as the sender sees it.
        view: u64,
        /// Last key of the page before.
        after: Option<LedgerKey>,
    },
    /// Tells of a crash and of the requests that were running.
    Crashed {
        /// Which crash it was.
        crash: CrashId,
        /// Requests that were running.
        running: Vec<Fingerprint>,
    },
    /// Tells that a suspect ended well.
    Cleared {
        /// Request that ended well.
        fingerprint: Fingerprint,
    },
}

/// The reply to a [`LedgerMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// Reply to a claim.
    Claim(ClaimReply),
    /// The message was taken in.
    Done,
    /// The group looks different from here.
    ViewDiffers,
    /// One page of claims.
    Claims {
        /// Claims in the order of their keys.
        claims: Vec<KeptClaim>,
        /// Set on the last page.
        handover: Option<Handover>,
    },
}
