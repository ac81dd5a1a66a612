//! When a caller that was refused for load may come back.
//!
//! Load: a burst of requests is refused at the same moment. With a constant delay, all of them
//! return as one burst, are refused again, and their retries are used up.

use std::time::Duration;

/// Largest share of a caller's remaining time that a delay may take. Callers ignore a delay above
/// a third of it; the rest covers the way of the refusal to the caller.
const MAX_SHARE_OF_TIME: f64 = 0.3;

/// Shortest time over which callers return. A run takes a few hundred milliseconds, and what
/// refused a burst serves one in as much time.
const MIN_SPREAD: Duration = Duration::from_millis(200);

/// Returns the delay after a refusal; room is expected in `room_in`, the caller has `time_left`,
/// and `share` is a random number from 0 to 1.
///
/// Callers return from the time on when room is expected, over as long again. If that is too late
/// for them, they return over the second half of the time that they accept.
pub fn retry_after(room_in: Duration, time_left: Duration, share: f64) -> Duration {
    let latest = time_left.mul_f64(MAX_SHARE_OF_TIME);
    let earliest = room_in.min(latest / 2);
    let spread = room_in.max(MIN_SPREAD).min(latest - earliest);
    earliest + spread.mul_f64(share.clamp(0.0, 1.0))
}
