//! What a call means for the objective of its service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    code::{Code, Outcome},
    config::model::Objective,
};

/// First HTTP status that counts as a failure of the backend server.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Why a call spent error budget.
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
    /// The request wasn't run, because it was shed or no backend server took it.
    Shed,
    /// The backend server answered with a failure.
    BackendFailure,
    /// The caller was told that the outcome is unknown.
    Unknown,
    /// The answer was good but came later than the objective allows.
    Slow,
}

/// How a call ended, as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// It met the objective.
    Good,
    /// It spent error budget.
    Bad(Cause),
    /// It says nothing about the service, because the caller was at fault.
    Ignored,
}

/// Judges a call that was answered with an HTTP status or with a result code.
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
