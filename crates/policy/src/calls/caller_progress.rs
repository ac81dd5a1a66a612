//! Whether a caller sends its request, or reads its answer, fast enough to be waited for.
//!
//! Load: callers that nobody controls send bodies that stop just short of their end, or read long
//! answers slowly, and hold what the node keeps for them. In calm a slow but steady caller is
//! served. Under pressure memory goes to callers that make progress. See
//! `docs/design/0025-callers-outside-limits.md`.

use std::time::Duration;

/// Least bytes a second of a body under pressure: a caller on the slowest link of the users'
/// deployments, 10 Mbit/s, sends more than sixty times as many.
const BUSY_BYTES_PER_SECOND: u64 = 16 << 10;

/// Bounds on the progress of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressBounds {
    /// Longest time without progress.
    pub stall: Duration,
    /// The same under pressure, and the time from which on the rate of a body counts.
    pub busy_stall: Duration,
}

/// Progress of a body that is arriving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    /// Bytes received so far.
    pub received: u64,
    /// Time since the header section was complete.
    pub elapsed: Duration,
    /// Time since the last byte was received.
    pub idle: Duration,
}

impl ProgressBounds {
    /// Returns the longest time without progress.
    pub fn longest_stall(&self, is_pressed: bool) -> Duration {
        match is_pressed {
            true => self.busy_stall.min(self.stall),
            false => self.stall,
        }
    }

    /// Returns whether a body has made too little progress to be waited for.
    pub fn is_too_slow(&self, body: BodyProgress, is_pressed: bool) -> bool {
        if body.idle >= self.longest_stall(is_pressed) {
            return true;
        }
        let expected = body.elapsed.as_millis() * u128::from(BUSY_BYTES_PER_SECOND) / 1_000;
        is_pressed && body.elapsed >= self.busy_stall && u128::from(body.received) < expected
    }
}
