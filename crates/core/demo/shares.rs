//! Share of a service's calls by version and second, as callers saw it.

use std::{collections::BTreeMap, time::Duration};

use savorykeel_standins::caller::{CallOutcome, Observation};

/// Answered calls of one second.
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

/// Counts, second by second from `since` on, how many calls below a path a
/// version answered.
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
