//! Compares the outcomes that callers observed with the ledgers of the backend
//! servers.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::backend::Run;

/// How a call ended from the caller's point of view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A backend server's complete answer to this request.
    Answered {
        /// HTTP status.
        status: u16,
        /// Version of the backend server that answered.
        version: String,
        /// Name of the backend server that answered.
        instance: String,
    },
    /// A node's answer that the request did not run and will not run.
    NotRun {
        /// Result code.
        code: u16,
    },
    /// A node's answer that the request may have run.
    Unknown {
        /// Result code.
        code: u16,
    },
    /// The connection ended before the answer was complete.
    Cut {
        /// Description of the failure.
        problem: String,
    },
    /// No complete answer within the timeout, or no node accepted a connection.
    Lost {
        /// Description of the failure.
        problem: String,
    },
    /// A complete answer that belongs to another request, or that isn't in the
    /// format of a backend server.
    Mismatched {
        /// Description of the failure.
        problem: String,
    },
}

/// One call and how it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Tag of the request, unique to it.
    pub tag: String,
    /// Path and query.
    pub target: String,
    /// Whether the request carried an idempotency key.
    pub keyed: bool,
    /// Time from the load's start to the call's start.
    pub at: Duration,
    /// Duration of the call.
    pub latency: Duration,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// Counts over many calls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls made.
    pub calls: usize,
    /// Calls with a complete answer from a backend server.
    pub answered: usize,
    /// Answered calls with a status of 500 or above.
    pub failed: usize,
    /// Calls answered as not run.
    pub not_run: usize,
    /// Calls answered as unknown.
    pub unknown: usize,
    /// Calls whose connection ended before the answer was complete.
    pub cut: usize,
    /// Calls without an answer, [`CallOutcome::Lost`].
    pub lost: usize,
    /// Calls with an answer that doesn't belong to them.
    pub mismatched: usize,
    /// Keyed calls that ran more than once.
    pub doubled: usize,
    /// Calls that were answered as not run but ran.
    pub not_run_but_ran: usize,
    /// Answered calls that are in no ledger.
    pub unaccounted: usize,
    /// Number of answered calls by the version that answered.
    pub versions: BTreeMap<String, usize>,
    /// Number of calls without a backend server's answer, by a description of how
    /// they ended.
    pub problems: BTreeMap<String, usize>,
}

impl Tally {
    /// Compares the calls with the runs of all backend servers, by tag.
    pub fn compare(observations: &[Observation], runs: &[Run]) -> Self {
        let mut runs_by_tag: HashMap<&str, usize> = HashMap::new();
        for tag in runs.iter().filter_map(|run| run.tag.as_deref()) {
            *runs_by_tag.entry(tag).or_default() += 1;
        }
        let mut tally = Self::default();
        for observation in observations {
            let ran = runs_by_tag.get(observation.tag.as_str()).copied().unwrap_or(0);
            tally.record(observation, ran);
        }
        tally
    }

    fn record(&mut self, observation: &Observation, ran: usize) {
        self.calls += 1;
        self.doubled += usize::from(observation.keyed && ran > 1);
        match &observation.outcome {
            CallOutcome::Answered { status, version, .. } => {
                self.answered += 1;
                self.failed += usize::from(*status >= 500);
                self.unaccounted += usize::from(ran == 0);
                *self.versions.entry(version.clone()).or_default() += 1;
            }
            CallOutcome::NotRun { code } => {
                self.not_run += 1;
                self.not_run_but_ran += usize::from(ran > 0);
                self.count_problem(format!("not run, code {code}"));
            }
            CallOutcome::Unknown { code } => {
                self.unknown += 1;
                self.count_problem(format!("unknown, code {code}"));
            }
            CallOutcome::Cut { problem } => {
                self.cut += 1;
                self.count_problem(format!("cut: {problem}"));
            }
            CallOutcome::Lost { problem } => {
                self.lost += 1;
                self.count_problem(format!("lost: {problem}"));
            }
            CallOutcome::Mismatched { problem } => {
                self.mismatched += 1;
                self.count_problem(format!("mismatched: {problem}"));
            }
        }
    }

    fn count_problem(&mut self, problem: String) {
        *self.problems.entry(problem).or_default() += 1;
    }

    /// Returns whether there is no violation: no call was cut, lost or mismatched,
    /// no keyed call ran more than once, no call ran that was answered as not run,
    /// and every answered call is in a ledger. Failed calls and calls answered as
    /// not run or unknown are allowed.
    pub fn is_clean(&self) -> bool {
        let violations = [
            self.cut,
            self.lost,
            self.mismatched,
            self.doubled,
            self.not_run_but_ran,
            self.unaccounted,
        ];
        violations.iter().all(|count| *count == 0)
    }
}
