//! The judge's hypotheses and the sequential tests of them.
//!
//! The hypothesis is always that the new version is no worse than tolerated. It is
//! tested for the whole service and for each route, because a fault of a single
//! route may be hidden in the service's totals.

use std::collections::BTreeMap;

use crate::ids::RouteName;

use super::{
    eprocess::{
        Counts, EProcess, LogRatios, RATIOS, log_ratios_against_old, log_ratios_against_rate,
    },
    state::BadKind,
    window::{Stratum, Window},
};

/// Rates that the hypothesis allows the new version.
#[derive(Debug, Clone, Copy)]
pub(super) struct HypothesisLimits {
    /// Factor by which the new version's event rate may exceed the old version's.
    pub(super) tolerance: f64,
    /// Event rate, as a fraction of calls, that is allowed whatever the old version's
    /// rate is.
    pub(super) rate: f64,
}

/// Pair of e-processes that test one hypothesis.
///
/// One compares the new version with the old one, the other with a fixed rate. The
/// hypothesis is rejected only when both reject it.
#[derive(Debug, Clone, Default)]
pub(super) struct SequentialTest {
    against_old: EProcess,
    against_rate: EProcess,
}

impl SequentialTest {
    /// Adds prior weight that starts now.
    pub(super) fn add_prior_weight(&mut self, prior_weight: f64) {
        self.against_old.add_prior_weight(prior_weight);
        self.against_rate.add_prior_weight(prior_weight);
    }

    /// Updates both e-processes with the likelihood ratios of one window.
    pub(super) fn update(&mut self, log_ratios: &LogRatioPair) {
        self.against_old.update(&log_ratios.against_old);
        self.against_rate.update(&log_ratios.against_rate);
    }

    /// Returns the smaller of the two e-values.
    pub(super) fn value(&self) -> f64 {
        self.against_old.value().min(self.against_rate.value())
    }
}

/// Log-likelihood ratios of one window for both e-processes of a test.
#[derive(Default)]
pub(super) struct LogRatioPair {
    /// Log-likelihood ratios of the comparison with the old version.
    pub(super) against_old: LogRatios,
    /// Log-likelihood ratios of the comparison with a fixed rate.
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

/// One hypothesis, tested for the whole service and for each route.
#[derive(Debug, Clone)]
pub(super) struct Hypothesis {
    /// Kind of fault that is found when the hypothesis is rejected.
    pub(super) kind: BadKind,
    /// Test over all routes together.
    pub(super) service: SequentialTest,
    /// Test of each route that had comparable calls.
    pub(super) routes: BTreeMap<RouteName, SequentialTest>,
}

impl Hypothesis {
    /// Creates the tests without any evidence.
    pub(super) fn new(kind: BadKind) -> Self {
        Self { kind, service: SequentialTest::default(), routes: BTreeMap::new() }
    }

    /// Updates the tests with one window.
    ///
    /// `prior_weight` is all the prior weight that was added so far; a route that is
    /// seen for the first time starts with it. Strata for which `counts` returns
    /// `None` are skipped.
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
