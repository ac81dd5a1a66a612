//! Detects that the new version changed after its move was done, when no calls of
//! the old version are left to compare it with.
//!
//! The new version is compared with a baseline from before the move was done, by
//! cumulative sums (CUSUM) of log-likelihood ratios. A change may have any cause, so
//! a detected change is not a verdict. It only makes the nodes compare both versions
//! once more, see `docs/design/0007-judge.md`.

use std::collections::BTreeMap;

use crate::ids::RouteName;

use super::{
    histogram::Histogram,
    judge::{MIN_REFERENCE_CALLS, SLOW_SHARE},
    window::{Tally, Window},
};

/// Cumulative sum of log-likelihood ratios from which the new version counts as
/// changed.
const CHANGE_THRESHOLD: f64 = 6.0;

/// Largest increase of a cumulative sum in one window, so that a single burst isn't
/// enough.
const MAX_INCREASE: f64 = 2.0;

/// Smallest failure rate of the alternative, as a fraction of calls.
const MIN_ALTERNATIVE_FAILURE_RATE: f64 = 0.01;

/// Ratio of the alternative's failure rate to the baseline rate.
const ALTERNATIVE_FAILURE_FACTOR: f64 = 3.0;

/// Parameters of the latency test of one version.
#[derive(Debug, Clone, Copy)]
struct SlowTest {
    /// Number of histogram buckets above the bound for slow calls from which a call
    /// counts.
    margin_buckets: usize,
    /// Fraction of such calls if the version did not change.
    null_rate: f64,
    /// Fraction of such calls under the alternative.
    alternative_rate: f64,
}

/// Test of the new version, which must be slower by two buckets, 41%.
const NEW_SLOW: SlowTest =
    SlowTest { margin_buckets: 2, null_rate: SLOW_SHARE, alternative_rate: 0.35 };

/// Test of the old version, for which a much smaller change counts.
///
/// During a recheck it carries less load than the new version did before, and the
/// test must still detect that it suffers from the same cause.
const OLD_SLOW: SlowTest = SlowTest { margin_buckets: 1, null_rate: 0.14, alternative_rate: 0.24 };

/// Cumulative sum of log-likelihood ratios from which the old version counts as
/// changed.
const OLD_CHANGE_THRESHOLD: f64 = 3.0;

/// Largest failure rate that is assumed before the change, as a fraction of calls.
const MAX_BASELINE_FAILURE_RATE: f64 = 0.3;

/// Smallest failure rate that is assumed before the change, as a fraction of calls.
const MIN_BASELINE_FAILURE_RATE: f64 = 0.001;

/// Baseline and cumulative sums of one route.
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

/// Change detector of one move, with cumulative sums for each route.
#[derive(Debug, Clone, Default)]
pub struct ChangeDetector {
    routes: BTreeMap<RouteName, RouteDetector>,
}

impl ChangeDetector {
    /// Updates the detector with one window.
    ///
    /// Until the move is done (`is_done`), the window extends the baseline. After
    /// that it is tested against the baseline.
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

    /// Returns whether the old version changed on any route.
    ///
    /// If it changed as well as the new one, the cause is common to both.
    pub fn has_old_version_changed(&self) -> bool {
        self.routes.values().any(|detector| detector.old.largest() >= OLD_CHANGE_THRESHOLD)
    }

    /// Returns whether the new version changed on any route.
    pub fn has_new_version_changed(&self) -> bool {
        self.changed_route().is_some()
    }

    /// Returns the route on which the new version changed most, or `None` if it
    /// changed on none.
    pub fn changed_route(&self) -> Option<RouteName> {
        let most_changed =
            self.routes.iter().max_by(|a, b| a.1.new.largest().total_cmp(&b.1.new.largest()))?;
        (most_changed.1.new.largest() >= CHANGE_THRESHOLD).then(|| most_changed.0.clone())
    }

    /// Resets the cumulative sums and keeps the baseline.
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
