//! The account that the demo prints: what was observed, and what held.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use savorykeel_standins::caller::Tally;

use super::shares::Second;

/// Seconds on one line of shares.
const SECONDS_PER_LINE: usize = 15;

/// Prints as it goes and remembers whether everything held.
pub struct Account {
    started: Instant,
    broken: Vec<String>,
}

impl Account {
    /// Begins an account.
    pub fn begin() -> Self {
        Self { started: Instant::now(), broken: Vec::new() }
    }

    /// Prints what was observed, with the time since the start.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{:>6.2}s  {}", self.started.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Prints a claim and whether it held.
    pub fn claim(&mut self, holds: bool, text: impl Into<String>) {
        let text = text.into();
        self.tell(format!("{}  {text}", if holds { "held  " } else { "BROKEN" }));
        if !holds {
            self.broken.push(text);
        }
    }

    /// Prints the shares of a version by second.
    pub fn shares(&self, what: &str, seconds: &BTreeMap<u64, Second>) {
        self.tell(format!("share of {what} by second, in percent:"));
        let cells: Vec<String> =
            seconds.iter().map(|(at, second)| format!("{at}s:{}", second.percent())).collect();
        for line in cells.chunks(SECONDS_PER_LINE) {
            println!("           {}", line.join("  "));
        }
    }

    /// Prints what callers saw and claims what must be zero.
    pub fn calls(&mut self, tally: &Tally) {
        self.tell(format!(
            "{} calls made: {} answered by a backend server (of these {} with a failure), \
             {} answered not run, {} answered unknown",
            tally.calls, tally.answered, tally.failed, tally.not_run, tally.unknown
        ));
        for (problem, count) in &tally.problems {
            self.tell(format!("  {count} x {problem}"));
        }
        self.claim(tally.calls > 0, "callers made calls");
        self.claim(tally.doubled == 0, format!("{} doubled", tally.doubled));
        self.claim(tally.cut == 0, format!("{} cut", tally.cut));
        self.claim(tally.lost == 0, format!("{} lost", tally.lost));
        self.claim(tally.mismatched == 0, format!("{} got another's answer", tally.mismatched));
        let ran = tally.not_run_but_ran;
        self.claim(ran == 0, format!("{ran} answered not run that ran"));
        self.claim(
            tally.unaccounted == 0,
            format!("{} answered that never ran", tally.unaccounted),
        );
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Prints the end and tells whether everything held.
    pub fn close(self) -> bool {
        match self.broken.len() {
            0 => self.tell("everything held"),
            count => self.tell(format!("{count} claim(s) didn't hold: {}", self.broken.join("; "))),
        }
        self.broken.is_empty()
    }
}
