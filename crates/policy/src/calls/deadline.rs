//! Deadline and depth arithmetic along a chain of calls.
//!
//! A deadline is sent as the time left, because clocks of different nodes differ. Each
//! hop subtracts a margin, so that the answer of the next hop still arrives in time.

use std::time::Duration;

use crate::code::Code;

/// Time that each hop reserves for its own work and for returning the answer.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Minimum time left for a request to be started.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// Returns the time that a request may take at this hop.
///
/// It is the route's timeout, or the time left to the caller's deadline if that is less.
pub fn time_left(route_timeout: Duration, caller_left: Option<Duration>) -> Duration {
    caller_left.map_or(route_timeout, |left| left.min(route_timeout))
}

/// Returns the time left to send to the next hop, or an error code if there isn't enough.
pub fn next_hop(time_left: Duration) -> Result<Duration, Code> {
    let left = time_left.saturating_sub(HOP_MARGIN);
    if left < MIN_TIME_LEFT { Err(Code::DeadlineBeforeStart) } else { Ok(left) }
}

/// Returns the depth of a call made by one of depth `caller_depth`, or an error code if
/// it exceeds the configured limit.
pub fn next_depth(caller_depth: u32, limit: u32) -> Result<u32, Code> {
    let depth = caller_depth.saturating_add(1);
    if depth > limit { Err(Code::TooDeep) } else { Ok(depth) }
}
