//! When a request opens a link to another node, and when it doesn't wait for one.
//!
//! Requests that need a link which isn't open share one attempt to open it and learn its result
//! at the same moment. After a failed attempt, further requests are turned away at once while
//! attempts go on in the background; see `docs/design/0011-peer-protocol.md`.

use std::time::Duration;

use crate::time::Tick;

/// Pause between two attempts to open a link to a node that requests ask for.
pub const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// Time after a failed attempt for which it is taken that the next one fails too.
///
/// A node that is asked for less often than this may have come back unnoticed, so its requests
/// wait for an attempt.
pub const UNREACHABLE_MEMORY: Duration = Duration::from_secs(1);

/// What a request does that needs a link which isn't open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkAction {
    /// It starts an attempt to open the link and waits for the result.
    Open,
    /// It waits for the result of the attempt in progress.
    Wait,
    /// It starts an attempt in the background and gives up at once.
    RejectAndReopen,
    /// It gives up at once.
    Reject,
}

/// Attempts to open the link to one node.
///
/// Load: a service has one backend server, whose node is frozen: it accepts connections and
/// answers nothing. Each request would otherwise wait for an attempt of its own, one after the
/// other, past the timeout of its route.
#[derive(Debug, Default)]
pub struct LinkAttempts {
    memory: Duration,
    failed_at: Option<Tick>,
    /// Whether an attempt is in progress, and whether it followed a failed one.
    in_progress: Option<Attempt>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    First,
    AfterFailure,
}

impl LinkAttempts {
    /// Creates the state of a link that has not been opened; `memory` is the time for which a
    /// failed attempt turns requests away, zero if each request waits for an attempt.
    pub fn new(memory: Duration) -> Self {
        Self { memory, failed_at: None, in_progress: None }
    }

    /// Decides what a request does at `now`, and notes the attempt that it starts.
    pub fn request(&mut self, now: Tick) -> LinkAction {
        match self.in_progress {
            Some(Attempt::First) => return LinkAction::Wait,
            Some(Attempt::AfterFailure) => return LinkAction::Reject,
            None => {}
        }
        let since_failure = self.failed_at.map(|at| now.since(at));
        match since_failure.filter(|since| *since < self.memory) {
            None => {
                self.in_progress = Some(Attempt::First);
                LinkAction::Open
            }
            Some(since) if since < REOPEN_PAUSE => LinkAction::Reject,
            Some(_) => {
                self.in_progress = Some(Attempt::AfterFailure);
                LinkAction::RejectAndReopen
            }
        }
    }

    /// Records that the attempt in progress has ended.
    pub fn record_end(&mut self, is_open: bool, now: Tick) {
        self.in_progress = None;
        self.failed_at = (!is_open).then_some(now);
    }

    /// Returns whether the last attempt failed.
    pub fn has_failed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Returns whether an attempt is in progress.
    pub fn is_in_progress(&self) -> bool {
        self.in_progress.is_some()
    }
}
