//! Numbers of calls by what they mean for the objective.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

use super::{Cause, Classification};

/// Numbers of calls by what they mean for the objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that count, good and bad.
    pub total: u64,
    /// Calls that weren't run.
    pub shed: u64,
    /// Calls that the backend server answered with a failure.
    pub backend_failure: u64,
    /// Calls whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Calls that were answered well but late.
    pub slow: u64,
}

impl Counts {
    /// Adds one call.
    pub fn record(&mut self, classification: Classification) {
        let Classification::Bad(cause) = classification else {
            self.total += u64::from(classification == Classification::Good);
            return;
        };
        self.total += 1;
        *self.by_cause_mut(cause) += 1;
    }

    /// Returns the number of calls that spent budget for one cause.
    pub fn by_cause(&self, cause: Cause) -> u64 {
        match cause {
            Cause::Shed => self.shed,
            Cause::BackendFailure => self.backend_failure,
            Cause::Unknown => self.unknown,
            Cause::Slow => self.slow,
        }
    }

    fn by_cause_mut(&mut self, cause: Cause) -> &mut u64 {
        match cause {
            Cause::Shed => &mut self.shed,
            Cause::BackendFailure => &mut self.backend_failure,
            Cause::Unknown => &mut self.unknown,
            Cause::Slow => &mut self.slow,
        }
    }

    /// Returns the number of calls without a good answer.
    pub fn failed(&self) -> u64 {
        self.shed + self.backend_failure + self.unknown
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.total += other.total;
        self.shed += other.shed;
        self.backend_failure += other.backend_failure;
        self.unknown += other.unknown;
        self.slow += other.slow;
    }
}
