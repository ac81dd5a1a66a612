//! Canary judge: decides whether the new version of a service is worse than the
//! old one.
//!
//! The judge evaluates its sequential tests once per window for as long as the
//! move lasts. The false alarm bound covers all evaluations, routes and steps of a
//! move together; see `docs/design/0007-judge.md`.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::RouteName, time::Tick};

use super::{
    eprocess::{Counts, RATIOS, log_ratios_against_old},
    histogram::Histogram,
    hypothesis::{Hypothesis, HypothesisLimits, LogRatioPair, SequentialTest},
    state::{BadKind, BadReason},
    window::{Stratum, Window},
};

/// Upper bound on the probability, per day of monitoring, that a version which is
/// no worse than tolerated is ever judged bad.
pub const FALSE_ALARM_BOUND: f64 = 0.001;

/// Factor by which the new version's failure rate may exceed the old version's.
pub const FAILURE_TOLERANCE: f64 = 1.5;

/// Failure rate, as a fraction of calls, up to which a version is never judged bad.
pub const FAILURE_FLOOR: f64 = 0.001;

/// Factor by which the new version's share of slow calls may exceed the old
/// version's.
pub const SLOW_TOLERANCE: f64 = 1.1;

/// Largest fraction of the old version's calls that count as slow.
///
/// The latency bound for slow calls is chosen so that no larger fraction of the
/// reference latencies lies above it.
pub const SLOW_SHARE: f64 = 0.2;

/// Number of histogram buckets by which the new version may be slower than the old
/// one. One bucket is 19%.
pub const SLOW_MARGIN_BUCKETS: usize = 1;

/// Number of calls of the old version on a route that the reference histogram must
/// hold before latencies on that route are compared.
pub const MIN_REFERENCE_CALLS: u64 = 30;

/// Number of crashes per instance and day that are not evidence against a version.
pub const TOLERATED_CRASHES_PER_DAY: f64 = 4.0;

/// Factor by which the new version's crash rate may exceed the old version's.
pub const CRASH_TOLERANCE: f64 = 1.5;

/// Prior weight that is added when the move starts.
const INITIAL_PRIOR_WEIGHT: f64 = 0.5;

/// Prior weight that is set aside for all rechecks together.
const RECHECK_PRIOR_WEIGHT: f64 = 0.25;

/// Prior weight that is added in the course of each day, in equal parts.
const DAILY_PRIOR_WEIGHT: f64 = 0.25;

/// Time between two additions of the daily prior weight.
const PRIOR_WEIGHT_INTERVAL: Duration = Duration::from_secs(300);

const DAY: Duration = Duration::from_secs(86_400);

// Fractions of the false alarm bound that are assigned to the tests. The service and
// route fractions apply to each of the two hypotheses, so that all add up to one.
const SERVICE_BOUND_SHARE: f64 = 0.2;
const ROUTES_BOUND_SHARE: f64 = 0.2;
const CRASH_BOUND_SHARE: f64 = 0.2;

/// Fraction of the verdict threshold from which the evidence makes the ramp wait.
const WARNING_FRACTION: f64 = 0.02;

/// Result of evaluating the evidence so far.
#[derive(Debug, Clone, PartialEq)]
pub enum Judgement {
    /// There is no notable evidence against the new version.
    Clear,
    /// There is evidence against the new version, but not enough for a verdict.
    Warning,
    /// The new version is bad.
    Bad(BadReason),
}

/// Sequential tests of one move.
///
/// The tests compare failures, latency and crashes of the two versions.
#[derive(Debug, Clone)]
pub struct Judge {
    route_count: usize,
    hypotheses: [Hypothesis; 2],
    crashes: SequentialTest,
    reference_latency: BTreeMap<RouteName, Histogram>,
    prior_weight: f64,
    prior_weight_added_at: Tick,
    last_evaluation: Tick,
    last_rechecks: u32,
}

impl Judge {
    /// Creates the judge for a move that starts at `now`, of a service with
    /// `route_count` routes.
    ///
    /// The number of routes determines the fraction of the false alarm bound that
    /// each route's tests get.
    pub fn new(route_count: usize, now: Tick) -> Self {
        let mut judge = Self {
            route_count: route_count.max(1),
            hypotheses: [Hypothesis::new(BadKind::Failing), Hypothesis::new(BadKind::Slow)],
            crashes: SequentialTest::default(),
            reference_latency: BTreeMap::new(),
            prior_weight: 0.0,
            prior_weight_added_at: now,
            last_evaluation: now,
            last_rechecks: 0,
        };
        judge.add_prior_weight(INITIAL_PRIOR_WEIGHT);
        judge
    }

    /// Updates all tests with one window and returns the judgement on the whole
    /// move so far.
    ///
    /// `rechecks` is [`MoveState::rechecks`](super::state::MoveState::rechecks); an
    /// increase adds prior weight, so that a fault which appears late can still be
    /// found.
    pub fn evaluate(&mut self, now: Tick, rechecks: u32, window: &Window) -> Judgement {
        self.add_due_prior_weight(now, rechecks);
        self.test_failures(window);
        self.test_latency(window);
        self.test_crashes(now, window);
        self.update_reference(window);
        self.judgement()
    }

    /// Returns the strongest evidence against the new version as a fraction of the
    /// verdict threshold; 1 or more is a verdict.
    pub fn evidence_fraction(&self) -> f64 {
        self.strongest_evidence().map_or(0.0, |(_, value)| value * FALSE_ALARM_BOUND)
    }

    fn add_prior_weight(&mut self, prior_weight: f64) {
        self.prior_weight += prior_weight;
        self.crashes.add_prior_weight(prior_weight);
        for hypothesis in &mut self.hypotheses {
            hypothesis.service.add_prior_weight(prior_weight);
            hypothesis.routes.values_mut().for_each(|test| test.add_prior_weight(prior_weight));
        }
    }

    fn add_due_prior_weight(&mut self, now: Tick, rechecks: u32) {
        if now.since(self.prior_weight_added_at) >= PRIOR_WEIGHT_INTERVAL {
            self.prior_weight_added_at = now;
            let additions = DAY.as_secs_f64() / PRIOR_WEIGHT_INTERVAL.as_secs_f64();
            self.add_prior_weight(DAILY_PRIOR_WEIGHT / additions);
        }
        if rechecks > self.last_rechecks {
            self.last_rechecks = rechecks;
            // The weights form a geometric series, so that their sum over all rechecks
            // is bounded in terms of RECHECK_PRIOR_WEIGHT.
            self.add_prior_weight(RECHECK_PRIOR_WEIGHT * 0.5_f64.powi(rechecks.div_ceil(2) as i32));
        }
    }

    fn test_failures(&mut self, window: &Window) {
        let counts = |stratum: &Stratum| {
            Some(Counts {
                new_run: stratum.new.run,
                new_events: stratum.new.failed,
                old_run: stratum.old.run,
                old_events: stratum.old.failed,
            })
        };
        let prior_weight = self.prior_weight;
        let limits = HypothesisLimits { tolerance: FAILURE_TOLERANCE, rate: FAILURE_FLOOR };
        self.hypotheses[0].update(window, limits, prior_weight, counts);
    }

    fn test_latency(&mut self, window: &Window) {
        let reference_latency = &self.reference_latency;
        let counts = |stratum: &Stratum| {
            let route_reference = reference_latency.get(&stratum.route)?;
            if route_reference.total() < MIN_REFERENCE_CALLS {
                return None;
            }
            let slow_from = route_reference.tail_bucket(SLOW_SHARE);
            Some(Counts {
                new_run: stratum.new.latency.total(),
                new_events: stratum.new.latency.tail(slow_from + SLOW_MARGIN_BUCKETS),
                old_run: stratum.old.latency.total(),
                old_events: stratum.old.latency.tail(slow_from),
            })
        };
        let prior_weight = self.prior_weight;
        let rate = SLOW_SHARE * SLOW_TOLERANCE;
        let limits = HypothesisLimits { tolerance: SLOW_TOLERANCE, rate };
        self.hypotheses[1].update(window, limits, prior_weight, counts);
    }

    fn test_crashes(&mut self, now: Tick, window: &Window) {
        let days = now.since(self.last_evaluation).as_secs_f64() / DAY.as_secs_f64();
        self.last_evaluation = now;
        let expected = TOLERATED_CRASHES_PER_DAY * days * window.new_instances as f64;
        let crashes = window.new_crashes as f64;
        // A request that crashes the backend server running it reaches each version
        // in proportion to the version's calls. A version that crashes by itself may
        // run no call at all, so each instance counts as one call.
        let counts = Counts {
            new_run: window.new_run() + window.new_instances,
            new_events: window.new_crashes,
            old_run: window.old_run() + window.old_instances,
            old_events: window.old_crashes,
        };
        self.crashes.update(&LogRatioPair {
            against_old: log_ratios_against_old(counts, CRASH_TOLERANCE),
            against_rate: RATIOS.map(|ratio| crashes * ratio.ln() - expected * (ratio - 1.0)),
        });
    }

    /// Adds the old version's latencies to the reference.
    ///
    /// This happens after the window was tested, so that the bound for slow calls
    /// never depends on the calls that are compared with it. Windows in which the old
    /// version ran fewer calls than the new one are skipped, because a nearly idle
    /// version is faster than one that carries the load.
    fn update_reference(&mut self, window: &Window) {
        if window.old_run() < window.new_run() {
            return;
        }
        for (route, tally) in &window.old {
            self.reference_latency.entry(route.clone()).or_default().add(&tally.latency);
        }
    }

    fn judgement(&self) -> Judgement {
        let Some((reason, value)) = self.strongest_evidence() else { return Judgement::Clear };
        if value * FALSE_ALARM_BOUND >= 1.0 {
            return Judgement::Bad(reason);
        }
        if value * FALSE_ALARM_BOUND >= WARNING_FRACTION {
            Judgement::Warning
        } else {
            Judgement::Clear
        }
    }

    fn strongest_evidence(&self) -> Option<(BadReason, f64)> {
        let crash = BadReason { kind: BadKind::Crashing, route: None };
        let mut candidates = vec![(crash, self.crashes.value() * CRASH_BOUND_SHARE)];
        for hypothesis in &self.hypotheses {
            let reason = BadReason { kind: hypothesis.kind, route: None };
            candidates.push((reason, hypothesis.service.value() * SERVICE_BOUND_SHARE));
            let bound_share = ROUTES_BOUND_SHARE / self.route_count as f64;
            for (route, test) in hypothesis.routes.iter().take(self.route_count) {
                let reason = BadReason { kind: hypothesis.kind, route: Some(route.clone()) };
                candidates.push((reason, test.value() * bound_share));
            }
        }
        candidates.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))
    }
}
