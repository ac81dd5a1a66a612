//! What callers saw, held against what backend servers ran.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::backend::Run;

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer to its own request, from a backend server.
    Answered {
        /// HTTP status.
        status: u16,
        /// Version of the backend server that answered.
        version: String,
        /// Its name.
        instance: String,
    },
    /// A node's word that the request did not and will not run.
    NotRun {
        /// Result code.
        code: u16,
    },
    /// A node's word that the request may have run.
    Unknown {
        /// Result code.
        code: u16,
    },
    /// The connection ended before the answer was whole.
    Cut {
        /// What happened.
        problem: String,
    },
    /// No answer at all: none in time, or no node took a connection.
    Lost {
        /// What happened.
        problem: String,
    },
    /// A whole answer to another request, or none that a backend server gives.
    Mismatched {
        /// What happened.
        problem: String,
    },
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Tag of the request, its own.
    pub tag: String,
    /// Path and query.
    pub target: String,
    /// Whether the request carried an idempotency key.
    pub keyed: bool,
    /// Time from the load's start to the call's start.
    pub at: Duration,
    /// Time that the call took.
    pub latency: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// Counts over many calls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls made.
    pub calls: usize,
    /// Calls with a whole answer of a backend server.
    pub answered: usize,
    /// Answered calls whose status says that the backend server failed.
    pub failed: usize,
    /// Calls answered as not run.
    pub not_run: usize,
    /// Calls answered as unknown.
    pub unknown: usize,
    /// Calls whose connection ended before the answer was whole.
    pub cut: usize,
    /// Calls without any answer.
    pub lost: usize,
    /// Calls with an answer that isn't theirs.
    pub mismatched: usize,
    /// Keyed calls that ran more than once.
    pub doubled: usize,
    /// Calls answered as not run that ran all the same.
    pub not_run_but_ran: usize,
    /// Answered calls that no ledger knows.
    pub unaccounted: usize,
    /// Answered calls by version.
    pub versions: BTreeMap<String, usize>,
    /// Calls that are not simply answered, by what was seen.
    pub problems: BTreeMap<String, usize>,
}

impl Tally {
    /// Holds what callers saw against the runs of every backend server.
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

    /// Tells whether no call was doubled, cut, lost or given a wrong answer.
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
