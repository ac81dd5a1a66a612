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
    quick::{QuickJudge, more_severe},
    ramp::{Due, Proof, RampInput, next_share},
    recheck::Rechecks,
    short::{self, ShortInput},
    state::{MoveState, Permille},
    status::Seen,
    window::{Increments, Window},
};

/// Calls on the new version at one step that show a fault of two in a hundred.
pub const PROOF_CALLS: u64 = 300;

/// Time with all traffic before a move counts as done.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time without any live old instance after which the new version needs no
/// ramp: an unreachable instance may come back, and a node that just started
/// doesn't know all instances yet.
pub const OLD_GONE_TIME: Duration = Duration::from_secs(60);

/// The same for a service of which no earlier version is known.
pub const NO_OLD_TIME: Duration = Duration::from_secs(5);

/// Time over which the slots in use are averaged.
const BUSY_SPAN: Duration = Duration::from_secs(5);

/// Why there may be no old version to move from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Base {
    /// An earlier version is known, whether or not it has live instances.
    Known,
    /// No earlier version is known.
    Unknown,
    /// The target is the version that carried the traffic all along.
    Target,
}

/// What a look sees.
#[derive(Debug, Clone, Copy)]
pub struct Look<'a> {
    /// Monotonic time.
    pub tick: Tick,
    /// Wall-clock time.
    pub wall: WallMillis,
    /// When the configuration asks for the whole share.
    pub due: Option<DueTime>,
    /// When the move was first seen by any node, where that is known.
    pub since: Option<WallMillis>,
    /// Largest share before there is evidence.
    pub unproven: Permille,
    /// Version that loses traffic, when it has live instances.
    pub old: Option<&'a BackendVersion>,
    /// Why `old` may be none.
    pub base: Base,
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

impl Look<'_> {
    /// Returns the start of the move; a clock that was set back doesn't lengthen it.
    fn start(&self) -> WallMillis {
        self.since.map_or(self.wall, |since| since.min(self.wall))
    }
}

/// Watches one move.
#[derive(Debug, Clone)]
pub struct Watch {
    due: Due,
    asked: Option<DueTime>,
    judge: Judge,
    quick: QuickJudge,
    increments: Increments,
    rechecks: Rechecks,
    step: Permille,
    step_since: Tick,
    step_calls: u64,
    last_look: Tick,
    old_seen: Tick,
    busy_slots: f64,
    seen_old: Seen,
    seen_new: Seen,
}

impl Watch {
    /// Starts to watch a move of a service with `route_count` routes.
    pub fn new(route_count: usize, look: &Look<'_>, state: &MoveState) -> Self {
        Self {
            due: Due::new(look.start(), look.due),
            asked: look.due,
            judge: Judge::new(route_count, look.tick),
            quick: QuickJudge::default(),
            increments: Increments::default(),
            rechecks: Rechecks::new(look.tick, state.rechecks),
            step: state.share,
            step_since: look.tick,
            step_calls: 0,
            last_look: look.tick,
            old_seen: look.tick,
            busy_slots: 0.0,
            seen_old: Seen::default(),
            seen_new: Seen::default(),
        }
    }

    /// Takes in what happened since the last look and returns the state that
    /// this node wants; merging it is the caller's part.
    pub fn look(&mut self, look: &Look<'_>, state: &MoveState) -> MoveState {
        self.follow(look, state);
        let window = self.increments.advance(look.tick, look.evidence, look.old, look.new);
        self.count(look.tick, &window);
        let quick = self.quick.evaluate(look.tick, look.evidence, look.old, look.new);
        let mut judgement = self.judge.evaluate(look.tick, state.rechecks, &window);
        if self.is_short() && !state.done {
            judgement = more_severe(quick, judgement);
        }
        self.rechecks.look(&window, state.done);
        let mut wanted = state.clone();
        if state.bad.is_some() {
            return wanted;
        }
        if let Judgement::Bad(reason) = judgement {
            wanted.bad = Some(reason);
            return wanted;
        }
        if !state.done {
            self.rise(look, &mut wanted, judgement);
        } else if look.old.is_some() {
            self.rechecks.go_on(look.tick, &mut wanted, &judgement);
        }
        wanted
    }

    /// Returns how the time asked for was understood.
    pub fn due(&self) -> Due {
        self.due
    }

    /// Returns the calls of the old version that this node knows of.
    pub fn seen_old(&self) -> Seen {
        self.seen_old
    }

    /// Returns the calls of the new version that this node knows of.
    pub fn seen_new(&self) -> Seen {
        self.seen_new
    }

    /// Tells whether too few calls ran to show a fault.
    pub fn is_evidence_thin(&self) -> bool {
        self.seen_new.run < PROOF_CALLS
    }

    /// Returns the evidence against the version in parts of a verdict.
    pub fn weight(&self) -> f64 {
        self.judge.evidence_fraction()
    }

    /// Tells whether the move is to be done within seconds of its beginning.
    pub fn is_short(&self) -> bool {
        matches!(self.asked, Some(DueTime::Within(span)) if span <= short::LONGEST)
    }

    /// Takes over what other nodes decided since the last look.
    fn follow(&mut self, look: &Look<'_>, state: &MoveState) {
        if look.due != self.asked {
            self.asked = look.due;
            self.due = Due::new(look.start(), look.due);
        }
        if state.share != self.step {
            self.step = state.share;
            self.step_since = look.tick;
            self.step_calls = 0;
        }
        self.rechecks.follow(look.tick, state);
    }

    fn count(&mut self, now: Tick, window: &Window) {
        self.step_calls += window.new_run();
        add_seen(&mut self.seen_old, &window.old);
        add_seen(&mut self.seen_new, &window.new);
        let span = now.since(self.last_look);
        self.last_look = now;
        if span.is_zero() {
            return;
        }
        let busy = window.busy_ms as f64 / span.as_millis() as f64;
        let weight = (span.as_secs_f64() / BUSY_SPAN.as_secs_f64()).min(1.0);
        self.busy_slots += (busy - self.busy_slots) * weight;
    }

    fn rise(&mut self, look: &Look<'_>, wanted: &mut MoveState, judgement: Judgement) {
        if look.old.is_none() {
            self.rise_alone(look, wanted);
            return;
        }
        self.old_seen = look.tick;
        let in_step = look.tick.since(self.step_since);
        let settle = match self.is_short() {
            true => short::settle_time(look.longest_request),
            false => SETTLE_TIME,
        };
        if wanted.share == Permille::FULL {
            let is_clear = !self.is_short() || judgement == Judgement::Clear;
            let has_room = look.capacity.ceiling() == Permille::FULL;
            wanted.done = in_step >= settle && has_room && is_clear;
            return;
        }
        if self.is_short() {
            wanted.share = short::next_share(&ShortInput {
                share: wanted.share,
                elapsed: Duration::from_millis(look.wall.0.saturating_sub(self.due.start.0)),
                span: Duration::from_millis(self.due.at.0.saturating_sub(self.due.start.0)),
                longest_request: look.longest_request,
                judgement: &judgement,
                unproven: look.unproven,
                new_instances: look.new_instances,
            });
            return;
        }
        wanted.share = next_share(&RampInput {
            share: wanted.share,
            in_step,
            left: self.due.left(look.wall),
            proof: self.proof(judgement),
            unproven: look.unproven,
            ceiling: look.capacity.ceiling_under(self.busy_slots),
        });
    }

    fn rise_alone(&self, look: &Look<'_>, wanted: &mut MoveState) {
        let patience = match look.base {
            Base::Known => OLD_GONE_TIME,
            Base::Unknown => NO_OLD_TIME,
            Base::Target => Duration::ZERO,
        };
        let is_alone = look.tick.since(self.old_seen) >= patience;
        if is_alone && look.capacity.new_slots > 0 {
            wanted.share = Permille::FULL;
            wanted.done = true;
        }
    }

    fn proof(&self, judgement: Judgement) -> Proof {
        if judgement != Judgement::Clear {
            return Proof::Worrying;
        }
        if self.step_calls < PROOF_CALLS { Proof::Thin } else { Proof::Enough }
    }
}

fn add_seen(seen: &mut Seen, tallies: &BTreeMap<RouteName, super::window::Tally>) {
    for tally in tallies.values() {
        seen.run += tally.run;
        seen.failed += tally.failed;
    }
}
