//! Decides whether the new version is worse than the old one.
//!
//! The bound on false alarms covers all looks, routes and steps of a move
//! together; see `docs/design/0007-judge.md`.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::RouteName, time::Tick};

use super::{
    eprocess::{Counts, RATIOS, log_ratios_against_old},
    histogram::Histogram,
    hypothesis::{Hypothesis, HypothesisLimits, LogRatioPair, SequentialTest},
    state::{BadKind, BadReason},
    window::{Stratum, Window},
};

/// Chance that a version no worse than tolerated is ever called bad, for each
/// day that it is watched.
pub const FALSE_ALARM_BOUND: f64 = 0.001;

/// Factor by which the new version may fail more often than the old one.
pub const FAILURE_TOLERANCE: f64 = 1.5;

/// Share of failures that is never called bad.
pub const FAILURE_FLOOR: f64 = 0.001;

/// Factor by which the new version may be slow more often than the old one.
pub const SLOW_TOLERANCE: f64 = 1.1;

/// Largest share of the old version's calls that count as slow.
pub const SLOW_SHARE: f64 = 0.2;

/// Histogram buckets by which the new version may be slower: one is 19%.
pub const SLOW_MARGIN_BUCKETS: usize = 1;

/// Calls of the old version on a route before its latency is compared.
pub const MIN_REFERENCE_CALLS: u64 = 30;

/// Crashes of one instance in a day that say nothing about a version.
pub const TOLERATED_CRASHES_PER_DAY: f64 = 4.0;

/// Factor by which the new version may crash more often than the old one.
pub const CRASH_TOLERANCE: f64 = 1.5;

/// Mass that starts with the move.
const INITIAL_PRIOR_WEIGHT: f64 = 0.5;

/// Mass that all rechecks share.
const RECHECK_PRIOR_WEIGHT: f64 = 0.25;

/// Mass that starts again in the course of each day.
const DAILY_PRIOR_WEIGHT: f64 = 0.25;

/// Time between two starts of mass.
const PRIOR_WEIGHT_INTERVAL: Duration = Duration::from_secs(300);

const DAY: Duration = Duration::from_secs(86_400);

/// Parts of the bound that each test takes; they add up to one.
const SERVICE_BOUND_SHARE: f64 = 0.2;
const ROUTES_BOUND_SHARE: f64 = 0.2;
const CRASH_BOUND_SHARE: f64 = 0.2;

/// Evidence, in parts of a verdict, that makes the ramp wait.
const WARNING_FRACTION: f64 = 0.02;

/// What the judge makes of the evidence so far.
#[derive(Debug, Clone, PartialEq)]
pub enum Judgement {
    /// Nothing speaks against the new version.
    Clear,
    /// Something speaks against it, not enough for a verdict.
    Warning,
    /// It is bad.
    Bad(BadReason),
}

/// Watches one move.
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
    /// Starts to watch a move of a service with `route_count` routes.
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

    /// Takes in one window and judges all so far.
    pub fn evaluate(&mut self, now: Tick, rechecks: u32, window: &Window) -> Judgement {
        self.add_due_prior_weight(now, rechecks);
        self.test_failures(window);
        self.test_latency(window);
        self.test_crashes(now, window);
        self.update_reference(window);
        self.judgement()
    }

    /// Returns the evidence against the version in parts of a verdict.
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
            // The masses of all rechecks add up to RECHECK_MASS.
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
        // A request that crashes what runs it meets each version as often as
        // calls do; a version that crashes by itself may not get any.
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

    /// Learns the old version's latency after it was used for this window, so
    /// that the bound for slow never depends on the calls compared with it.
    ///
    /// Only windows in which the old version carried most calls count: a version
    /// that is nearly idle is faster than one that carries the load.
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
