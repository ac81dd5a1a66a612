//! Ledger of every request that ran, against which tests check what callers
//! were told.

use serde::{Deserialize, Serialize};

/// One request that acquired a slot and started to run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The attempt's `Savorykeel-Request-Id`.
    pub attempt: Option<String>,
    /// The caller's `Idempotency-Key`.
    pub key: Option<String>,
    /// The caller's `X-Request-Tag`.
    pub tag: Option<String>,
    /// Time left until the deadline in milliseconds, from
    /// `Savorykeel-Deadline-Ms`.
    pub deadline_ms: Option<u64>,
    /// Number of calls above this one in the call chain, from `Savorykeel-Depth`.
    pub depth: Option<u32>,
    /// The `Authorization` header, as it reached the backend server.
    #[serde(default)]
    pub authorization: Option<String>,
    /// Name of the client account, from `Savorykeel-Account`.
    #[serde(default)]
    pub account: Option<String>,
    /// Method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Time from the backend server's start to the run's start, in milliseconds.
    pub started_ms: u64,
    /// HTTP status of the answer; `None` while the request runs, or if it was
    /// cancelled or ended by a crash.
    pub status: Option<u16>,
}

/// Counts since the backend server's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that started to run.
    pub started: u64,
    /// Requests that ended with an answer.
    pub ended: u64,
    /// Ended requests whose answer had a status of 500 or above.
    pub failed: u64,
    /// Requests shed with 503 before they ran.
    pub shed: u64,
    /// Requests cancelled before they ended, by their caller or by a crash.
    pub cancelled: u64,
    /// Crashes caused by a request with `X-Crash: 1` or by the handle.
    pub crashes: u64,
    /// Announcements that the node accepted.
    pub announcements: u64,
}

/// Runs in the order of their starts, and the counts.
#[derive(Default)]
pub(crate) struct Ledger {
    pub(crate) runs: Vec<Run>,
    pub(crate) counts: Counts,
}

impl Ledger {
    /// Records the start of a run and returns its index in `runs`.
    pub(crate) fn record_start(&mut self, run: Run) -> usize {
        self.counts.started += 1;
        self.runs.push(run);
        self.runs.len() - 1
    }

    /// Records the status of a run's answer.
    pub(crate) fn record_answer(&mut self, index: usize, status: u16) {
        self.counts.ended += 1;
        self.counts.failed += u64::from(status >= 500);
        self.runs[index].status = Some(status);
    }
}
