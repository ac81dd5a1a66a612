//! Share of a service's calls that a version answered in each second, as observed by
//! callers.

use std::{collections::BTreeMap, time::Duration};

use savorykeel_standins::caller::{CallOutcome, Observation};

/// Numbers of calls answered in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Calls answered by the version in question.
    pub of_version: usize,
    /// Calls answered by any version.
    pub total: usize,
}

impl SecondCounts {
    /// Returns the version's share in whole percent.
    pub fn percent(self) -> usize {
        (self.of_version * 100).checked_div(self.total).unwrap_or(0)
    }
}

/// Counts the calls below a path that a version and that any version answered, for
/// each second from `since` on.
///
/// The keys are whole seconds since `since`.
pub fn count_by_second(
    observations: &[Observation],
    path: &str,
    version: &str,
    since: Duration,
) -> BTreeMap<u64, SecondCounts> {
    let mut seconds: BTreeMap<u64, SecondCounts> = BTreeMap::new();
    for observation in observations {
        let CallOutcome::Answered { version: answering, .. } = &observation.outcome else {
            continue;
        };
        if observation.at < since || !observation.target.starts_with(path) {
            continue;
        }
        let second = seconds.entry((observation.at - since).as_secs()).or_default();
        second.total += 1;
        second.of_version += usize::from(answering == version);
    }
    seconds
}
