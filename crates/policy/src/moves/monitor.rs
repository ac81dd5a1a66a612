//! One node's watch over one move: evidence in, the move's next state out.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    config::model::DueTime,
    ids::{BackendVersion, RouteName},
    time::{Tick, WallMillis},
};

use super::{
    capacity::Capacity,
    evidence::Evidence,
    judge::{Judge, Judgement},
    quick::{QuickJudge, worse},
    ramp::{EvidenceLevel, MoveDeadline, RampInput, next_share},
    recheck::Rechecks,
    short::{self, ShortInput},
    state::{MoveState, Permille},
    status::CallCounts,
    window::{Increments, Window},
};

/// Calls on the new version at one step that show a fault of two in a hundred.
pub const SUFFICIENT_CALLS: u64 = 300;

/// Time with all traffic before a move counts as done.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time without any live old instance after which the new version needs no
/// ramp: an unreachable instance may come back, and a node that just started
/// doesn't know all instances yet.
pub const OLD_ABSENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The same for a service of which no earlier version is known.
pub const NO_BASELINE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time over which the slots in use are averaged.
const BUSY_SLOTS_AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Why there may be no old version to move from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// An earlier version is known, whether or not it has live instances.
    Known,
    /// No earlier version is known.
    Unknown,
    /// The target is the version that carried the traffic all along.
    Target,
}

/// What a look sees.
#[derive(Debug, Clone, Copy)]
pub struct MonitorInput<'a> {
    /// Monotonic time.
    pub tick: Tick,
    /// Wall-clock time.
    pub wall: WallMillis,
    /// When the configuration asks for the whole share.
    pub due: Option<DueTime>,
    /// When the move was first seen by any node, where that is known.
    pub since: Option<WallMillis>,
    /// Largest share before there is evidence.
    pub unproven_share: Permille,
    /// Version that loses traffic, when it has live instances.
    pub old: Option<&'a BackendVersion>,
    /// Why `old` may be none.
    pub baseline: Baseline,
    /// Version that gains traffic.
    pub new: &'a BackendVersion,
    /// Slots of both.
    pub capacity: Capacity,
    /// Live instances of the new version.
    pub new_instances: u32,
    /// Longest time that a request to the service may take.
    pub longest_request: Duration,
    /// Evidence of the service's nodes.
    pub evidence: &'a Evidence,
}

impl MonitorInput<'_> {
    /// Returns the start of the move; a clock that was set back doesn't lengthen it.
    fn start(&self) -> WallMillis {
        self.since.map_or(self.wall, |since| since.min(self.wall))
    }
}

/// Watches one move.
#[derive(Debug, Clone)]
pub struct MoveMonitor {
    deadline: MoveDeadline,
    asked: Option<DueTime>,
    judge: Judge,
    quick: QuickJudge,
    increments: Increments,
    rechecks: Rechecks,
    step: Permille,
    step_since: Tick,
    step_calls: u64,
    last_evaluation: Tick,
    old_last_live: Tick,
    busy_slots: f64,
    old_counts: CallCounts,
    new_counts: CallCounts,
}

impl MoveMonitor {
    /// Starts to watch a move of a service with `route_count` routes.
    pub fn new(route_count: usize, input: &MonitorInput<'_>, state: &MoveState) -> Self {
        Self {
            deadline: MoveDeadline::new(input.start(), input.due),
            asked: input.due,
            judge: Judge::new(route_count, input.tick),
            quick: QuickJudge::default(),
            increments: Increments::default(),
            rechecks: Rechecks::new(input.tick, state.rechecks),
            step: state.share,
            step_since: input.tick,
            step_calls: 0,
            last_evaluation: input.tick,
            old_last_live: input.tick,
            busy_slots: 0.0,
            old_counts: CallCounts::default(),
            new_counts: CallCounts::default(),
        }
    }

    /// Takes in what happened since the last look and returns the state that
    /// this node wants; merging it is the caller's part.
    pub fn evaluate(&mut self, input: &MonitorInput<'_>, state: &MoveState) -> MoveState {
        self.apply_state(input, state);
        let window = self.increments.advance(input.tick, input.evidence, input.old, input.new);
        self.update_counts(input.tick, &window);
        let quick = self.quick.look(input.tick, input.evidence, input.old, input.new);
        let mut judgement = self.judge.look(input.tick, state.rechecks, &window);
        if self.is_short() && !state.done {
            judgement = worse(quick, judgement);
        }
        self.rechecks.record_window(&window, state.done);
        let mut desired = state.clone();
        if state.bad.is_some() {
            return desired;
        }
        if let Judgement::Bad(reason) = judgement {
            desired.bad = Some(reason);
            return desired;
        }
        if !state.done {
            self.raise_share(input, &mut desired, judgement);
        } else if input.old.is_some() {
            self.rechecks.advance(input.tick, &mut desired, &judgement);
        }
        desired
    }

    /// Returns how the time asked for was understood.
    pub fn deadline(&self) -> MoveDeadline {
        self.deadline
    }

    /// Returns the calls of the old version that this node knows of.
    pub fn old_counts(&self) -> CallCounts {
        self.old_counts
    }

    /// Returns the calls of the new version that this node knows of.
    pub fn new_counts(&self) -> CallCounts {
        self.new_counts
    }

    /// Tells whether too few calls ran to show a fault.
    pub fn is_evidence_thin(&self) -> bool {
        self.new_counts.run < SUFFICIENT_CALLS
    }

    /// Returns the evidence against the version in parts of a verdict.
    pub fn weight(&self) -> f64 {
        self.judge.weight()
    }

    /// Tells whether the move is to be done within seconds of its beginning.
    pub fn is_short(&self) -> bool {
        matches!(self.asked, Some(DueTime::Within(span)) if span <= short::MAX_SPAN)
    }

    /// Takes over what other nodes decided since the last look.
    fn apply_state(&mut self, input: &MonitorInput<'_>, state: &MoveState) {
        if input.due != self.asked {
            self.asked = input.due;
            self.deadline = MoveDeadline::new(input.start(), input.due);
        }
        if state.share != self.step {
            self.step = state.share;
            self.step_since = input.tick;
            self.step_calls = 0;
        }
        self.rechecks.apply_state(input.tick, state);
    }

    fn update_counts(&mut self, now: Tick, window: &Window) {
        self.step_calls += window.new_run();
        add_counts(&mut self.old_counts, &window.old);
        add_counts(&mut self.new_counts, &window.new);
        let span = now.since(self.last_evaluation);
        self.last_evaluation = now;
        if span.is_zero() {
            return;
        }
        let busy = window.busy_ms as f64 / span.as_millis() as f64;
        let weight = (span.as_secs_f64() / BUSY_SLOTS_AVERAGING_TIME.as_secs_f64()).min(1.0);
        self.busy_slots += (busy - self.busy_slots) * weight;
    }

    fn raise_share(
        &mut self,
        input: &MonitorInput<'_>,
        desired: &mut MoveState,
        judgement: Judgement,
    ) {
        if input.old.is_none() {
            self.raise_share_without_old(input, desired);
            return;
        }
        self.old_last_live = input.tick;
        let in_step = input.tick.since(self.step_since);
        let settle = match self.is_short() {
            true => short::settle_time(input.longest_request),
            false => SETTLE_TIME,
        };
        if desired.share == Permille::FULL {
            let is_clear = !self.is_short() || judgement == Judgement::Clear;
            let has_room = input.capacity.max_share() == Permille::FULL;
            desired.done = in_step >= settle && has_room && is_clear;
            return;
        }
        if self.is_short() {
            desired.share = short::next_share(&ShortInput {
                share: desired.share,
                elapsed: Duration::from_millis(input.wall.0.saturating_sub(self.deadline.start.0)),
                span: Duration::from_millis(
                    self.deadline.at.0.saturating_sub(self.deadline.start.0),
                ),
                longest_request: input.longest_request,
                judgement: &judgement,
                unproven_share: input.unproven_share,
                new_instances: input.new_instances,
            });
            return;
        }
        desired.share = next_share(&RampInput {
            share: desired.share,
            in_step,
            time_left: self.deadline.time_left(input.wall),
            evidence: self.evidence_level(judgement),
            unproven_share: input.unproven_share,
            max_share: input.capacity.max_share_at_load(self.busy_slots),
        });
    }

    fn raise_share_without_old(&self, input: &MonitorInput<'_>, desired: &mut MoveState) {
        let timeout = match input.baseline {
            Baseline::Known => OLD_ABSENCE_TIMEOUT,
            Baseline::Unknown => NO_BASELINE_TIMEOUT,
            Baseline::Target => Duration::ZERO,
        };
        let is_alone = input.tick.since(self.old_last_live) >= timeout;
        if is_alone && input.capacity.new_slots > 0 {
            desired.share = Permille::FULL;
            desired.done = true;
        }
    }

    fn evidence_level(&self, judgement: Judgement) -> EvidenceLevel {
        if judgement != Judgement::Clear {
            return EvidenceLevel::Adverse;
        }
        if self.step_calls < SUFFICIENT_CALLS {
            EvidenceLevel::Insufficient
        } else {
            EvidenceLevel::Sufficient
        }
    }
}

fn add_counts(counts: &mut CallCounts, tallies: &BTreeMap<RouteName, super::window::Tally>) {
    for tally in tallies.values() {
        counts.run += tally.run;
        counts.failed += tally.failed;
    }
}
