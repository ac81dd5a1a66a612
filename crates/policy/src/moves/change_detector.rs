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
const CHANGE_THRESHOLD: f64 = 6.0;

/// Largest growth of the sum in one look, so that one burst isn't enough.
const MAX_INCREASE: f64 = 2.0;

/// Share of failures of the alternative, at least.
const MIN_ALTERNATIVE_FAILURE_RATE: f64 = 0.01;

/// Factor from the known share of failures to the alternative.
const ALTERNATIVE_FAILURE_FACTOR: f64 = 3.0;

/// How slowness is tested for one version.
#[derive(Debug, Clone, Copy)]
struct SlowTest {
    /// Histogram buckets above the bound for slow from which calls count.
    margin_buckets: usize,
    /// Share of such calls that is no change.
    null_rate: f64,
    /// Share of such calls of the alternative.
    alternative_rate: f64,
}

/// The new version must be slower by two buckets, 41%.
const NEW_SLOW: SlowTest =
    SlowTest { margin_buckets: 2, null_rate: SLOW_SHARE, alternative_rate: 0.35 };

/// The old version counts as changed by much less: it carries less load in a
/// recheck than the new one did before, and it must still be seen that it
/// suffers from the same cause.
const OLD_SLOW: SlowTest = SlowTest { margin_buckets: 1, null_rate: 0.14, alternative_rate: 0.24 };

/// Sum of log-likelihood ratios from which on the old version counts as changed.
const OLD_CHANGE_THRESHOLD: f64 = 3.0;

/// Largest share of failures assumed before the change.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.3;

/// Smallest share of failures assumed before the change.
const MIN_BASELINE_FAILURE_RATE: f64 = 0.001;

#[derive(Debug, Clone, Default)]
struct RouteDetector {
    baseline: Tally,
    reference_latency: Histogram,
    new: Cusum,
    old: Cusum,
}

/// Cumulative sums of one version.
#[derive(Debug, Clone, Copy, Default)]
struct Cusum {
    failures: f64,
    latency: f64,
}

/// Cumulative sums for each route.
#[derive(Debug, Clone, Default)]
pub struct ChangeDetector {
    routes: BTreeMap<RouteName, RouteDetector>,
}

impl ChangeDetector {
    /// Takes in one window; what comes before the move is done is learned.
    pub fn update(&mut self, window: &Window, is_done: bool) {
        for (route, tally) in &window.old {
            let detector = self.routes.entry(route.clone()).or_default();
            if is_done {
                detector.test_old(tally);
            } else {
                detector.add_to_baseline(tally);
            }
        }
        for (route, tally) in &window.new {
            let detector = self.routes.entry(route.clone()).or_default();
            if is_done {
                detector.test_new(tally);
            } else {
                detector.add_to_baseline(tally);
            }
        }
    }

    /// Tells whether the old version changed as well, so that the cause is
    /// common to both.
    pub fn has_old_version_changed(&self) -> bool {
        self.routes.values().any(|detector| detector.old.largest() >= OLD_CHANGE_THRESHOLD)
    }

    /// Tells whether any route changed.
    pub fn has_new_version_changed(&self) -> bool {
        self.changed_route().is_some()
    }

    /// Returns the route that changed most, when any did.
    pub fn changed_route(&self) -> Option<RouteName> {
        let most_changed =
            self.routes.iter().max_by(|a, b| a.1.new.largest().total_cmp(&b.1.new.largest()))?;
        (most_changed.1.new.largest() >= CHANGE_THRESHOLD).then(|| most_changed.0.clone())
    }

    /// Forgets the sums and keeps what was known before.
    pub fn reset(&mut self) {
        for detector in self.routes.values_mut() {
            detector.new = Cusum::default();
            detector.old = Cusum::default();
        }
    }
}

impl RouteDetector {
    fn add_to_baseline(&mut self, tally: &Tally) {
        self.baseline.add_tally(tally);
        self.reference_latency.add(&tally.latency);
    }

    fn test_new(&mut self, tally: &Tally) {
        self.new = self.next_cusum(self.new, tally, NEW_SLOW);
    }

    fn test_old(&mut self, tally: &Tally) {
        self.old = self.next_cusum(self.old, tally, OLD_SLOW);
    }

    fn next_cusum(&self, cusum: Cusum, tally: &Tally, test: SlowTest) -> Cusum {
        let baseline_rate = (self.baseline.failed + 1) as f64 / (self.baseline.run + 2) as f64;
        let null_rate = baseline_rate.clamp(MIN_BASELINE_FAILURE_RATE, MAX_BASELINE_FAILURE_RATE);
        let alternative_rate =
            (null_rate * ALTERNATIVE_FAILURE_FACTOR).max(MIN_ALTERNATIVE_FAILURE_RATE);
        let failures =
            next_cusum_value(cusum.failures, tally.failed, tally.run, null_rate, alternative_rate);
        if self.reference_latency.total() < MIN_REFERENCE_CALLS {
            return Cusum { failures, ..cusum };
        }
        let slow_from = self.reference_latency.tail_bucket(SLOW_SHARE) + test.margin_buckets;
        let slow = tally.latency.tail(slow_from);
        let total = tally.latency.total();
        Cusum {
            failures,
            latency: next_cusum_value(
                cusum.latency,
                slow,
                total,
                test.null_rate,
                test.alternative_rate,
            ),
        }
    }
}

impl Cusum {
    fn largest(&self) -> f64 {
        self.failures.max(self.latency)
    }
}

fn next_cusum_value(sum: f64, events: u64, run: u64, null_rate: f64, alternative_rate: f64) -> f64 {
    let non_events = run.saturating_sub(events) as f64;
    let increase = events as f64 * (alternative_rate / null_rate).ln()
        + non_events * ((1.0 - alternative_rate) / (1.0 - null_rate)).ln();
    (sum + increase.min(MAX_INCREASE)).clamp(0.0, CHANGE_THRESHOLD * 2.0)
}
