//! Deadline and depth arithmetic along a chain of calls.
//!
//! A deadline travels as the time that is left, because clocks differ. Each hop
//! keeps a margin, so that the answer of the hop below still gets back in time.

use std::time::Duration;

use crate::code::Code;

/// Time that each hop keeps back for its own work and the way back.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Shortest time left with which a request is still started.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// Returns the time that a request may take at this hop.
///
/// It is the route's timeout, or less when the caller's deadline is nearer.
pub fn time_left(route_timeout: Duration, caller_left: Option<Duration>) -> Duration {
    caller_left.map_or(route_timeout, |left| left.min(route_timeout))
}

/// Returns the time to hand to the next hop, or the code when none is left.
pub fn next_hop(time_left: Duration) -> Result<Duration, Code> {
    let left = time_left.saturating_sub(HOP_MARGIN);
    if left < MIN_TIME_LEFT { Err(Code::DeadlineBeforeStart) } else { Ok(left) }
}

/// Returns the depth of a call below one of depth `caller_depth`, or the code
/// when the limit of the configuration is reached.
pub fn next_depth(caller_depth: u32, limit: u32) -> Result<u32, Code> {
    let depth = caller_depth.saturating_add(1);
    if depth > limit { Err(Code::TooDeep) } else { Ok(depth) }
}
