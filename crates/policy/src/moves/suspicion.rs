//! Notices that a finished version changed, while no call meets the old one.
//!
//! It compares the new version with what was known before the move was done. A
//! change may have any cause, so a suspicion is no verdict: it only makes the
//! nodes compare both versions once more, see `docs/design/0007-judge.md`.

use std::collections::BTreeMap;

use crate::ids::RouteName;

use super::{
    histogram::Histogram,
    judge::{MIN_REFERENCE_CALLS, SLOW_SHARE},
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

/// How slowness is tested for one version.
#[derive(Debug, Clone, Copy)]
struct SlowTest {
    /// Histogram buckets above the bound for slow from which calls count.
    margin: usize,
    /// Share of such calls that is no change.
    good: f64,
    /// Share of such calls of the alternative.
    bad: f64,
}

/// The new version must be slower by two buckets, 41%.
const NEW_SLOW: SlowTest = SlowTest { margin: 2, good: SLOW_SHARE, bad: 0.35 };

/// The old version counts as changed by much less: it carries less load in a
/// recheck than the new one did before, and it must still be seen that it
/// suffers from the same cause.
const OLD_SLOW: SlowTest = SlowTest { margin: 1, good: 0.14, bad: 0.24 };

/// Sum of log-likelihood ratios from which on the old version counts as changed.
const COMMON_THRESHOLD: f64 = 3.0;

/// Largest share of failures assumed before the change.
const MAX_GOOD_FAILURES: f64 = 0.3;

/// Smallest share of failures assumed before the change.
const MIN_GOOD_FAILURES: f64 = 0.001;

#[derive(Debug, Clone, Default)]
struct RouteWatch {
    before: Tally,
    reference: Histogram,
    new: Sums,
    old: Sums,
}

/// Cumulative sums of one version.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    failures: f64,
    slowness: f64,
}

/// Cumulative sums for each route.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    routes: BTreeMap<RouteName, RouteWatch>,
}

impl Suspicion {
    /// Takes in one window; what comes before the move is done is learned.
    pub fn look(&mut self, window: &Window, is_done: bool) {
        for (route, tally) in &window.old {
            let watch = self.routes.entry(route.clone()).or_default();
            if is_done {
                watch.test_old(tally);
            } else {
                watch.learn(tally);
            }
        }
        for (route, tally) in &window.new {
            let watch = self.routes.entry(route.clone()).or_default();
            if is_done {
                watch.test_new(tally);
            } else {
                watch.learn(tally);
            }
        }
    }

    /// Tells whether the old version changed as well, so that the cause is
    /// common to both.
    pub fn is_common(&self) -> bool {
        self.routes.values().any(|watch| watch.old.strongest() >= COMMON_THRESHOLD)
    }

    /// Tells whether any route changed.
    pub fn is_raised(&self) -> bool {
        self.route().is_some()
    }

    /// Returns the route that changed most, when any did.
    pub fn route(&self) -> Option<RouteName> {
        let strongest = self
            .routes
            .iter()
            .max_by(|a, b| a.1.new.strongest().total_cmp(&b.1.new.strongest()))?;
        (strongest.1.new.strongest() >= THRESHOLD).then(|| strongest.0.clone())
    }

    /// Forgets the sums and keeps what was known before.
    pub fn reset(&mut self) {
        for watch in self.routes.values_mut() {
            watch.new = Sums::default();
            watch.old = Sums::default();
        }
    }
}

impl RouteWatch {
    fn learn(&mut self, tally: &Tally) {
        self.before.add_tally(tally);
        self.reference.add(&tally.latency);
    }

    fn test_new(&mut self, tally: &Tally) {
        self.new = self.climbed(self.new, tally, NEW_SLOW);
    }

    fn test_old(&mut self, tally: &Tally) {
        self.old = self.climbed(self.old, tally, OLD_SLOW);
    }

    fn climbed(&self, sums: Sums, tally: &Tally, test: SlowTest) -> Sums {
        let known = (self.before.failed + 1) as f64 / (self.before.run + 2) as f64;
        let good = known.clamp(MIN_GOOD_FAILURES, MAX_GOOD_FAILURES);
        let bad = (good * BAD_FAILURE_FACTOR).max(MIN_BAD_FAILURES);
        let failures = climb(sums.failures, tally.failed, tally.run, good, bad);
        if self.reference.total() < MIN_REFERENCE_CALLS {
            return Sums { failures, ..sums };
        }
        let slow_from = self.reference.tail_bucket(SLOW_SHARE) + test.margin;
        let slow = tally.latency.tail(slow_from);
        let total = tally.latency.total();
        Sums { failures, slowness: climb(sums.slowness, slow, total, test.good, test.bad) }
    }
}

impl Sums {
    fn strongest(&self) -> f64 {
        self.failures.max(self.slowness)
    }
}

fn climb(sum: f64, hits: u64, run: u64, good: f64, bad: f64) -> f64 {
    let misses = run.saturating_sub(hits) as f64;
    let growth = hits as f64 * (bad / good).ln() + misses * ((1.0 - bad) / (1.0 - good)).ln();
    (sum + growth.min(MAX_GROWTH)).clamp(0.0, THRESHOLD * 2.0)
}
