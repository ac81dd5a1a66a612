//! A breaker at the entry node: the first, local answer to a failing version.
//!
//! It acts within a few calls, long before the service's nodes agree, and it
//! judges nothing: after a pause one call tries again.

use std::time::Duration;

use crate::time::Tick;

/// Failures in a row that open the breaker.
pub const FAILURES_TO_OPEN: u32 = 5;

/// First pause.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause.
pub const MAX_PAUSE: Duration = Duration::from_secs(30);

/// The breaker of one version of one service on one route.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    failures: u32,
    pause: Duration,
    open_until: Option<Tick>,
}

impl CircuitBreaker {
    /// Tells whether a call may go to the version now.
    pub fn allows(&self, now: Tick) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Notes how a call ended.
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
