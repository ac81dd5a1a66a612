//! The judge's questions and the tests that answer them.

use std::collections::BTreeMap;

use crate::ids::RouteName;

use super::{
    eprocess::{
        Counts, EProcess, LogRatios, RATIOS, log_ratios_against_old, log_ratios_against_rate,
    },
    state::BadKind,
    window::{Stratum, Window},
};

/// What a question tolerates.
#[derive(Debug, Clone, Copy)]
pub(super) struct HypothesisLimits {
    /// Factor by which the new version may be hit more often than the old one.
    pub(super) tolerance: f64,
    /// Share of calls that may be hit whatever the old version does.
    pub(super) rate: f64,
}

/// A pair of tests of one question: both must speak against the version.
#[derive(Debug, Clone, Default)]
pub(super) struct SequentialTest {
    against_old: EProcess,
    against_rate: EProcess,
}

impl SequentialTest {
    /// Lets part of the mass start now.
    pub(super) fn add_prior_weight(&mut self, prior_weight: f64) {
        self.against_old.add_prior_weight(prior_weight);
        self.against_rate.add_prior_weight(prior_weight);
    }

    /// Takes in one window.
    pub(super) fn update(&mut self, log_ratios: &LogRatioPair) {
        self.against_old.update(&log_ratios.against_old);
        self.against_rate.update(&log_ratios.against_rate);
    }

    /// Returns the evidence so far.
    pub(super) fn value(&self) -> f64 {
        self.against_old.value().min(self.against_rate.value())
    }
}

/// Logarithms of the likelihood ratios of one window.
#[derive(Default)]
pub(super) struct LogRatioPair {
    /// Against the old version.
    pub(super) against_old: LogRatios,
    /// Against a fixed rate.
    pub(super) against_rate: LogRatios,
}

impl LogRatioPair {
    fn add(&mut self, counts: Counts, tolerance: f64, rate: f64) {
        let against_old = log_ratios_against_old(counts, tolerance);
        let against_rate = log_ratios_against_rate(counts, rate);
        for i in 0..RATIOS.len() {
            self.against_old[i] += against_old[i];
            self.against_rate[i] += against_rate[i];
        }
    }
}

/// One question asked of the whole service and of each route.
#[derive(Debug, Clone)]
pub(super) struct Hypothesis {
    /// What it asks.
    pub(super) kind: BadKind,
    /// All routes together.
    pub(super) service: SequentialTest,
    /// Each route.
    pub(super) routes: BTreeMap<RouteName, SequentialTest>,
}

impl Hypothesis {
    /// Starts without evidence.
    pub(super) fn new(kind: BadKind) -> Self {
        Self { kind, service: SequentialTest::default(), routes: BTreeMap::new() }
    }

    /// Takes in one window; a route seen for the first time gets all the `mass`
    /// that was started so far.
    pub(super) fn update(
        &mut self,
        window: &Window,
        limits: HypothesisLimits,
        prior_weight: f64,
        counts: impl Fn(&Stratum) -> Option<Counts>,
    ) {
        let mut service_log_ratios = LogRatioPair::default();
        let mut by_route: BTreeMap<&RouteName, LogRatioPair> = BTreeMap::new();
        for stratum in &window.strata {
            let Some(counts) = counts(stratum) else { continue };
            service_log_ratios.add(counts, limits.tolerance, limits.rate);
            by_route.entry(&stratum.route).or_default().add(counts, limits.tolerance, limits.rate);
        }
        self.service.update(&service_log_ratios);
        for (route, log_ratios) in by_route {
            let test = self.routes.entry(route.clone()).or_insert_with(|| {
                let mut test = SequentialTest::default();
                test.add_prior_weight(prior_weight);
                test
            });
            test.update(&log_ratios);
        }
    }
}
