//! Rechecks: new comparisons of both versions after a move was done.
//!
//! A recheck begins when a suspicion against the new version is raised. The old
//! version then gets most of the traffic again until the recheck ends.

use std::time::Duration;

use crate::{ids::RouteName, time::Tick};

use super::{
    change_detector::ChangeDetector,
    judge::Judgement,
    state::{BadKind, BadReason, MoveState},
    window::Window,
};

/// Shortest duration of a recheck, unless a fault is found.
pub const MIN_RECHECK: Duration = Duration::from_secs(20);

/// Longest duration of a recheck.
pub const MAX_RECHECK: Duration = Duration::from_secs(600);

/// Calls of the new version on the suspected route after which a recheck that
/// found no fault may end.
pub const RECHECK_CALLS: u64 = 50;

/// Base of the pause between rechecks.
///
/// The pause doubles after each recheck in which the suspicion persisted or both
/// versions had changed, and is reset by one in which the fault disappeared.
pub const RECHECK_PAUSE: Duration = Duration::from_secs(60);

/// Longest pause between rechecks.
pub const MAX_RECHECK_PAUSE: Duration = Duration::from_secs(3_600);

/// Time after a recheck within which a new suspicion counts as the same one.
pub const SAME_SUSPICION: Duration = Duration::from_secs(300);

/// Number of consecutive rechecks in which the fault disappeared with most of the
/// traffic, after which the same suspicion rolls the version back.
pub const MAX_RECOVERIES: u32 = 3;

/// The rechecks of one move, as tracked by one node.
#[derive(Debug, Clone)]
pub(super) struct Rechecks {
    suspicion: ChangeDetector,
    suspected: Option<RouteName>,
    /// Number of rechecks begun and ended, as in the move's state.
    count: u32,
    since: Tick,
    calls: u64,
    was_clean: bool,
    ended: Option<Tick>,
    pause: Duration,
    recoveries: u32,
}

impl Rechecks {
    /// Creates the record of a move with `count` rechecks begun and ended.
    pub(super) fn new(now: Tick, count: u32) -> Self {
        Self {
            suspicion: ChangeDetector::default(),
            suspected: None,
            count,
            since: now,
            calls: 0,
            was_clean: true,
            ended: None,
            pause: RECHECK_PAUSE,
            recoveries: 0,
        }
    }

    /// Applies rechecks that any node began or ended.
    pub(super) fn apply_state(&mut self, now: Tick, state: &MoveState) {
        if state.rechecks == self.count {
            return;
        }
        self.count = state.rechecks;
        if state.is_rechecking() {
            self.suspected = self.suspicion.changed_route();
            if !self.is_same_suspicion(now) {
                self.recoveries = 0;
            }
        } else {
            self.record_end(now);
        }
        self.since = now;
        self.calls = 0;
        self.was_clean = true;
        self.suspicion.reset();
    }

    fn record_end(&mut self, now: Tick) {
        self.ended = Some(now);
        if self.was_clean {
            self.recoveries += 1;
            self.pause = RECHECK_PAUSE;
        } else {
            self.recoveries = 0;
            self.pause = (self.pause * 2).min(MAX_RECHECK_PAUSE);
        }
    }

    /// Records the calls of one window.
    pub(super) fn record_window(&mut self, window: &Window, is_done: bool) {
        self.suspicion.update(window, is_done);
        self.was_clean &=
            !self.suspicion.has_new_version_changed() && !self.suspicion.has_old_version_changed();
        self.calls += match &self.suspected {
            Some(route) => window.new.get(route).map_or(0, |tally| tally.run),
            None => window.new_run(),
        };
    }

    /// Begins a recheck, ends one, or rolls the version back.
    pub(super) fn advance(&self, now: Tick, desired: &mut MoveState, judgement: &Judgement) {
        if desired.is_rechecking() {
            if self.may_end(now, judgement) {
                desired.rechecks += 1;
            }
            return;
        }
        if !self.suspicion.has_new_version_changed() || self.is_paused(now) {
            return;
        }
        if self.recoveries >= MAX_RECOVERIES && self.is_same_suspicion(now) {
            let route = self.suspicion.changed_route();
            desired.bad = Some(BadReason { kind: BadKind::UnderLoad, route });
            return;
        }
        desired.rechecks += 1;
    }

    fn may_end(&self, now: Tick, judgement: &Judgement) -> bool {
        let lasted = now.since(self.since);
        let has_calls = lasted >= MIN_RECHECK && self.calls >= RECHECK_CALLS;
        (has_calls && *judgement == Judgement::Clear) || lasted >= MAX_RECHECK
    }

    /// Returns whether the pause since the last recheck isn't over.
    ///
    /// There is no pause after a recheck in which the fault disappeared with most
    /// of the traffic. A fault that affects both versions has another cause, so
    /// checking for it again can wait.
    fn is_paused(&self, now: Tick) -> bool {
        let pause = if self.recoveries > 0 { Duration::ZERO } else { self.pause };
        self.ended.is_some_and(|at| now.since(at) < pause)
    }

    fn is_same_suspicion(&self, now: Tick) -> bool {
        self.ended.is_some_and(|at| now.since(at) < SAME_SUSPICION)
    }
}
