//! Numbers of calls by classification.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

use super::{Cause, Classification};

/// Numbers of calls by classification; ignored calls are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of all calls, good and bad.
    pub total: u64,
    /// Number of calls that were not run.
    pub shed: u64,
    /// Number of calls that the backend server answered with a failure.
    pub backend_failure: u64,
    /// Number of calls whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Number of calls with a good answer that took longer than the objective allows.
    pub slow: u64,
}

impl Counts {
    /// Adds one call unless it is ignored.
    pub fn record(&mut self, classification: Classification) {
        let Classification::Bad(cause) = classification else {
            self.total += u64::from(classification == Classification::Good);
            return;
        };
        self.total += 1;
        *self.by_cause_mut(cause) += 1;
    }

    /// Returns the number of calls that spent error budget for `cause`.
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

    /// Returns the number of calls without a good answer; slow calls are not among
    /// them.
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
