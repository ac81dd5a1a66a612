//! A circuit breaker at the entry node: the first, local response to a failing
//! version.
//!
//! It opens within a few calls, long before the service's nodes agree on the
//! version, and has no effect on the move: it only pauses calls, and after the
//! pause lets calls through again.

use std::time::Duration;

use crate::time::Tick;

/// Number of consecutive failures that open the breaker.
pub const FAILURES_TO_OPEN: u32 = 5;

/// First pause; each further one is twice as long until a call succeeds.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause.
pub const MAX_PAUSE: Duration = Duration::from_secs(30);

/// The circuit breaker of one version of one service on one route.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    failures: u32,
    pause: Duration,
    open_until: Option<Tick>,
}

impl CircuitBreaker {
    /// Returns whether a call may go to the version at `now`.
    pub fn allows(&self, now: Tick) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Records the result of a call; a success closes the breaker.
    pub fn record(&mut self, is_failed: bool, now: Tick) {
        if !is_failed {
            *self = Self::default();
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_TO_OPEN && self.allows(now) {
            self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            self.open_until = Some(now + self.pause);
        }
    }
}
