//! The retry budget of one node.
//!
//! Retries are a share of the calls, so that they can't multiply an overload.
//! Only the entry node of the hop that failed retries, and a backend server's
//! own answer is never retried, so that a deep chain retries at one layer only.

use crate::time::Tick;

/// Retries a second that are allowed however few calls there are.
pub const FLOOR_PER_SECOND: f64 = 1.0;

/// Largest number of retries that can be saved up.
pub const MAX_SAVED: f64 = 100.0;

/// Tries of one call, the first one included.
pub const MAX_TRIES: u32 = 3;

/// A token bucket that calls and time fill and retries empty.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
    filled_at: Tick,
}

impl RetryBudget {
    /// Creates a budget of `share` retries a call.
    pub fn new(share: f64, now: Tick) -> Self {
        Self { share, saved: FLOOR_PER_SECOND, filled_at: now }
    }

    /// Changes the share, because configurations change it.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a call that isn't a retry.
    pub fn count_call(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry from the budget if there is one.
    pub fn try_spend(&mut self, now: Tick) -> bool {
        let seconds = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.saved = (self.saved + seconds * FLOOR_PER_SECOND).min(MAX_SAVED);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
