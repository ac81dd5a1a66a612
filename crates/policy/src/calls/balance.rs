//! Choice of the backend server for one call.
//!
//! Two candidates are drawn at random and the one that is expected to answer sooner
//! is taken, by what the nodes beside them last said of their load and run time,
//! and by this node's own requests and failures. The own availability zone is
//! preferred as long as an answer from it is expected to be fast, because a byte
//! between zones costs more than a few milliseconds. See `docs/design/0006-load.md`.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt};

use crate::{
    config::model::MAX_ROUTES,
    ids::{InstanceName, RouteName},
    time::Tick,
};

/// Weight of the newest answer in the usual time of a route.
const ROUTE_LATENCY_WEIGHT: f64 = 0.05;

/// Part of the time wanted for an answer within which the expected time has to lie
/// for the own availability zone to be preferred: beyond it, about every third
/// answer is late.
const OWN_ZONE_OBJECTIVE_FRACTION: f64 = 0.9;

/// Part of the expected time in the own availability zone below which that of
/// another one has to lie to be worth the way.
const OTHER_ZONE_COST_FRACTION: f64 = 0.7;

/// Time constant of the share of failures.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);

/// Time constant in calls of the same, so that a single failure among few calls
/// doesn't weigh too much.
const FAILURE_CALLS: f64 = 8.0;

/// Difference between shares of failures that is no difference yet: one failure
/// among eight calls.
const FAILURE_RATE_TOLERANCE: f64 = 0.12;

/// Times of the wanted time that a failed call costs, because its caller has to
/// come again.
const FAILURE_COST: f64 = 2.0;

/// Part of a run's time that it takes longer when every slot is busy.
const BUSY_COST: f64 = 0.3;

/// Time in which a new backend server comes up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of the full weight with which a new backend server starts.
const SLOW_START_FLOOR: f64 = 0.1;

/// Failures in a row that eject a backend server.
const FAILURES_TO_EJECT: u32 = 5;

/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Largest share of the candidates that may be ejected at once.
const EJECTED_SHARE: f64 = 0.5;

/// Time constant of the latency average.
const LATENCY_WINDOW: Duration = Duration::from_secs(5);

/// Time constant with which an old latency counts less.
const LATENCY_LIFETIME: Duration = Duration::from_secs(10);

/// Time for which a load report counts.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Latency that is assumed before the first answer, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 1.0;

/// Time for which an unseen backend server is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// What a request wants of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequirements {
    /// Route that took the request.
    pub route: RouteName,
    /// Time left within which an answer counts as fast.
    pub objective_left: Duration,
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// One backend server that may take the call.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of its instance.
    pub instance: InstanceName,
    /// Incarnation of the node beside it.
    pub incarnation: u64,
    /// Whether it is in the availability zone of this node.
    pub in_own_zone: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether its node is suspected of being down.
    pub suspect: bool,
}

/// How a call ended, as other_choice as it tells about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It answered, and not with a failure of its own.
    Answered,
    /// It answered with a failure of its own.
    AnsweredWithFailure,
    /// It was shed; the backend server is busy, not broken.
    Shed,
    /// No answer came.
    Failed,
    /// The caller gave up; nothing is known.
    Cancelled,
}

/// Load of a backend server as the node beside it last reported it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run or wait.
    pub in_flight: u32,
    /// Average time of a run; zero when none ended yet.
    pub run_time: Duration,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    load: Load,
    at: Tick,
}

#[derive(Debug)]
struct TrackedBackend {
    incarnation: u64,
    /// When it was first seen; none when it was there before this node started.
    first_seen: Option<Tick>,
    last_seen: Tick,
    in_flight: u32,
    latency_ms: f64,
    latency_at: Tick,
    load_report: Option<LoadReport>,
    consecutive_failures: u32,
    /// Share of calls that failed lately, at `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Tick,
    ejections: u32,
    ejected_until: Option<Tick>,
}

impl TrackedBackend {
    fn new(incarnation: u64, first_seen: Option<Tick>, now: Tick) -> Self {
        Self {
            incarnation,
            first_seen,
            last_seen: now,
            in_flight: 0,
            latency_ms: INITIAL_LATENCY_MS,
            latency_at: now,
            load_report: None,
            consecutive_failures: 0,
            failure_rate: 0.0,
            failure_rate_at: now,
            ejections: 0,
            ejected_until: None,
        }
    }

    fn is_ejected(&self, now: Tick) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the requests in flight, as the larger of own view and report.
    fn load(&self, now: Tick) -> u32 {
        let report = self.load_report.filter(|report| now.since(report.at) < LOAD_REPORT_LIFETIME);
        report.map_or(self.in_flight, |report| report.load.in_flight.max(self.in_flight))
    }

    /// Returns the average time of a run as the node beside it reported it.
    fn reported_ms(&self) -> Option<f64> {
        self.load_report.map(|report| millis(report.load.run_time)).filter(|ms| *ms > 0.0)
    }

    /// Returns the share of calls that failed lately; it fades without calls, so
    /// that a backend server which recovered is tried again.
    fn failure_rate(&self, now: Tick) -> f64 {
        let age = now.since(self.failure_rate_at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_WINDOW.as_secs_f64()).exp()
    }

    fn observe_outcome(&mut self, is_failure: bool, now: Tick) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (f64::from(u8::from(is_failure)) - before) / FAILURE_CALLS;
        self.failure_rate_at = now;
    }

    fn weight(&self, now: Tick) -> f64 {
        let Some(first_seen) = self.first_seen else { return 1.0 };
        let warm = now.since(first_seen).as_secs_f64() / SLOW_START.as_secs_f64();
        warm.clamp(SLOW_START_FLOOR, 1.0)
    }

    /// Returns the latency, which counts less the older it is.
    ///
    /// A slow backend server would never be tried again otherwise.
    fn expected_latency_ms(&self, now: Tick) -> f64 {
        let age = now.since(self.latency_at).as_secs_f64();
        let decay = (-age / LATENCY_LIFETIME.as_secs_f64()).exp();
        (self.latency_ms * decay).max(INITIAL_LATENCY_MS)
    }

    /// Moves the latency towards a new value; a higher one counts at once.
    fn observe_latency(&mut self, latency: Duration, now: Tick) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let idle = now.since(self.latency_at).as_secs_f64();
        let decay = (-(idle + 0.05) / LATENCY_WINDOW.as_secs_f64()).exp();
        self.latency_at = now;
        self.latency_ms = if latency_ms > self.latency_ms {
            latency_ms
        } else {
            latency_ms + decay * (self.latency_ms - latency_ms)
        };
    }

    fn count_failure(&mut self, now: Tick) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return;
        }
        let length = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
        self.ejections += 1;
        self.consecutive_failures = 0;
    }
}

/// What one node knows of the backend servers that it calls.
#[derive(Debug, Default)]
pub struct Balancer {
    /// Usual time to an answer by route, in milliseconds.
    route_latency_ms: HashMap<RouteName, f64>,
    tracked: HashMap<InstanceName, TrackedBackend>,
    started_at: Option<Tick>,
}

impl Balancer {
    /// Chooses one of `candidates`, leaving out those whose index is in `tried`.
    ///
    /// The choice counts as a request in flight until [`Balancer::record_outcome`].
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        tried: &[usize],
        requirements: &CallRequirements,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        self.track(candidates, now);
        let cx = Choice {
            candidates,
            objective_ms: millis(requirements.objective_left),
            route_latency_ms: self.route_latency_ms.get(&requirements.route).copied(),
            mean_run_ms: self.mean_run_ms(candidates),
            min_failure_rate: self.min_failure_rate(candidates, now),
            now,
        };
        let usable = self.usable(candidates, tried, now);
        let (own_zone, other_zones): (Vec<usize>, Vec<usize>) =
            usable.into_iter().partition(|&i| candidates[i].in_own_zone);
        let own_choice = self.cheaper_of_two(&cx, &own_zone, rng);
        let chosen = match own_choice {
            Some(i) if self.meets_objective(&cx, i) => Some(i),
            _ => {
                let other_choice = self.cheaper_of_two(&cx, &other_zones, rng);
                self.choose_zone(&cx, own_choice, other_choice)
            }
        }?;
        if let Some(tracked) = self.tracked.get_mut(&candidates[chosen].instance) {
            tracked.in_flight += 1;
        }
        Some(chosen)
    }

    /// Learns how long requests of a route take.
    pub fn record_route_latency(&mut self, route: &RouteName, latency: Duration) {
        if self.route_latency_ms.len() >= MAX_ROUTES && !self.route_latency_ms.contains_key(route) {
            self.route_latency_ms.clear();
        }
        let ms = millis(latency);
        let average_ms = self.route_latency_ms.entry(route.clone()).or_insert(ms);
        *average_ms += (ms - *average_ms) * ROUTE_LATENCY_WEIGHT;
    }

    /// Returns the mean run time of the candidates that reported one.
    fn mean_run_ms(&self, candidates: &[Candidate]) -> Option<f64> {
        let tracked = candidates.iter().filter_map(|c| self.tracked.get(&c.instance));
        let known: Vec<f64> = tracked.filter_map(TrackedBackend::reported_ms).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    fn min_failure_rate(&self, candidates: &[Candidate], now: Tick) -> f64 {
        let tracked = candidates.iter().filter_map(|c| self.tracked.get(&c.instance));
        tracked.map(|tracked| tracked.failure_rate(now)).fold(1.0, f64::min)
    }

    /// Records the end of a call.
    pub fn record_outcome(
        &mut self,
        instance: &InstanceName,
        outcome: CallOutcome,
        latency: Duration,
        now: Tick,
    ) {
        let Some(tracked) = self.tracked.get_mut(instance) else { return };
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        match outcome {
            CallOutcome::Answered | CallOutcome::AnsweredWithFailure => {
                tracked.consecutive_failures = 0;
                tracked.ejections = tracked.ejections.saturating_sub(1);
                tracked.observe_latency(latency, now);
                tracked.observe_outcome(outcome == CallOutcome::AnsweredWithFailure, now);
            }
            CallOutcome::Failed => {
                tracked.count_failure(now);
                tracked.observe_outcome(true, now);
            }
            CallOutcome::Shed | CallOutcome::Cancelled => {}
        }
    }

    /// Takes in the load that rode on a reply.
    pub fn record_load(&mut self, instance: &InstanceName, load: Load, now: Tick) {
        if let Some(tracked) = self.tracked.get_mut(instance) {
            tracked.load_report = Some(LoadReport { load, at: now });
        }
    }

    /// Tells whether a candidate said within the last second that a slot is free.
    pub fn has_free_slot(&self, candidate: &Candidate, now: Tick) -> bool {
        let Some(tracked) = self.tracked.get(&candidate.instance) else { return true };
        let is_fresh =
            tracked.load_report.is_some_and(|report| now.since(report.at) < LOAD_REPORT_LIFETIME);
        is_fresh && !tracked.is_ejected(now) && tracked.load(now) < candidate.slots
    }

    /// Returns this node's requests in flight at an instance.
    pub fn in_flight(&self, instance: &InstanceName) -> u32 {
        self.tracked.get(instance).map_or(0, |tracked| tracked.in_flight)
    }

    /// Takes note of candidates; a new incarnation starts slowly again.
    ///
    /// Those that are known when the node itself starts count as warm, because
    /// the whole group would be cold otherwise.
    fn track(&mut self, candidates: &[Candidate], now: Tick) {
        let warm_until = *self.started_at.get_or_insert(now) + Duration::from_millis(100);
        for candidate in candidates {
            let first_seen = (now > warm_until).then_some(now);
            let tracked = self
                .tracked
                .entry(candidate.instance.clone())
                .or_insert_with(|| TrackedBackend::new(candidate.incarnation, first_seen, now));
            if tracked.incarnation != candidate.incarnation {
                let in_flight = tracked.in_flight;
                *tracked = TrackedBackend::new(candidate.incarnation, Some(now), now);
                tracked.in_flight = in_flight;
            }
            tracked.last_seen = now;
        }
        if self.tracked.len() > 2 * candidates.len() + 64 {
            self.tracked.retain(|_, t| t.in_flight > 0 || now.since(t.last_seen) < FORGET_AFTER);
        }
    }

    /// Returns the candidates that are neither tried nor suspect nor ejected.
    ///
    /// When too many are ejected the ejections are ignored: a group that fails
    /// as a whole isn't helped by sending everything to what is left of it.
    fn usable(&self, candidates: &[Candidate], tried: &[usize], now: Tick) -> Vec<usize> {
        let all: Vec<usize> = (0..candidates.len()).filter(|i| !tried.contains(i)).collect();
        let alive: Vec<usize> = all.iter().copied().filter(|&i| !candidates[i].suspect).collect();
        let alive = if alive.is_empty() { all } else { alive };
        let is_ejected = |i: &usize| {
            let tracked = self.tracked.get(&candidates[*i].instance);
            tracked.is_some_and(|t| t.is_ejected(now))
        };
        let ejected = (0..candidates.len()).filter(is_ejected).count();
        let not_ejected: Vec<usize> = alive.iter().copied().filter(|i| !is_ejected(i)).collect();
        if not_ejected.is_empty() || ejected as f64 > EJECTED_SHARE * candidates.len() as f64 {
            return alive;
        }
        not_ejected
    }

    fn cheaper_of_two(
        &self,
        cx: &Choice<'_>,
        among: &[usize],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let first = self.draw(cx, among, rng);
        let others: Vec<usize> = among.iter().copied().filter(|i| Some(*i) != first).collect();
        let second = self.draw(cx, &others, rng);
        self.cheaper(cx, first, second)
    }

    /// Draws one candidate with the probability of its weight.
    fn draw(&self, cx: &Choice<'_>, among: &[usize], rng: &mut impl Rng) -> Option<usize> {
        let weight = |i: &usize| self.tracked_at(cx, *i).map_or(1.0, |t| t.weight(cx.now));
        let total: f64 = among.iter().map(weight).sum();
        let mut left = rng.random_range(0.0..1.0) * total;
        for i in among {
            left -= weight(i);
            if left < 0.0 {
                return Some(*i);
            }
        }
        among.last().copied()
    }

    fn cheaper(&self, cx: &Choice<'_>, a: Option<usize>, b: Option<usize>) -> Option<usize> {
        let (Some(i), Some(j)) = (a, b) else { return a.or(b) };
        Some(if self.cost_ms(cx, j) < self.cost_ms(cx, i) { j } else { i })
    }

    /// Chooses between the own availability zone and another one.
    fn choose_zone(
        &self,
        cx: &Choice<'_>,
        own: Option<usize>,
        other: Option<usize>,
    ) -> Option<usize> {
        let (Some(i), Some(j)) = (own, other) else { return own.or(other) };
        let is_cheaper = self.cost_ms(cx, j) < OTHER_ZONE_COST_FRACTION * self.cost_ms(cx, i);
        Some(if is_cheaper { j } else { i })
    }

    /// Tells whether an answer is expected well within the time wanted. While no
    /// run time is known, that is as long as a slot is free.
    fn meets_objective(&self, cx: &Choice<'_>, i: usize) -> bool {
        let Some(tracked) = self.tracked_at(cx, i) else { return true };
        let is_slot_free = tracked.load(cx.now) < cx.candidates[i].slots;
        if tracked.reported_ms().is_none() {
            return is_slot_free;
        }
        self.cost_ms(cx, i) < OWN_ZONE_OBJECTIVE_FRACTION * cx.objective_ms
    }

    /// Returns the expected time to an answer, with what failures cost.
    ///
    /// A request waits for as many runs as there are requests before it for each
    /// slot.
    fn cost_ms(&self, cx: &Choice<'_>, i: usize) -> f64 {
        let Some(tracked) = self.tracked_at(cx, i) else { return 0.0 };
        let slots = f64::from(cx.candidates[i].slots.max(1));
        let load = f64::from(tracked.load(cx.now));
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        // A backend server is somewhat slower the more of its slots are busy, and
        // of two that are alike the emptier one is better.
        let busy = (load / slots).min(1.0) * BUSY_COST;
        let queued_ms =
            tracked.reported_ms().unwrap_or_else(|| tracked.expected_latency_ms(cx.now));
        let run_ms = match (cx.route_latency_ms, cx.mean_run_ms, tracked.reported_ms()) {
            // A service's routes take different times, its instances differ by a factor.
            (Some(route), Some(mean), Some(own)) => route * own / mean,
            _ => queued_ms,
        };
        let expected = run_ms * (1.0 + busy) + queued_ms * waiting;
        // What fails everywhere is no reason to choose one or the other.
        let excess = (tracked.failure_rate(cx.now) - cx.min_failure_rate).max(0.0);
        let penalized_rate = if excess < FAILURE_RATE_TOLERANCE { 0.0 } else { excess };
        expected / tracked.weight(cx.now) + penalized_rate * FAILURE_COST * cx.objective_ms
    }

    fn tracked_at(&self, cx: &Choice<'_>, i: usize) -> Option<&TrackedBackend> {
        self.tracked.get(&cx.candidates[i].instance)
    }
}

/// What one choice is made by.
struct Choice<'a> {
    candidates: &'a [Candidate],
    objective_ms: f64,
    /// Usual time to an answer of the route, once one was seen.
    route_latency_ms: Option<f64>,
    /// Mean run time of the candidates, once one reported its own.
    mean_run_ms: Option<f64>,
    /// Smallest share of failures of any candidate.
    min_failure_rate: f64,
    now: Tick,
}
