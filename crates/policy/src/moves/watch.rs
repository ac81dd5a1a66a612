//! One node's watch over one move: evidence in, the move's next state out.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    ids::{BackendVersion, RouteName},
    time::{Tick, WallMillis},
};

use super::{
    capacity::Capacity,
    evidence::Evidence,
    judge::{Judge, Judgement},
    ramp::{Due, Proof, RampInput, next_share},
    state::{BadKind, BadReason, MoveState, Permille},
    status::Seen,
    suspicion::Suspicion,
    window::{Increments, Window},
};

/// Calls on the new version at one step that show a fault of two in a hundred.
pub const PROOF_CALLS: u64 = 300;

/// Time with all traffic before a move counts as done.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Shortest recheck.
pub const MIN_RECHECK: Duration = Duration::from_secs(20);

/// Longest recheck.
pub const MAX_RECHECK: Duration = Duration::from_secs(600);

/// Calls of the new version on the suspected route that end a recheck which
/// found nothing.
pub const RECHECK_CALLS: u64 = 50;

/// Pause before a recheck after one that found a fault of both versions.
pub const RECHECK_PAUSE: Duration = Duration::from_secs(60);

/// Time after a recheck within which a suspicion counts as the same one.
pub const SAME_SUSPICION: Duration = Duration::from_secs(300);

/// Rechecks in a row in which the fault went with most of the traffic.
pub const MAX_RECOVERIES: u32 = 3;

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
    /// Time by which the configuration asks for the whole share.
    pub by: Option<WallMillis>,
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
    /// Evidence of the service's nodes.
    pub evidence: &'a Evidence,
}

/// Watches one move.
#[derive(Debug, Clone)]
pub struct Watch {
    due: Due,
    by: Option<WallMillis>,
    judge: Judge,
    increments: Increments,
    suspicion: Suspicion,
    step: Permille,
    step_since: Tick,
    step_calls: u64,
    last_look: Tick,
    old_seen: Tick,
    busy_slots: f64,
    rechecks: u32,
    recheck_since: Tick,
    recheck_calls: u64,
    suspected: Option<RouteName>,
    recheck_was_clean: bool,
    recheck_ended: Option<Tick>,
    recheck_pause: Duration,
    recoveries: u32,
    seen_old: Seen,
    seen_new: Seen,
}

impl Watch {
    /// Starts to watch a move of a service with `route_count` routes.
    pub fn new(route_count: usize, look: &Look<'_>, state: &MoveState) -> Self {
        Self {
            due: Due::new(look.wall, look.by),
            by: look.by,
            judge: Judge::new(route_count, look.tick),
            increments: Increments::default(),
            suspicion: Suspicion::default(),
            step: state.share,
            step_since: look.tick,
            step_calls: 0,
            last_look: look.tick,
            old_seen: look.tick,
            busy_slots: 0.0,
            rechecks: state.rechecks,
            recheck_since: look.tick,
            recheck_calls: 0,
            suspected: None,
            recheck_was_clean: true,
            recheck_ended: None,
            recheck_pause: RECHECK_PAUSE,
            recoveries: 0,
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
        let judgement = self.judge.look(look.tick, state.rechecks, &window);
        self.suspicion.look(&window, state.done);
        self.recheck_was_clean &= !self.suspicion.is_raised() && !self.suspicion.is_common();
        let mut wanted = state.clone();
        if state.bad.is_some() {
            return wanted;
        }
        if let Judgement::Bad(reason) = judgement {
            wanted.bad = Some(reason);
            return wanted;
        }
        if state.done {
            self.recheck(look, &mut wanted, judgement);
        } else {
            self.rise(look, &mut wanted, judgement);
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
        self.judge.weight()
    }

    /// Takes over what other nodes decided since the last look.
    fn follow(&mut self, look: &Look<'_>, state: &MoveState) {
        if look.by != self.by {
            self.by = look.by;
            self.due = Due::new(look.wall, look.by);
        }
        if state.share != self.step {
            self.step = state.share;
            self.step_since = look.tick;
            self.step_calls = 0;
        }
        if state.rechecks != self.rechecks {
            self.rechecks = state.rechecks;
            self.recheck_since = look.tick;
            self.recheck_calls = 0;
            self.recheck_was_clean = true;
            self.suspicion.reset();
            if !state.is_rechecking() {
                self.recheck_ended = Some(look.tick);
            }
        }
    }

    fn count(&mut self, now: Tick, window: &Window) {
        self.step_calls += window.new_run();
        self.recheck_calls += match &self.suspected {
            Some(route) => window.new.get(route).map_or(0, |tally| tally.run),
            None => window.new_run(),
        };
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
        let is_settled = in_step >= SETTLE_TIME;
        if wanted.share == Permille::FULL {
            wanted.done = is_settled && look.capacity.ceiling() == Permille::FULL;
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

    /// Compares a finished version once more while something speaks against it.
    fn recheck(&mut self, look: &Look<'_>, wanted: &mut MoveState, judgement: Judgement) {
        if look.old.is_none() {
            return;
        }
        if wanted.is_rechecking() {
            self.end_recheck(look, wanted, judgement);
            return;
        }
        let is_paused =
            self.recheck_ended.is_some_and(|at| look.tick.since(at) < self.pause_after());
        if !self.suspicion.is_raised() || is_paused {
            return;
        }
        let is_same = self.recheck_ended.is_some_and(|at| look.tick.since(at) < SAME_SUSPICION);
        if !is_same {
            self.recoveries = 0;
        }
        if self.recoveries >= MAX_RECOVERIES {
            let route = self.suspicion.route();
            wanted.bad = Some(BadReason { kind: BadKind::UnderLoad, route });
            return;
        }
        self.suspected = self.suspicion.route();
        wanted.rechecks += 1;
    }

    /// A fault that went away with most of the traffic is looked for again at
    /// once; one that hit both versions is somebody else's.
    fn pause_after(&self) -> Duration {
        if self.recoveries > 0 { Duration::ZERO } else { self.recheck_pause }
    }

    fn end_recheck(&mut self, look: &Look<'_>, wanted: &mut MoveState, judgement: Judgement) {
        let lasted = look.tick.since(self.recheck_since);
        let has_calls = lasted >= MIN_RECHECK && self.recheck_calls >= RECHECK_CALLS;
        let is_enough = has_calls && judgement == Judgement::Clear;
        if !is_enough && lasted < MAX_RECHECK {
            return;
        }
        wanted.rechecks += 1;
        if self.recheck_was_clean {
            self.recoveries += 1;
            self.recheck_pause = RECHECK_PAUSE;
        } else {
            self.recoveries = 0;
            self.recheck_pause *= 2;
        }
    }
}

fn add_seen(seen: &mut Seen, tallies: &BTreeMap<RouteName, super::window::Tally>) {
    for tally in tallies.values() {
        seen.run += tally.run;
        seen.failed += tally.failed;
    }
}
