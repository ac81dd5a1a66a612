//! Orders to move a service, where a platform stores them apart from the configuration.
//!
//! An order is known by what it asks for and by its place among the orders of its service, not
//! by its offset, because the store may come back from an older copy. The same order then
//! stands at another offset, or not at all until its operator has written it again. See
//! `docs/design/0018-store-eras.md`.

use std::time::Duration;

use crate::{
    ids::{BackendVersion, ConfigVersion, ServiceName},
    time::Tick,
};

/// Time after a return of the store, or after the start of a node, for which an order may be
/// an earlier one that its operator has written again.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(5);

/// An order to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that has to get all traffic.
    pub version: BackendVersion,
    /// Time, counted from the order, within which the move has to complete.
    pub within: Duration,
    /// Offset of the order's record in the store.
    pub record: u64,
}

impl MoveOrder {
    /// Returns the id that the move gets if no other order of the service is known.
    pub(super) fn first_id(&self) -> ConfigVersion {
        ConfigVersion(self.record.saturating_add(1))
    }
}

/// What became of an order that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is in force, or was replaced by a later one that is known.
    Known,
    /// The order is new; the id of its move follows.
    New(ConfigVersion),
    /// The order equals one that was replaced, and may have been written again. It has to be
    /// offered again once [`REPEAT_WINDOW`] is over, unless a later one replaces it.
    Held,
}

/// Returns whether an order that equals a replaced one may have been written again, rather than
/// given anew: while the store's return or the start of this node is recent.
pub fn may_be_repeated(now: Tick, store_returned_at: Option<Tick>, started_at: Tick) -> bool {
    let since = store_returned_at.map_or(started_at, |at| at.max(started_at));
    now.since(since) < REPEAT_WINDOW
}
