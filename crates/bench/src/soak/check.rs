//! Compares the answers that callers got with the runs that backend servers
//! recorded.

use std::collections::{BTreeMap, HashMap};

use savorykeel_standins::backend::Run;
use serde::Serialize;

use super::{
    Options,
    callers::{Kind, Outcome, SendRecord, SentRequest},
    faults::FaultLog,
};

/// Number of examples of violations that a report holds.
const MAX_EXAMPLES: usize = 10;

/// The extent and the findings of a soak.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Requests that ended.
    pub requests: usize,
    /// Requests that never ended.
    pub missing: usize,
    /// Sends, re-sends included.
    pub sends: usize,
    /// Faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Requests that crash the backend server that runs them.
    pub crashing: usize,
    /// Requests that got their answer.
    pub answered: usize,
    /// Requests for which each send returned "not run".
    pub not_run: usize,
    /// Requests whose callers can't know whether they ran.
    pub unknown: usize,
    /// Of these, requests that lost the connection to their entry node; if the
    /// node wasn't killed, `no_outcome` counts the send too.
    pub entry_killed: usize,
    /// Number of sends that weren't answered, by result code.
    pub codes: BTreeMap<u16, usize>,
    /// Non-idempotent requests that ran more than once.
    pub doubled: usize,
    /// Requests for which each send returned "not run" although they ran.
    pub not_run_but_ran: usize,
    /// Answers that didn't belong to the request, or came without any run of it.
    pub wrong: usize,
    /// Sends without any outcome although their entry node wasn't killed.
    pub no_outcome: usize,
    /// Planned stops after which the node didn't exit by itself.
    pub stuck_stops: usize,
    /// Returns of the log service after which the nodes didn't write the lost version again.
    pub lost_versions: usize,
    /// Runs recorded in the backend servers' ledgers.
    pub runs: usize,
    /// Examples of violations.
    pub examples: Vec<String>,
}

impl Report {
    /// Returns the number of violations of the guarantees about calls.
    pub fn violations(&self) -> usize {
        self.doubled
            + self.not_run_but_ran
            + self.wrong
            + self.no_outcome
            + self.missing
            + self.stuck_stops
            + self.lost_versions
    }

    /// Returns the fraction of requests whose callers can't know whether they ran.
    pub fn unknown_share(&self) -> f64 {
        self.unknown as f64 / self.requests.max(1) as f64
    }

    fn add_example(&mut self, problem: &str, sent: &SentRequest, runs: usize) {
        if self.examples.len() < MAX_EXAMPLES {
            let outcomes: Vec<&Outcome> = sent.sends.iter().map(|send| &send.outcome).collect();
            let (tag, kind) = (&sent.tag, sent.kind);
            self.examples
                .push(format!("{problem}: {tag} ({kind:?}) saw {outcomes:?} and ran {runs} times"));
        }
    }
}

/// Checks every request against the recorded runs and the injected faults.
pub(super) fn check(
    options: &Options,
    sent: &[SentRequest],
    runs: &[Run],
    log: &FaultLog,
) -> Report {
    let mut runs_by_tag: HashMap<&str, usize> = HashMap::new();
    for tag in runs.iter().filter_map(|run| run.tag.as_deref()) {
        *runs_by_tag.entry(tag).or_default() += 1;
    }
    let faults = log.counts.iter().map(|(fault, n)| (fault.to_string(), *n)).collect();
    let mut report = Report {
        seed: options.seed,
        requests: sent.len(),
        missing: options.requests - sent.len(),
        faults,
        stuck_stops: log.stuck_stops,
        lost_versions: log.lost_versions,
        runs: runs.len(),
        ..Report::default()
    };
    for request in sent {
        let runs = runs_by_tag.get(request.tag.as_str()).copied().unwrap_or(0);
        check_request(&mut report, request, runs, log);
    }
    report
}

fn check_request(report: &mut Report, sent: &SentRequest, runs: usize, log: &FaultLog) {
    report.sends += sent.sends.len();
    report.crashing += usize::from(sent.kind == Kind::Crashing);
    for send in &sent.sends {
        record_send(report, sent, send, log, runs);
    }
    if sent.kind != Kind::Idempotent && runs > 1 {
        report.doubled += 1;
        report.add_example("ran twice", sent, runs);
    }
    let is_answered = sent.sends.iter().any(|send| send.outcome == Outcome::Answered);
    let is_not_run = sent.sends.iter().all(|send| matches!(send.outcome, Outcome::NotRun(_)));
    if is_answered {
        report.answered += 1;
        if runs == 0 {
            report.wrong += 1;
            report.add_example("answered without a run", sent, runs);
        }
    } else if is_not_run {
        report.not_run += 1;
        if runs > 0 {
            report.not_run_but_ran += 1;
            report.add_example("told not run", sent, runs);
        }
    } else {
        report.unknown += 1;
        let killed = sent.sends.iter().any(|send| send.outcome == Outcome::Cut);
        report.entry_killed += usize::from(killed);
    }
}

fn record_send(
    report: &mut Report,
    sent: &SentRequest,
    send: &SendRecord,
    log: &FaultLog,
    runs: usize,
) {
    match &send.outcome {
        Outcome::Answered => {}
        Outcome::NotRun(code) | Outcome::Unknown(code) => {
            *report.codes.entry(*code).or_default() += 1;
        }
        Outcome::Wrong(_) => {
            report.wrong += 1;
            report.add_example("wrong answer", sent, runs);
        }
        Outcome::Cut | Outcome::TimedOut if was_killed(send, log) => {}
        Outcome::Cut | Outcome::TimedOut => {
            report.no_outcome += 1;
            report.add_example("no outcome", sent, runs);
        }
    }
}

/// Returns whether the entry node was killed during the send.
fn was_killed(send: &SendRecord, log: &FaultLog) -> bool {
    log.kills.iter().any(|kill| {
        kill.entry == send.entry
            && send.started_at <= kill.ended_at
            && kill.started_at <= send.ended_at
    })
}
