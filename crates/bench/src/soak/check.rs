//! Holds what callers were told against what backend servers ran.

use std::collections::{BTreeMap, HashMap};

use savorykeel_standins::backend::Run;
use serde::Serialize;

use super::{
    Options,
    callers::{Kind, Outcome, SendRecord, SentRequest},
    faults::FaultLog,
};

/// Examples of each violation that are reported.
const MAX_EXAMPLES: usize = 10;

/// What a soak covered and found.
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
    /// Requests that crash what runs them.
    pub crashing: usize,
    /// Requests that got their answer.
    pub answered: usize,
    /// Requests that were told "not run" at each send.
    pub not_run: usize,
    /// Requests of which the callers know nothing for sure.
    pub unknown: usize,
    /// Of these, requests whose entry node was killed under them.
    pub entry_killed: usize,
    /// Codes of the sends that weren't answered.
    pub codes: BTreeMap<u16, usize>,
    /// Requests that aren't idempotent and ran more than once.
    pub doubled: usize,
    /// Requests that were told "not run" at each send and ran.
    pub not_run_but_ran: usize,
    /// Requests that got another answer than theirs.
    pub wrong: usize,
    /// Sends without any outcome although their entry node lived.
    pub no_outcome: usize,
    /// Planned stops that didn't end by themselves.
    pub stuck_stops: usize,
    /// Runs counted in the backend servers' ledgers.
    pub runs: usize,
    /// Examples of what went wrong.
    pub examples: Vec<String>,
}

impl Report {
    /// Returns the number of broken promises.
    pub fn violations(&self) -> usize {
        self.doubled
            + self.not_run_but_ran
            + self.wrong
            + self.no_outcome
            + self.missing
            + self.stuck_stops
    }

    /// Returns the share of requests of which nothing is known for sure.
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

/// Checks every request.
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

/// Tells whether the entry node was killed while the send was on its way.
fn was_killed(send: &SendRecord, log: &FaultLog) -> bool {
    log.kills.iter().any(|kill| {
        kill.entry == send.entry
            && send.started_at <= kill.ended_at
            && kill.started_at <= send.ended_at
    })
}
