//! Judge for short moves, which returns a verdict within seconds.
//!
//! The judge of long moves bounds its false alarms over days and needs many windows
//! for that. A move that has to be done within a minute can't wait so long, and most
//! calls that a bad version gets in that time are those before the verdict.
//! Therefore the last few seconds of both versions are compared directly.
//! `docs/design/0014-short-moves.md` describes the thresholds and what they cost.

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

/// Length of the sliding window that is compared.
const WINDOW: Duration = Duration::from_secs(4);

/// Number of failures of the new version in the window that a verdict needs.
///
/// A version that fails half of its calls is found after a dozen calls.
const FAILURES_FOR_VERDICT: u64 = 6;

/// Number of failures of the new version in the window from which the ramp waits.
const FAILURES_FOR_WARNING: u64 = 3;

/// Difference, as a fraction of calls, by which the new version's failure rate may
/// exceed the old version's whatever the number of calls is.
const FAILURE_MARGIN: f64 = 0.1;

/// Number of standard deviations, added to [`FAILURE_MARGIN`], by which the old
/// version's failure rate may be exceeded.
const FAILURE_DEVIATIONS: f64 = 2.0;

/// Number of calls of the old version in the window from which its failure rate is
/// used; below it the rate is taken as 0.
const MIN_OLD_CALLS: u64 = 10;

/// Number of histogram buckets by which the new version's median latency must exceed
/// the reference median for a verdict.
///
/// Six buckets are a factor of 2.8, which is more than the difference between
/// instances of one version.
const SLOW_VERDICT_BUCKETS: usize = 6;

/// Number of histogram buckets by which the median latency must exceed the reference
/// median for the ramp to wait: a factor of two.
const SLOW_WARNING_BUCKETS: usize = 4;

/// Number of latencies of the new version in the window that a verdict needs.
const LATENCIES_FOR_VERDICT: u64 = 10;

/// Number of latencies of the old version that the reference must hold before the
/// new version's latency is judged.
const MIN_REFERENCE_LATENCIES: u64 = 20;

/// Number of calls in the window from which an instance is judged by itself.
const MIN_INSTANCE_CALLS: u64 = 5;

/// Counts of one instance on one route between two evaluations.
#[derive(Debug, Clone)]
struct Sample {
    at: Tick,
    instance: InstanceName,
    is_new: bool,
    route: RouteName,
    counts: Counters,
}

/// Judge that compares the last seconds of two versions.
///
/// It compares failure rates and median latencies over a sliding window of 4
/// seconds. Unlike [`Judge`](super::judge::Judge) it has no bound on false alarms.
#[derive(Debug, Clone, Default)]
pub struct QuickJudge {
    last_reports: BTreeMap<InstanceName, Report>,
    recent_samples: VecDeque<Sample>,
    /// Latencies of the old version by route since the move began.
    reference: BTreeMap<RouteName, Histogram>,
}

/// Counts of both versions on one route or on all routes together.
#[derive(Debug, Default)]
struct VersionCounts {
    old: Counters,
    new: Counters,
    new_by_instance: BTreeMap<InstanceName, Counters>,
}

impl QuickJudge {
    /// Updates the sliding window from the evidence so far and judges it.
    ///
    /// Returns the most severe judgement over failures on all routes together and
    /// over failures and latency on each route.
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
        // The counts of an instance that is seen for the first time may date from long
        // before the move, so they only serve as its baseline.
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

    /// Judges whether the new version's failure rate exceeds what the old version's
    /// rate in the same window allows.
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

    /// Returns the highest failure rate that the new version may have.
    ///
    /// It is relative to the old version's rate, because failures of both versions in
    /// the same seconds have a common cause.
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
        // If both versions are slow in the same seconds, the cause is common to both.
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

    /// Returns whether at least half of the instances that ran enough calls are bad.
    ///
    /// A single bad instance among several is not a fault of the version.
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

/// Returns the more severe of two judgements.
pub(super) fn more_severe(a: Judgement, b: Judgement) -> Judgement {
    match (&a, &b) {
        (Judgement::Bad(_), _) => a,
        (_, Judgement::Bad(_)) => b,
        (Judgement::Warning, _) => a,
        _ => b,
    }
}
