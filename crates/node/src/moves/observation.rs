//! Derives evidence on a version from a call at the local backend server.

use std::time::Duration;

use savorykeel_policy::moves::evidence::{Ending, Observation};
use savorykeel_ports::{backend::BackendError, peer::HttpAnswer};

/// Lowest HTTP status that counts as a failure.
pub(crate) const FIRST_FAILURE_STATUS: u16 = 500;

/// Fraction of the route's timeout that a call must have had for its time-out to
/// count against the version. A call that started with less may have run out of time
/// through no fault of the version.
const FULL_TIMEOUT_FRACTION: f64 = 0.9;

/// The time that a call was given.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimeBudget {
    /// Time left when the call was started.
    pub(crate) remaining: Duration,
    /// Timeout of the route.
    pub(crate) timeout: Duration,
}

/// Returns the observation of a call that ended after `took`, or none when the
/// backend server never received the call.
///
/// `is_cold` marks a call within the cold start of the backend server.
pub(crate) fn observation(
    result: &Result<HttpAnswer, BackendError>,
    took: Duration,
    budget: TimeBudget,
    is_cold: bool,
) -> Option<Observation> {
    let ending = match result {
        Ok(answer) if answer.status < FIRST_FAILURE_STATUS => Ending::Ok,
        Ok(_) | Err(BackendError::Lost(_) | BackendError::BadAnswer(_)) => Ending::Failed,
        Err(BackendError::TimedOut)
            if budget.remaining >= budget.timeout.mul_f64(FULL_TIMEOUT_FRACTION) =>
        {
            Ending::TimedOut
        }
        Err(BackendError::TimedOut) => Ending::Cancelled,
        Err(BackendError::NotSent(_) | BackendError::NotRun(_)) => return None,
    };
    Some(Observation { ending, took, is_cold })
}
