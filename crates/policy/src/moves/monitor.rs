//! Monitors a move on one node: derives the move's next state from the evidence.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    config::model::DueTime,
    ids::{BackendVersion, RouteName},
    membership::quorum::Standing,
    time::{Tick, WallMillis},
};

use super::{
    capacity::Capacity,
    evidence::Evidence,
    judge::{Judge, Judgement},
    quick::{QuickJudge, more_severe},
    ramp::{EvidenceLevel, MoveDeadline, RampInput, next_share},
    recheck::Rechecks,
    short::{self, ShortInput},
    state::{MoveState, Permille},
    status::CallCounts,
    window::{Increments, Window},
};

/// Calls of the new version at one step that are enough to reveal a failure rate
/// of two in a hundred.
pub const SUFFICIENT_CALLS: u64 = 300;

/// Time for which the new version must have all traffic before the move is done.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time without any live instance of the old version after which the new version
/// gets all traffic without a ramp.
///
/// It isn't shorter because an unreachable instance may return, and because a node
/// that has just started doesn't know all instances yet.
pub const OLD_ABSENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Same as [`OLD_ABSENCE_TIMEOUT`], for a service without a known earlier version and for moves
/// of at most [`short::MAX_SPAN`].
pub const NO_BASELINE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time before the deadline at which a move is completed whose old version can't be reached and
/// may be running behind a partition. It suffices for the status to be written.
const UNREACHABLE_RESERVE: Duration = Duration::from_millis(2_500);

/// Time constant of the moving average of the slots in use.
const BUSY_SLOTS_AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Why there may be no old version to move from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// An earlier version was recorded, whether or not it has live instances.
    Known,
    /// No earlier version has been recorded.
    Unknown,
    /// The target itself has carried the traffic without interruption.
    Target,
}

/// Input of one evaluation of a move.
#[derive(Debug, Clone, Copy)]
pub struct MonitorInput<'a> {
    /// Monotonic time.
    pub tick: Tick,
    /// Wall-clock time.
    pub wall: WallMillis,
    /// When the configuration requests all traffic on the new version.
    pub due: Option<DueTime>,
    /// When any node first detected the move, if known.
    pub since: Option<WallMillis>,
    /// Largest share of the new version before there is evidence about it.
    pub unproven_share: Permille,
    /// Version that loses traffic; none when it has no live instances.
    pub old: Option<&'a BackendVersion>,
    /// Why `old` may be none.
    pub baseline: Baseline,
    /// Whether another version than `new` may be running on nodes that can't be reached.
    pub may_old_be_cut_off: bool,
    /// What this node may conclude. Outside the majority, it may be the node that is cut off.
    pub standing: Standing,
    /// Version that gains traffic.
    pub new: &'a BackendVersion,
    /// Slots of both versions.
    pub capacity: Capacity,
    /// Number of live instances of the new version.
    pub new_instances: u32,
    /// Longest time that a request to the service may take.
    pub longest_request: Duration,
    /// Evidence reported by the nodes of the service.
    pub evidence: &'a Evidence,
}

impl MonitorInput<'_> {
    /// Returns the start of the move.
    ///
    /// The start is never in the future, so that a wall clock that was set back
    /// doesn't lengthen the move.
    fn start(&self) -> WallMillis {
        self.since.map_or(self.wall, |since| since.min(self.wall))
    }
}

/// Monitors one move and decides on its next state.
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
    /// Creates a monitor for a move of a service with `route_count` routes.
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

    /// Evaluates the evidence since the last evaluation and returns the next state
    /// that this node proposes.
    ///
    /// The caller merges the returned state into the state of the move.
    pub fn evaluate(&mut self, input: &MonitorInput<'_>, state: &MoveState) -> MoveState {
        self.apply_state(input, state);
        let window = self.increments.advance(input.tick, input.evidence, input.old, input.new);
        self.update_counts(input.tick, &window);
        let quick = self.quick.evaluate(input.tick, input.evidence, input.old, input.new);
        let mut judgement = self.judge.evaluate(input.tick, state.rechecks, &window);
        if self.is_short() && !state.done {
            judgement = more_severe(quick, judgement);
        }
        self.rechecks.record_window(&window, state.done);
        let mut desired = state.clone();
        if state.bad.is_some() {
            return desired;
        }
        if let Judgement::Bad(reason) = judgement {
            // On a node that is cut off, a version without another one to compare it with may
            // fail because of the cut.
            if input.standing != Standing::Alone || input.old.is_some() {
                desired.bad = Some(reason);
            }
            return desired;
        }
        let is_majority = input.standing == Standing::Majority;
        if input.old.is_some() || !is_majority {
            self.old_last_live = input.tick;
        }
        if !is_majority {
            return desired;
        }
        if !state.done {
            self.raise_share(input, &mut desired, judgement);
        } else if input.old.is_some() {
            self.rechecks.advance(input.tick, &mut desired, &judgement);
        }
        desired
    }

    /// Returns the deadline of the move.
    pub fn deadline(&self) -> MoveDeadline {
        self.deadline
    }

    /// Returns the calls of the old version that this node has counted.
    pub fn old_counts(&self) -> CallCounts {
        self.old_counts
    }

    /// Returns the calls of the new version that this node has counted.
    pub fn new_counts(&self) -> CallCounts {
        self.new_counts
    }

    /// Returns whether the new version ran too few calls to reveal a fault.
    pub fn is_evidence_thin(&self) -> bool {
        self.new_counts.run < SUFFICIENT_CALLS
    }

    /// Returns the strength of the evidence against the new version, as a fraction of
    /// what a verdict needs.
    pub fn weight(&self) -> f64 {
        self.judge.evidence_fraction()
    }

    /// Returns whether the move follows the plan for moves of at most
    /// [`short::MAX_SPAN`].
    pub fn is_short(&self) -> bool {
        matches!(self.asked, Some(DueTime::Within(span)) if span <= short::MAX_SPAN)
    }

    /// Returns the time from the start of the move within which it should be done.
    fn span(&self) -> Duration {
        Duration::from_millis(self.deadline.at.0.saturating_sub(self.deadline.start.0))
    }

    /// Applies what the configuration and other nodes changed since the last
    /// evaluation.
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
            self.raise_share_without_old(input, desired, judgement);
            return;
        }
        let in_step = input.tick.since(self.step_since);
        let settle = match self.is_short() {
            true => short::settle_time(input.longest_request, self.span()),
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
                step_calls: self.step_calls,
                elapsed: Duration::from_millis(input.wall.0.saturating_sub(self.deadline.start.0)),
                span: self.span(),
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

    fn raise_share_without_old(
        &self,
        input: &MonitorInput<'_>,
        desired: &mut MoveState,
        judgement: Judgement,
    ) {
        let timeout = match input.baseline {
            Baseline::Target => Duration::ZERO,
            Baseline::Unknown => NO_BASELINE_TIMEOUT,
            Baseline::Known if self.is_short() => NO_BASELINE_TIMEOUT,
            Baseline::Known => OLD_ABSENCE_TIMEOUT,
        };
        let is_absent = input.tick.since(self.old_last_live) >= timeout;
        let may_return = input.may_old_be_cut_off && input.baseline != Baseline::Target;
        let time_left = Duration::from_millis(self.deadline.at.0.saturating_sub(input.wall.0));
        let is_last_moment = time_left <= UNREACHABLE_RESERVE;
        let is_clear = judgement == Judgement::Clear;
        if is_absent && is_clear && (!may_return || is_last_moment) && input.capacity.new_slots > 0
        {
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
