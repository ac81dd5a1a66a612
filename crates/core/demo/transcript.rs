//! The transcript that the demo prints: observations, and checks with their results.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use savorykeel_standins::caller::Tally;

use super::shares::SecondCounts;

/// Number of seconds whose shares are printed on one line.
const SECONDS_PER_LINE: usize = 15;

/// Prints observations and checks as they are made and records the checks that failed.
pub struct Transcript {
    started_at: Instant,
    failed_checks: Vec<String>,
}

impl Transcript {
    /// Starts a transcript; printed times count from now.
    pub fn start() -> Self {
        Self { started_at: Instant::now(), failed_checks: Vec::new() }
    }

    /// Prints an observation with the time since the start.
    pub fn print(&self, text: impl AsRef<str>) {
        println!("{:>6.2}s  {}", self.started_at.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Prints a check and whether it held, and records a failed one.
    pub fn check(&mut self, holds: bool, text: impl Into<String>) {
        let text = text.into();
        self.print(format!("{}  {text}", if holds { "held  " } else { "BROKEN" }));
        if !holds {
            self.failed_checks.push(text);
        }
    }

    /// Prints the share of calls that a version answered in each second, in percent.
    pub fn print_shares(&self, what: &str, seconds: &BTreeMap<u64, SecondCounts>) {
        self.print(format!("share of {what} by second, in percent:"));
        let cells: Vec<String> =
            seconds.iter().map(|(at, second)| format!("{at}s:{}", second.percent())).collect();
        for line in cells.chunks(SECONDS_PER_LINE) {
            println!("           {}", line.join("  "));
        }
    }

    /// Prints what callers observed and checks that every count of violations is zero.
    pub fn check_calls(&mut self, tally: &Tally) {
        self.print(format!(
            "{} calls made: {} answered by a backend server (of these {} with a failure), \
             {} answered not run, {} answered unknown",
            tally.calls, tally.answered, tally.failed, tally.not_run, tally.unknown
        ));
        for (problem, count) in &tally.problems {
            self.print(format!("  {count} x {problem}"));
        }
        self.check(tally.calls > 0, "callers made calls");
        self.check(tally.doubled == 0, format!("{} doubled", tally.doubled));
        self.check(tally.cut == 0, format!("{} cut", tally.cut));
        self.check(tally.lost == 0, format!("{} lost", tally.lost));
        self.check(tally.mismatched == 0, format!("{} got another's answer", tally.mismatched));
        let ran = tally.not_run_but_ran;
        self.check(ran == 0, format!("{ran} answered not run that ran"));
        self.check(
            tally.unaccounted == 0,
            format!("{} answered that never ran", tally.unaccounted),
        );
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Prints the overall result and returns whether every check held.
    pub fn finish(self) -> bool {
        match self.failed_checks.len() {
            0 => self.print("everything held"),
            count => self
                .print(format!("{count} claim(s) didn't hold: {}", self.failed_checks.join("; "))),
        }
        self.failed_checks.is_empty()
    }
}
