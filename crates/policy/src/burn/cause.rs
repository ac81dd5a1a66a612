//! Classification of calls by the objective of their service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    code::{Code, Outcome},
    config::model::Objective,
};

/// Lowest HTTP status that counts as a failure of the backend server.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Reason why a call spent error budget.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The request was not run, because it was shed or no backend server accepted it.
    Shed,
    /// The backend server answered with a failure.
    BackendFailure,
    /// The caller received a result code with unknown outcome.
    Unknown,
    /// The answer was good but took longer than the objective's latency.
    Slow,
}

/// Classification of a call by the answer that its caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// The call met the objective.
    Good,
    /// The call spent error budget.
    Bad(Cause),
    /// The call does not count, because the caller was at fault.
    Ignored,
}

/// Classifies a call that took `took` and was answered with an HTTP status or with a
/// result code.
pub fn classify(ended: Result<u16, Code>, took: Duration, objective: &Objective) -> Classification {
    match ended {
        Ok(status) if status >= FIRST_FAILURE_STATUS => Classification::Bad(Cause::BackendFailure),
        Ok(_) if took > objective.latency => Classification::Bad(Cause::Slow),
        Ok(_) => Classification::Good,
        Err(code) if is_fault_of_caller(code) => Classification::Ignored,
        Err(code) if code.outcome() == Outcome::Unknown => Classification::Bad(Cause::Unknown),
        Err(_) => Classification::Bad(Cause::Shed),
    }
}

fn is_fault_of_caller(code: Code) -> bool {
    matches!(
        code,
        Code::NoRoute
            | Code::BadRequest
            | Code::BodyTooLarge
            | Code::HeadersTooLarge
            | Code::KeyMismatch
            | Code::KeyBusy
            | Code::Cancelled
            | Code::CancelledWhileRunning
    )
}
