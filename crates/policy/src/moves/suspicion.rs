//! Notices that a finished version changed, while no call meets the old one.
//!
//! It compares the new version with what was known before the move was done. A
//! change may have any cause, so a suspicion is no verdict: it only makes the
//! nodes compare both versions once more, see `docs/design/0007-judge.md`.

use std::collections::BTreeMap;

use crate::ids::RouteName;

use super::{
    histogram::Histogram,
    judge::{MIN_REFERENCE_CALLS, SLOW_MARGIN_BUCKETS, SLOW_SHARE},
    state::MoveState,
    window::{Tally, Window},
};

/// Sum of log-likelihood ratios that raises a suspicion.
const THRESHOLD: f64 = 6.0;

/// Largest growth of the sum in one look, so that one burst isn't enough.
const MAX_GROWTH: f64 = 2.0;

/// Share of failures of the alternative, at least.
const MIN_BAD_FAILURES: f64 = 0.01;

/// Factor from the known share of failures to the alternative.
const BAD_FAILURE_FACTOR: f64 = 3.0;

/// Share of slow calls of the alternative.
const BAD_SLOW: f64 = 0.4;

/// Smallest share of failures assumed before the change.
const MIN_GOOD_FAILURES: f64 = 0.001;

#[derive(Debug, Clone, Default)]
struct RouteWatch {
    before: Tally,
    reference: Histogram,
    failures: f64,
    slowness: f64,
}

/// Cumulative sums for each route.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    routes: BTreeMap<RouteName, RouteWatch>,
}

impl Suspicion {
    /// Takes in one window.
    pub fn look(&mut self, window: &Window, state: &MoveState) {
        for (route, tally) in &window.old {
            let watch = self.routes.entry(route.clone()).or_default();
            watch.learn(tally);
        }
        for (route, tally) in &window.new {
            let watch = self.routes.entry(route.clone()).or_default();
            if state.done {
                watch.test(tally);
            } else {
                watch.learn(tally);
            }
        }
    }

    /// Tells whether any route changed.
    pub fn is_raised(&self) -> bool {
        self.route().is_some()
    }

    /// Returns the route that changed most, when any did.
    pub fn route(&self) -> Option<RouteName> {
        let strongest = self.routes.iter().max_by(|a, b| a.1.sum().total_cmp(&b.1.sum()))?;
        (strongest.1.sum() >= THRESHOLD).then(|| strongest.0.clone())
    }

    /// Forgets the sums and keeps what was known before.
    pub fn reset(&mut self) {
        for watch in self.routes.values_mut() {
            watch.failures = 0.0;
            watch.slowness = 0.0;
        }
    }
}

impl RouteWatch {
    fn learn(&mut self, tally: &Tally) {
        self.before.add_tally(tally);
        self.reference.add(&tally.latency);
    }

    fn sum(&self) -> f64 {
        self.failures.max(self.slowness)
    }

    fn test(&mut self, tally: &Tally) {
        let known = (self.before.failed + 1) as f64 / (self.before.run + 2) as f64;
        let good = known.clamp(MIN_GOOD_FAILURES, 0.3);
        let bad = (good * BAD_FAILURE_FACTOR).max(MIN_BAD_FAILURES);
        self.failures = climb(self.failures, tally.failed, tally.run, good, bad);
        if self.reference.total() < MIN_REFERENCE_CALLS {
            return;
        }
        let slow_from = self.reference.tail_bucket(SLOW_SHARE) + SLOW_MARGIN_BUCKETS;
        let slow = tally.latency.tail(slow_from);
        let total = tally.latency.total();
        self.slowness = climb(self.slowness, slow, total, SLOW_SHARE, BAD_SLOW);
    }
}

fn climb(sum: f64, hits: u64, run: u64, good: f64, bad: f64) -> f64 {
    let misses = run.saturating_sub(hits) as f64;
    let growth = hits as f64 * (bad / good).ln() + misses * ((1.0 - bad) / (1.0 - good)).ln();
    (sum + growth.min(MAX_GROWTH)).clamp(0.0, THRESHOLD * 2.0)
}
