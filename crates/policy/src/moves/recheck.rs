//! Compares a finished version once more while something speaks against it.

use std::time::Duration;

use crate::{ids::RouteName, time::Tick};

use super::{
    judge::Judgement,
    state::{BadKind, BadReason, MoveState},
    suspicion::Suspicion,
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
    suspicion: Suspicion,
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
            suspicion: Suspicion::default(),
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
    pub(super) fn apply_state(&mut self, now: Tick, state: &MoveState) {
        if state.rechecks == self.count {
            return;
        }
        self.count = state.rechecks;
        if state.is_rechecking() {
            self.suspected = self.suspicion.route();
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

    /// Takes in one window.
    pub(super) fn record_window(&mut self, window: &Window, is_done: bool) {
        self.suspicion.look(window, is_done);
        self.was_clean &= !self.suspicion.is_raised() && !self.suspicion.is_common();
        self.calls += match &self.suspected {
            Some(route) => window.new.get(route).map_or(0, |tally| tally.run),
            None => window.new_run(),
        };
    }

    /// Begins a recheck, ends one, or takes the version back.
    pub(super) fn advance(&self, now: Tick, desired: &mut MoveState, judgement: &Judgement) {
        if desired.is_rechecking() {
            if self.may_end(now, judgement) {
                desired.rechecks += 1;
            }
            return;
        }
        if !self.suspicion.is_raised() || self.is_paused(now) {
            return;
        }
        if self.recoveries >= MAX_RECOVERIES && self.is_same_suspicion(now) {
            let route = self.suspicion.route();
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
