//! Compares a finished version once more while something speaks against it.

use std::time::Duration;

use crate::{ids::RouteName, time::Tick};

use super::{
    change_detector::ChangeDetector,
    judge::Judgement,
    state::{BadKind, BadReason, MoveState},
    window::Window,
};

/// Shortest recheck.
pub const MIN_RECHECK: Duration = Duration::from_secs(20);

/// Longest recheck.
pub const MAX_RECHECK: Duration = Duration::from_secs(600);

/// Calls of the new version on the suspected route that end a recheck which
/// found nothing.
pub const RECHECK_CALLS: u64 = 50;

/// Pause before a recheck after one that found a fault of both versions.
pub const RECHECK_PAUSE: Duration = Duration::from_secs(60);

/// Longest pause before a recheck.
pub const MAX_RECHECK_PAUSE: Duration = Duration::from_secs(3_600);

/// Time after a recheck within which a suspicion counts as the same one.
pub const SAME_SUSPICION: Duration = Duration::from_secs(300);

/// Rechecks in a row in which the fault went with most of the traffic.
pub const MAX_RECOVERIES: u32 = 3;

/// The rechecks of one move, as one node sees them.
#[derive(Debug, Clone)]
pub(super) struct Rechecks {
    suspicion: ChangeDetector,
    suspected: Option<RouteName>,
    /// Rechecks begun and ended, as in the move's state.
    count: u32,
    since: Tick,
    calls: u64,
    was_clean: bool,
    ended: Option<Tick>,
    pause: Duration,
    recoveries: u32,
}

impl Rechecks {
    /// Starts to watch a move.
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

    /// Takes over rechecks that any node began or ended.
    pub(super) fn follow(&mut self, now: Tick, state: &MoveState) {
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
            self.note_end(now);
        }
        self.since = now;
        self.calls = 0;
        self.was_clean = true;
        self.suspicion.reset();
    }

    fn note_end(&mut self, now: Tick) {
        self.ended = Some(now);
        if self.was_clean {
            self.recoveries += 1;
            self.pause = RECHECK_PAUSE;
        } else {
            self.recoveries = 0;
            self.pause = (self.pause * 2).min(MAX_RECHECK_PAUSE);
        }
    }

    /// Takes in one window.
    pub(super) fn look(&mut self, window: &Window, is_done: bool) {
        self.suspicion.update(window, is_done);
        self.was_clean &=
            !self.suspicion.has_new_version_changed() && !self.suspicion.has_old_version_changed();
        self.calls += match &self.suspected {
            Some(route) => window.new.get(route).map_or(0, |tally| tally.run),
            None => window.new_run(),
        };
    }

    /// Begins a recheck, ends one, or takes the version back.
    pub(super) fn go_on(&self, now: Tick, wanted: &mut MoveState, judgement: &Judgement) {
        if wanted.is_rechecking() {
            if self.may_end(now, judgement) {
                wanted.rechecks += 1;
            }
            return;
        }
        if !self.suspicion.has_new_version_changed() || self.is_paused(now) {
            return;
        }
        if self.recoveries >= MAX_RECOVERIES && self.is_same_suspicion(now) {
            let route = self.suspicion.changed_route();
            wanted.bad = Some(BadReason { kind: BadKind::UnderLoad, route });
            return;
        }
        wanted.rechecks += 1;
    }

    fn may_end(&self, now: Tick, judgement: &Judgement) -> bool {
        let lasted = now.since(self.since);
        let has_calls = lasted >= MIN_RECHECK && self.calls >= RECHECK_CALLS;
        (has_calls && *judgement == Judgement::Clear) || lasted >= MAX_RECHECK
    }

    /// A fault that went away with most of the traffic is looked for again at
    /// once; one that hit both versions is somebody else's.
    fn is_paused(&self, now: Tick) -> bool {
        let pause = if self.recoveries > 0 { Duration::ZERO } else { self.pause };
        self.ended.is_some_and(|at| now.since(at) < pause)
    }

    fn is_same_suspicion(&self, now: Tick) -> bool {
        self.ended.is_some_and(|at| now.since(at) < SAME_SUSPICION)
    }
}
