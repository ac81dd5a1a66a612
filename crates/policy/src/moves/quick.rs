//! A verdict within seconds, for moves that last seconds.
//!
//! The judge of long moves bounds its false alarms over days and needs many windows
//! for it. A move that is to be done within a minute can't wait so long, and most
//! calls that a bad version gets in that time are those before the verdict. So the
//! last few seconds of both versions are compared directly. The thresholds and what
//! they cost are in `docs/design/0014-short-moves.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{BackendVersion, InstanceName, RouteName},
    time::Tick,
};

use super::{
    evidence::{Counters, Evidence, Report},
    histogram::Histogram,
    judge::Judgement,
    state::{BadKind, BadReason},
};

/// Time that is compared.
const WINDOW: Duration = Duration::from_secs(4);

/// Failures of the new version that make a verdict: a version that fails half of
/// its calls is found after a dozen.
const FAILURES_FOR_VERDICT: u64 = 6;

/// Failures that make the ramp wait.
const FAILURES_FOR_WARNING: u64 = 3;

/// Share of failures by which the new version may exceed the old one, whatever the
/// number of calls.
const FAILURE_MARGIN: f64 = 0.1;

/// Standard deviations of the old version's share by which it may be exceeded too.
const FAILURE_DEVIATIONS: f64 = 2.0;

/// Calls of the old version in the window before its share of them counts.
const MIN_OLD_CALLS: u64 = 10;

/// Histogram buckets by which the new version's median may be above the old one's:
/// six are a factor of 2.8, more than instances of one version differ by.
const SLOW_VERDICT_BUCKETS: usize = 6;

/// The same for the ramp to wait: a factor of two.
const SLOW_WARNING_BUCKETS: usize = 4;

/// Latencies of the new version that make a verdict.
const LATENCIES_FOR_VERDICT: u64 = 10;

/// Latencies of the old version before they are compared with.
const MIN_REFERENCE_LATENCIES: u64 = 20;

/// Calls of one instance in the window that tell something about it alone.
const MIN_INSTANCE_CALLS: u64 = 5;

/// What one instance counted between two looks.
#[derive(Debug, Clone)]
struct Sample {
    at: Tick,
    instance: InstanceName,
    is_new: bool,
    route: RouteName,
    counts: Counters,
}

/// Compares the last seconds of two versions.
#[derive(Debug, Clone, Default)]
pub struct QuickJudge {
    last_reports: BTreeMap<InstanceName, Report>,
    recent_samples: VecDeque<Sample>,
    /// Latencies of the old version since the move began, by route.
    reference: BTreeMap<RouteName, Histogram>,
}

/// Calls of both versions on one route, or on all.
#[derive(Debug, Default)]
struct VersionCounts {
    old: Counters,
    new: Counters,
    new_by_instance: BTreeMap<InstanceName, Counters>,
}

impl QuickJudge {
    /// Takes in the evidence so far and judges the last seconds.
    pub fn evaluate(
        &mut self,
        now: Tick,
        evidence: &Evidence,
        old: Option<&BackendVersion>,
        new: &BackendVersion,
    ) -> Judgement {
        for report in evidence.reports() {
            let is_new = report.version == *new;
            if is_new || Some(&report.version) == old {
                self.record_increase(now, report, is_new);
            }
        }
        while self.recent_samples.front().is_some_and(|sample| now.since(sample.at) > WINDOW) {
            self.recent_samples.pop_front();
        }
        self.judge()
    }

    fn record_increase(&mut self, now: Tick, report: &Report, is_new: bool) {
        let last = self.last_reports.insert(report.instance.clone(), report.clone());
        // An instance that is seen for the first time may have counted long before
        // the move, so that its counts only set the starting point.
        let Some(last) = last else { return };
        let last = Some(last).filter(|last| last.is_same_series(report));
        for (route, counters) in &report.routes {
            let before = last.as_ref().and_then(|last| last.routes.get(route));
            let counts = before.map_or_else(|| counters.clone(), |b| counters.since(b));
            if counts.run == 0 {
                continue;
            }
            if !is_new {
                self.reference.entry(route.clone()).or_default().add(&counts.latency);
            }
            let (instance, route) = (report.instance.clone(), route.clone());
            self.recent_samples.push_back(Sample { at: now, instance, is_new, route, counts });
        }
    }

    fn judge(&self) -> Judgement {
        let mut all = VersionCounts::default();
        let mut by_route: BTreeMap<&RouteName, VersionCounts> = BTreeMap::new();
        for sample in &self.recent_samples {
            all.add(sample);
            by_route.entry(&sample.route).or_default().add(sample);
        }
        let mut worst = all.judge_failures(None);
        for (route, version_counts) in by_route {
            let reference = self.reference.get(route);
            let latency_judgement = reference.map_or(Judgement::Clear, |route_reference| {
                version_counts.judge_latency(route, route_reference)
            });
            worst = more_severe(
                worst,
                more_severe(version_counts.judge_failures(Some(route)), latency_judgement),
            );
        }
        worst
    }
}

impl VersionCounts {
    fn add(&mut self, sample: &Sample) {
        if !sample.is_new {
            return self.old.add(&sample.counts);
        }
        self.new.add(&sample.counts);
        self.new_by_instance.entry(sample.instance.clone()).or_default().add(&sample.counts);
    }

    /// Tells whether the new version fails more often than the old one does now.
    fn judge_failures(&self, route: Option<&RouteName>) -> Judgement {
        let allowed = self.allowed_failures();
        let exceeds = |counts: &Counters| share(counts) > allowed;
        if self.new.failed < FAILURES_FOR_WARNING || !exceeds(&self.new) {
            return Judgement::Clear;
        }
        let is_widespread = self.is_bad_on_most_instances(|counts| exceeds(counts));
        if self.new.failed < FAILURES_FOR_VERDICT || !is_widespread {
            return Judgement::Warning;
        }
        Judgement::Bad(BadReason { kind: BadKind::Failing, route: route.cloned() })
    }

    /// Returns the share of failures that the new version may have.
    ///
    /// What fails on both versions in the same seconds is a common cause.
    fn allowed_failures(&self) -> f64 {
        let base = if self.old.run >= MIN_OLD_CALLS { share(&self.old) } else { 0.0 };
        let run = self.new.run.max(1) as f64;
        base + FAILURE_MARGIN + FAILURE_DEVIATIONS * (base * (1.0 - base) / run).sqrt()
    }

    fn judge_latency(&self, route: &RouteName, reference: &Histogram) -> Judgement {
        if reference.total() < MIN_REFERENCE_LATENCIES {
            return Judgement::Clear;
        }
        let reference_median = median(reference);
        let is_slow_by = |histogram: &Histogram, buckets: usize| {
            histogram.total() > 0 && median(histogram) >= reference_median + buckets
        };
        // What slows both versions in the same seconds is a common cause.
        let is_common_cause = is_slow_by(&self.old.latency, SLOW_WARNING_BUCKETS);
        let latencies = self.new.latency.total();
        if is_common_cause || latencies < LATENCIES_FOR_VERDICT / 2 {
            return Judgement::Clear;
        }
        if !is_slow_by(&self.new.latency, SLOW_WARNING_BUCKETS) {
            return Judgement::Clear;
        }
        let is_widespread =
            self.is_bad_on_most_instances(|c| is_slow_by(&c.latency, SLOW_VERDICT_BUCKETS));
        let is_slow = is_slow_by(&self.new.latency, SLOW_VERDICT_BUCKETS);
        if latencies < LATENCIES_FOR_VERDICT || !is_slow || !is_widespread {
            return Judgement::Warning;
        }
        Judgement::Bad(BadReason { kind: BadKind::Slow, route: Some(route.clone()) })
    }

    /// Tells whether at least half of the instances that ran enough calls are bad:
    /// a single instance among several is no fault of the version.
    fn is_bad_on_most_instances(&self, is_bad: impl Fn(&Counters) -> bool) -> bool {
        let eligible = self.new_by_instance.values().filter(|c| c.run >= MIN_INSTANCE_CALLS);
        let (bad, good): (Vec<_>, Vec<_>) = eligible.partition(|counts| is_bad(counts));
        bad.len() >= good.len()
    }
}

fn share(counts: &Counters) -> f64 {
    counts.failed as f64 / counts.run.max(1) as f64
}

fn median(histogram: &Histogram) -> usize {
    histogram.tail_bucket(0.5)
}

/// Returns the judgement that speaks more against the version.
pub(super) fn more_severe(a: Judgement, b: Judgement) -> Judgement {
    match (&a, &b) {
        (Judgement::Bad(_), _) => a,
        (_, Judgement::Bad(_)) => b,
        (Judgement::Warning, _) => a,
        _ => b,
    }
}
