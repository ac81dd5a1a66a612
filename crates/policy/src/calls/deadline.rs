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

/// Multiple of its route's average latency for which a request has to be able to run at a node
/// that stops.
const STOP_LATENCY_FACTOR: u32 = 2;

/// Returns the time that a request may take at a node that ends in `until_end`, if it is
/// stopping, or [`Code::Leaving`] if the request isn't expected to end by then.
///
/// Load: the last bytes of slow uploads arrive while a node stops. Passed on with their whole
/// time, their requests would be cut with the node; with the time that is left, the backend
/// server answers before.
pub fn before_end(
    time_left: Duration,
    until_end: Option<Duration>,
    average_latency: Option<Duration>,
) -> Result<Duration, Code> {
    let Some(until_end) = until_end.filter(|until_end| *until_end < time_left) else {
        return Ok(time_left);
    };
    let expected = average_latency.unwrap_or_default() * STOP_LATENCY_FACTOR;
    if until_end < expected.max(MIN_TIME_LEFT) { Err(Code::Leaving) } else { Ok(until_end) }
}

/// Returns the depth of a call made by one of depth `caller_depth`, or an error code if
/// it exceeds the configured limit.
pub fn next_depth(caller_depth: u32, limit: u32) -> Result<u32, Code> {
    let depth = caller_depth.saturating_add(1);
    if depth > limit { Err(Code::TooDeep) } else { Ok(depth) }
}
