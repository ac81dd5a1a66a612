//! The record of every request that ran.

use serde::{Deserialize, Serialize};

/// One request that took a slot and began to run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt's `Savorykeel-Request-Id`.
    pub attempt: Option<String>,
    /// The caller's `Idempotency-Key`.
    pub key: Option<String>,
    /// The caller's `X-Request-Tag`.
    pub tag: Option<String>,
    /// Time left as `Savorykeel-Deadline-Ms` told it.
    pub deadline_ms: Option<u64>,
    /// Number of calls above, as `Savorykeel-Depth` told it.
    pub depth: Option<u32>,
    /// Method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Milliseconds from the backend server's start to the run's start.
    pub started_ms: u64,
    /// Status that it ended with; nothing while it runs, or when it was
    /// cancelled or died in a crash.
    pub status: Option<u16>,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ended with an answer.
    pub ended: u64,
    /// Ended requests whose answer was a failure.
    pub failed: u64,
    /// Requests shed before they ran.
    pub shed: u64,
    /// Requests dropped by their caller before they ended.
    pub cancelled: u64,
    /// Crashes by a marked request or the handle.
    pub crashes: u64,
    /// Announcements that the node took.
    pub announcements: u64,
}

/// The runs and the counts.
#[derive(Default)]
pub(crate) struct Ledger {
    pub(crate) runs: Vec<Run>,
    pub(crate) counts: Counts,
}

impl Ledger {
    /// Notes a run's start and returns its index.
    pub(crate) fn record_start(&mut self, run: Run) -> usize {
        self.counts.started += 1;
        self.runs.push(run);
        self.runs.len() - 1
    }

    /// Notes a run's answer.
    pub(crate) fn record_answer(&mut self, index: usize, status: u16) {
        self.counts.ended += 1;
        self.counts.failed += u64::from(status >= 500);
        self.runs[index].status = Some(status);
    }
}
