//! Choice of the backend server for a call.
//!
//! Two candidates are drawn at random and the one with the lower expected time to an
//! answer is taken. The estimate uses the load and run time that the candidates' nodes
//! last reported, the time that calls spent outside those nodes, and this node's own
//! requests and failures. The node's own availability
//! zone is preferred while an answer from it is expected to meet the objective, because
//! traffic between zones costs more than a few milliseconds of latency. See
//! `docs/design/0006-load.md`.

mod reports;
mod tracked;

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt};

use crate::{
    config::model::MAX_ROUTES,
    ids::{InstanceName, RouteName},
    time::Tick,
};

use tracked::{TrackedBackend, millis};

/// Weight of the newest answer in the moving average of a route's latency.
const ROUTE_LATENCY_WEIGHT: f64 = 0.05;

/// Fraction of the time left to the objective within which the expected time has to lie
/// for the node's own availability zone to be preferred. Above it, about every third
/// answer is late.
const OWN_ZONE_OBJECTIVE_FRACTION: f64 = 0.9;

/// Fraction of the expected time in the node's own availability zone below which another
/// zone has to lie to be chosen.
const OTHER_ZONE_COST_FRACTION: f64 = 0.7;

/// Difference between failure rates that is ignored; it corresponds to one failure among
/// eight calls.
const FAILURE_RATE_TOLERANCE: f64 = 0.12;

/// Cost of a failed call as a multiple of the time left to the objective, because the
/// caller has to repeat the call.
const FAILURE_COST: f64 = 2.0;

/// Fraction by which a run takes longer when every slot is busy.
const BUSY_COST: f64 = 0.3;

/// Largest share of the candidates that may be ejected at once. Above it, ejections are
/// ignored.
const EJECTED_SHARE: f64 = 0.5;

/// Transport time above which a link or a node counts as congested, in milliseconds. Within a
/// region, messages take a few milliseconds between availability zones.
const CONGESTED_TRANSPORT_MS: f64 = 50.0;

/// Time that requests may wait because of a stated rate before they go to other availability
/// zones, in milliseconds. Transport between zones takes about as long.
const MAX_RATE_WAIT_MS: f64 = 5.0;

/// Length of a request's body, in bytes, above which a request stays in its availability zone
/// although calls within it are delayed, as long as it is expected to meet its objective.
const MAX_MOVED_BODY_BYTES: usize = 16 << 10;

/// Time after which the state of a backend server that is no longer a candidate may be
/// removed.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Properties of a request that the choice of the backend server depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequirements {
    /// Route that matched the request.
    pub route: RouteName,
    /// Time left within which an answer meets the latency objective.
    pub objective_left: Duration,
    /// Length of the request's body, in bytes.
    pub body_bytes: usize,
    /// Whether the answer is expected to be large, so that it waits for the link of the backend
    /// server's instance.
    pub large_answer: bool,
}

/// A backend server that may take the call.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of its instance.
    pub instance: InstanceName,
    /// Incarnation of the node next to it.
    pub incarnation: u64,
    /// Whether it is in the availability zone of this node.
    pub in_own_zone: bool,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether its node is suspected of being down.
    pub suspect: bool,
}

/// Outcome of a call as evidence about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The backend server answered without a failure of its own.
    Answered,
    /// The backend server answered with a failure of its own.
    AnsweredWithFailure,
    /// The request was shed: the backend server is busy, not broken.
    Shed,
    /// No answer arrived.
    Failed,
    /// The caller gave up, which is no evidence about the backend server.
    Cancelled,
}

/// Load of a backend server as last reported by the node next to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running and queued requests.
    pub in_flight: u32,
    /// Average run time; zero when no run has ended yet.
    pub run_time: Duration,
    /// Time that one more request would wait because of the rate that the backend server
    /// states.
    pub rate_wait: Duration,
    /// Number of requests that the backend server handles well at once; zero if its node
    /// doesn't learn it.
    pub concurrency_limit: u32,
    /// Time after which a large answer accepted now would have crossed the link of the instance;
    /// zero if the link takes any request.
    pub link_wait: Duration,
}

/// State of the backend servers that one node calls.
#[derive(Debug, Default)]
pub struct Balancer {
    /// Moving average of the latency by route, in milliseconds.
    route_latency_ms: HashMap<RouteName, f64>,
    tracked: HashMap<InstanceName, TrackedBackend>,
    started_at: Option<Tick>,
}

impl Balancer {
    /// Chooses one of `candidates`, except those whose index is in `tried`.
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
            is_large: requirements.body_bytes > MAX_MOVED_BODY_BYTES,
            has_large_answer: requirements.large_answer,
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
            Some(i) if self.meets_objective(&cx, i) && !self.leaves_zone(&cx, i) => Some(i),
            _ => {
                let other_choice = self.cheaper_of_two(&cx, &other_zones, rng);
                self.choose_zone(&cx, own_choice, other_choice)
            }
        }?;
        if let Some(tracked) = self.tracked.get_mut(&candidates[chosen].instance) {
            tracked.begin_call(now);
        }
        Some(chosen)
    }

    /// Records how long a request of a route took.
    pub fn record_route_latency(&mut self, route: &RouteName, latency: Duration) {
        if self.route_latency_ms.len() >= MAX_ROUTES && !self.route_latency_ms.contains_key(route) {
            self.route_latency_ms.clear();
        }
        let ms = millis(latency);
        let average_ms = self.route_latency_ms.entry(route.clone()).or_insert(ms);
        *average_ms += (ms - *average_ms) * ROUTE_LATENCY_WEIGHT;
    }

    /// Returns the average latency of a route; `None` before its first answer.
    pub fn route_latency(&self, route: &RouteName) -> Option<Duration> {
        self.route_latency_ms.get(route).map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Returns the mean run time, in milliseconds, of the candidates that reported one.
    fn mean_run_ms(&self, candidates: &[Candidate]) -> Option<f64> {
        let tracked = candidates.iter().filter_map(|c| self.tracked.get(&c.instance));
        let known: Vec<f64> = tracked.filter_map(TrackedBackend::reported_ms).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    fn min_failure_rate(&self, candidates: &[Candidate], now: Tick) -> f64 {
        let tracked = candidates.iter().filter_map(|c| self.tracked.get(&c.instance));
        tracked.map(|tracked| tracked.failure_rate(now)).fold(1.0, f64::min)
    }

    /// Records the outcome of a call and its latency.
    pub fn record_outcome(
        &mut self,
        instance: &InstanceName,
        outcome: CallOutcome,
        latency: Duration,
        now: Tick,
    ) {
        let Some(tracked) = self.tracked.get_mut(instance) else { return };
        tracked.end_call(now);
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

    /// Records the load that a reply carried.
    pub fn record_load(&mut self, instance: &InstanceName, load: Load, now: Tick) {
        if let Some(tracked) = self.tracked.get_mut(instance) {
            tracked.record_load(load, now);
        }
    }

    /// Records the part of a call's latency that passed outside the node next to the backend
    /// server: on links, and before that node read the call.
    ///
    /// Slots may be free at a node whose link or processor is the bottleneck.
    pub fn record_transport(&mut self, instance: &InstanceName, transport: Duration, now: Tick) {
        if let Some(tracked) = self.tracked.get_mut(instance) {
            tracked.observe_transport(transport, now);
        }
    }

    /// Returns whether a candidate that isn't ejected reported a free slot within the last
    /// second.
    ///
    /// A candidate without recorded state counts as free.
    pub fn has_free_slot(&self, candidate: &Candidate, now: Tick) -> bool {
        let Some(tracked) = self.tracked.get(&candidate.instance) else { return true };
        tracked.has_fresh_report(now)
            && !tracked.is_ejected(now)
            && tracked.load(now) < candidate.slots
            && tracked.rate_wait_ms(now) <= MAX_RATE_WAIT_MS
    }

    /// Returns the number of this node's requests in flight to an instance.
    pub fn in_flight(&self, instance: &InstanceName) -> u32 {
        self.tracked.get(instance).map_or(0, |tracked| tracked.in_flight)
    }

    /// Records the candidates. A new incarnation ramps up from the start again.
    ///
    /// Candidates present when the node itself starts count as warm; otherwise the whole
    /// group would be cold.
    fn track(&mut self, candidates: &[Candidate], now: Tick) {
        let warm_until = *self.started_at.get_or_insert(now) + Duration::from_millis(100);
        for candidate in candidates {
            let first_seen = (now > warm_until).then_some(now);
            let tracked = self
                .tracked
                .entry(candidate.instance.clone())
                .or_insert_with(|| TrackedBackend::new(candidate, first_seen, now));
            if tracked.incarnation != candidate.incarnation {
                let (in_flight, silent_since) = (tracked.in_flight, tracked.silent_since);
                *tracked = TrackedBackend::new(candidate, Some(now), now);
                (tracked.in_flight, tracked.silent_since) = (in_flight, silent_since);
            }
            tracked.last_seen = now;
        }
        if self.tracked.len() > 2 * candidates.len() + 64 {
            self.tracked.retain(|_, t| t.in_flight > 0 || now.since(t.last_seen) < FORGET_AFTER);
        }
    }

    /// Returns the candidates that are neither tried, suspect nor ejected.
    ///
    /// When too many candidates are ejected, ejections are ignored: when a whole group
    /// fails, sending all traffic to the remaining few doesn't help.
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

    /// Draws one candidate with a probability proportional to its weight.
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

    /// Chooses between a candidate in the node's own availability zone and one in another
    /// zone.
    fn choose_zone(
        &self,
        cx: &Choice<'_>,
        own: Option<usize>,
        other: Option<usize>,
    ) -> Option<usize> {
        let (Some(i), Some(j)) = (own, other) else { return own.or(other) };
        let fraction = match self.leaves_zone(cx, i) {
            true => 1.0,
            false => OTHER_ZONE_COST_FRACTION,
        };
        let is_cheaper = self.cost_ms(cx, j) < fraction * self.cost_ms(cx, i);
        Some(if is_cheaper { j } else { i })
    }

    /// Returns whether a request should leave its availability zone because calls to a
    /// candidate are delayed on the way, or the candidate states a rate that is used up.
    ///
    /// A candidate in need has to be relieved, whatever its zone. Small requests leave a
    /// congested link, also those that have time. Large ones, which cause most of the delay,
    /// would cost most elsewhere.
    fn leaves_zone(&self, cx: &Choice<'_>, i: usize) -> bool {
        let rate_wait_ms = self.tracked_at(cx, i).map_or(0.0, |t| t.rate_wait_ms(cx.now));
        if rate_wait_ms > MAX_RATE_WAIT_MS {
            return true;
        }
        let transport_ms = |t: &TrackedBackend| t.expected_transport_ms(cx.now);
        let expected_ms = self.tracked_at(cx, i).map_or(0.0, transport_ms);
        !cx.is_large && expected_ms > CONGESTED_TRANSPORT_MS
    }

    /// Returns whether an answer is expected well within the objective. While no run time
    /// has been reported, that is the case as long as a slot is free.
    fn meets_objective(&self, cx: &Choice<'_>, i: usize) -> bool {
        let Some(tracked) = self.tracked_at(cx, i) else { return true };
        let is_slot_free = tracked.load(cx.now) < cx.candidates[i].slots;
        if tracked.reported_ms().is_none() {
            return is_slot_free;
        }
        self.cost_ms(cx, i) < OWN_ZONE_OBJECTIVE_FRACTION * cx.objective_ms
    }

    /// Returns the expected time to an answer in milliseconds, including the cost of
    /// failures.
    ///
    /// A request waits for one run for each request per slot that is ahead of it.
    fn cost_ms(&self, cx: &Choice<'_>, i: usize) -> f64 {
        let Some(tracked) = self.tracked_at(cx, i) else { return 0.0 };
        // What exceeds a learned limit counts as waiting: it costs the others as much.
        let slots = f64::from(tracked.handled_at_once(cx.candidates[i].slots, cx.now).max(1));
        let load = f64::from(tracked.load(cx.now));
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        // A backend server slows down as more of its slots are busy, and between two
        // equal ones the less busy one is better.
        let busy = (load / slots).min(1.0) * BUSY_COST;
        let queued_ms =
            tracked.reported_ms().unwrap_or_else(|| tracked.expected_latency_ms(cx.now));
        let run_ms = match (cx.route_latency_ms, cx.mean_run_ms, tracked.reported_ms()) {
            // Run times differ by route; between instances of a service they differ by a
            // constant factor.
            (Some(route), Some(mean), Some(own)) => route * own / mean,
            _ => queued_ms,
        };
        let transport_ms = tracked.expected_transport_ms(cx.now);
        let wait_ms = (queued_ms * waiting).max(tracked.rate_wait_ms(cx.now));
        // The link sends other answers while the request waits and runs.
        let link_wait = tracked.link_wait(cx.now).filter(|_| cx.has_large_answer);
        let ready_ms = run_ms * (1.0 + busy) + wait_ms;
        let expected = ready_ms.max(millis(link_wait.unwrap_or_default())) + transport_ms;
        // Failures common to all candidates don't favour any of them.
        let excess = (tracked.failure_rate(cx.now) - cx.min_failure_rate).max(0.0);
        let penalized_rate = if excess < FAILURE_RATE_TOLERANCE { 0.0 } else { excess };
        expected / tracked.weight(cx.now) + penalized_rate * FAILURE_COST * cx.objective_ms
    }

    fn tracked_at(&self, cx: &Choice<'_>, i: usize) -> Option<&TrackedBackend> {
        self.tracked.get(&cx.candidates[i].instance)
    }
}

/// Inputs of one choice.
struct Choice<'a> {
    candidates: &'a [Candidate],
    objective_ms: f64,
    /// Whether the request's body is too large to send it to another zone lightly.
    is_large: bool,
    /// Whether the answer is expected to be large.
    has_large_answer: bool,
    /// Moving average of the route's latency, in milliseconds; `None` before its first
    /// answer.
    route_latency_ms: Option<f64>,
    /// Mean run time of the candidates, in milliseconds; `None` before the first report.
    mean_run_ms: Option<f64>,
    /// Lowest failure rate among the candidates.
    min_failure_rate: f64,
    now: Tick,
}
