//! How long a node waits for its neighbours before it applies a newer configuration.
//!
//! A version is applied once enough neighbours have recorded its position, so that they can
//! report it after a crash of the node. Neighbours that are silent must not keep it from coming
//! into force; see `docs/design/0002-configuration.md`.

use std::time::Duration;

use crate::{config::fold::Position, time::Tick};

/// Longest time for which a node that holds a newer configuration goes on with an older one
/// because neighbours haven't acknowledged the newer one's position.
pub const WITNESS_ACK_TIMEOUT: Duration = Duration::from_millis(250);

/// Wait of a node between holding a newer configuration and applying it.
///
/// The time counts from the oldest position that hasn't been applied. Counted anew for each
/// position, it would never end while positions come faster than that.
#[derive(Debug, Default)]
pub struct ApplyHold {
    since: Option<Tick>,
}

impl ApplyHold {
    /// Starts the wait of a newly held position, unless an older one waits already, and returns
    /// the time left.
    pub fn start(&mut self, now: Tick) -> Duration {
        let since = *self.since.get_or_insert(now);
        WITNESS_ACK_TIMEOUT.saturating_sub(now.since(since))
    }

    /// Ends the wait if the node has applied the newest position that it holds.
    pub fn record_applied(&mut self, applied: Position, held: Position) {
        if applied >= held {
            self.since = None;
        }
    }
}
