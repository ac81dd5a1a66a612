//! The replica of its service's ledger that this node keeps.
//!
//! The ledger records which attempt may run the request of an idempotency key.
//! Each node of a service stores a share of the claims and answers messages about
//! them. See `docs/design/0005-ledger.md`.

use std::{rc::Rc, time::Duration};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::{
        ledger::{ClaimLimits, ClaimReply, ClaimStore, KeptClaim},
        ledger_message::{LedgerMessage, LedgerReply, PAGE_LIMITS},
        ledger_sync::{Handover, Origin, SyncTracker},
        ledger_view::{Identity, LedgerKey, LedgerMember, LedgerView},
    },
    ids::ServiceName,
    time::Tick,
};

use crate::{state::NodeState, worker::Worker};

use super::{crashes, group};

/// The claims that are stored here and, once the node has joined, its group.
struct Replica {
    store: ClaimStore,
    sync: Option<SyncTracker>,
    service: Option<ServiceName>,
}

/// The ledger replica of this node, shared by its worker threads.
pub(crate) struct LedgerState {
    replica: Mutex<Replica>,
    retention: Duration,
}

impl LedgerState {
    /// Creates a replica that has not joined a group.
    ///
    /// Claims are stored for `retention`, which must be the same on all nodes. Their
    /// answers take at most `bytes` bytes.
    pub(crate) fn new(retention: Duration, bytes: usize) -> Self {
        let limits = ClaimLimits { retention, bytes, ..ClaimLimits::default() };
        Self {
            replica: Mutex::new(Replica {
                store: ClaimStore::new(limits),
                sync: None,
                service: None,
            }),
            retention,
        }
    }

    /// Joins the group of this node's service as the member `own`.
    pub(crate) fn join(&self, service: ServiceName, own: LedgerMember, origin: Origin, now: Tick) {
        let mut replica = self.replica.lock();
        replica.sync = Some(SyncTracker::new(own, origin, self.retention, now));
        replica.service = Some(service);
    }

    /// Returns the service whose group this node has joined.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.replica.lock().service.clone()
    }

    /// Returns whether the node has joined its group under the identity `own`, that is,
    /// in its current incarnation.
    pub(crate) fn is_member(&self, own: &Identity) -> bool {
        self.replica.lock().sync.as_ref().is_some_and(|sync| sync.own() == own)
    }

    /// Returns whether the node has joined a group.
    pub(crate) fn has_joined(&self) -> bool {
        self.replica.lock().sync.is_some()
    }

    /// Replaces the view of the group by a current one; returns the members whose
    /// claims still have to be fetched.
    pub(crate) fn update_view(&self, view: &LedgerView, now: Tick) -> Vec<LedgerMember> {
        let mut replica = self.replica.lock();
        let Some(sync) = &mut replica.sync else { return Vec::new() };
        sync.update_view(view.clone(), now);
        sync.members_to_fetch()
    }

    /// Merges claims that another member handed over.
    pub(crate) fn merge(&self, claims: Vec<KeptClaim>, now: Tick) {
        let mut replica = self.replica.lock();
        for claim in claims {
            replica.store.merge(claim, now);
        }
    }

    /// Records that all claims of another member have been merged.
    pub(crate) fn record_handover(&self, handover: &Handover) {
        if let Some(sync) = &mut self.replica.lock().sync {
            sync.record_handover(handover);
        }
    }

    /// Returns the digest of the current view; `None` before the node has joined a group.
    pub(crate) fn view_digest(&self) -> Option<u64> {
        self.replica.lock().sync.as_ref().map(|sync| sync.view().digest())
    }

    /// Removes claims whose retention has passed.
    pub(crate) fn expire(&self, now: Tick) {
        self.replica.lock().store.expire(now);
    }
}

/// Handles a ledger message and returns the reply.
pub(crate) fn handle(state: &NodeState, message: LedgerMessage) -> LedgerReply {
    let now = state.now();
    refresh_view(state, now);
    let mut replica = state.calls.ledger.replica.lock();
    match message {
        LedgerMessage::Claim { key, claim, replicas } => {
            let is_ready = replica.is_ready(key, replicas, now);
            LedgerReply::Claim(match is_ready {
                true => replica.store.claim(key, claim, now),
                false => ClaimReply::NotReady,
            })
        }
        LedgerMessage::Release { key, claim } => {
            replica.store.release(key, &claim);
            LedgerReply::Done
        }
        LedgerMessage::Finish { key, claim, answer } => {
            replica.store.finish(key, claim, answer, now);
            LedgerReply::Done
        }
        LedgerMessage::Fetch { view, after } => replica.page(view, after),
        LedgerMessage::CrashNotices { notices, .. } => {
            drop(replica);
            crashes::record_notices(state, &notices);
            LedgerReply::Done
        }
    }
}

/// Handles an encoded ledger message from a peer link and returns the encoded reply.
pub(crate) fn handle_bytes(worker: &Rc<Worker>, body: &[u8]) -> Vec<u8> {
    let reply = match postcard::from_bytes(body) {
        Ok(message) => {
            if let LedgerMessage::CrashNotices { notices, is_for_zone: true } = &message {
                crashes::notify_own_zone(worker, notices);
            }
            handle(&worker.state, message)
        }
        // A node of another release may send a message that this one can't decode.
        Err(_) => LedgerReply::Claim(ClaimReply::NotReady),
    };
    postcard::to_stdvec(&reply).unwrap_or_default()
}

/// Updates the replica's view of the group from the membership table.
fn refresh_view(state: &NodeState, now: Tick) {
    let Some(service) = state.calls.ledger.service() else { return };
    let view = group::view(state, &service);
    state.calls.ledger.update_view(&view, now);
}

impl Replica {
    /// Returns whether this replica may decide on a key.
    ///
    /// `replicas` is the digest of the key's replicas as the sender sees them. It must
    /// match the local view, because two quorums are sure to overlap only if they are
    /// drawn from the same replicas.
    fn is_ready(&mut self, key: LedgerKey, replicas: u64, now: Tick) -> bool {
        let Some(sync) = &mut self.sync else { return false };
        sync.view().replica_digest(key) == replicas && sync.covers(key, now)
    }

    /// Returns the next page of claims for a member that fetches them.
    ///
    /// The last page carries the handover. A member with a different view gets
    /// [`LedgerReply::ViewDiffers`].
    fn page(&self, view: u64, after: Option<LedgerKey>) -> LedgerReply {
        let Some(sync) = &self.sync else { return LedgerReply::ViewDiffers };
        if sync.view().digest() != view {
            return LedgerReply::ViewDiffers;
        }
        let page = self.store.page(after, PAGE_LIMITS);
        let handover = page.is_last.then(|| sync.handover());
        LedgerReply::Claims { claims: page.claims, handover }
    }
}
