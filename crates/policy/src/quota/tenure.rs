//! Since when a node may grant tokens.

use crate::time::Tick;

use super::{PAUSE, SILENCE};

/// Observes a node's own clock for pauses, in which another node may have become the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Tenure {
    seen_at: Tick,
    resumed_at: Tick,
}

impl Tenure {
    /// Creates the tenure of a node that starts at `now`.
    pub fn new(now: Tick) -> Self {
        Self { seen_at: now, resumed_at: now }
    }

    /// Observes the clock; a long time since the last observation was a pause.
    pub fn observe(&mut self, now: Tick) {
        if now.since(self.seen_at) > PAUSE {
            self.resumed_at = now;
        }
        self.seen_at = self.seen_at.max(now);
    }

    /// Returns the moment from which a node that became the owner at `since` grants tokens.
    pub fn grants_from(&self, since: Tick) -> Tick {
        since.max(self.resumed_at) + SILENCE
    }
}
