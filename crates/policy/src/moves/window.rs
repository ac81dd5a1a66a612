//! Windows: the increase of both versions' counts between two evaluations.
//!
//! Counters are cumulative, so a lost or late report delays evidence and never
//! distorts it. Calls are compared within one route and one availability zone, a
//! stratum. A failing dependency, platform or availability zone affects both versions there, so
//! it is no evidence against either of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{BackendVersion, InstanceName, RouteName, ZoneName},
    time::Tick,
};

use super::{
    evidence::{Counters, Evidence, Report},
    histogram::Histogram,
};

/// Number of calls of the old version from which a stratum is compared at once,
/// without waiting for [`MAX_PENDING`].
pub const READY_OLD_CALLS: u64 = 20;

/// Longest time for which the counts of a stratum wait for more calls.
pub const MAX_PENDING: Duration = Duration::from_secs(10);

/// Longest time for which calls of the new version wait for any call of the old one.
pub const MAX_PENDING_ONE_VERSION: Duration = Duration::from_secs(2);

/// Counts of one version in one stratum or on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of calls that ended.
    pub run: u64,
    /// Number of these calls that failed.
    pub failed: u64,
    /// Latencies of the calls after the backend server's cold start.
    pub latency: Histogram,
}

impl Tally {
    fn add(&mut self, counters: &Counters) {
        self.run += counters.run;
        self.failed += counters.failed;
        self.latency.add(&counters.latency);
    }

    /// Adds the counts of another tally.
    pub fn add_tally(&mut self, other: &Self) {
        self.run += other.run;
        self.failed += other.failed;
        self.latency.add(&other.latency);
    }
}

/// Counts of both versions on one route in one availability zone.
///
/// If no availability zone has instances of both versions, a stratum covers all
/// zones together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stratum {
    /// Route of the calls.
    pub route: RouteName,
    /// Counts of the old version.
    pub old: Tally,
    /// Counts of the new version.
    pub new: Tally,
}

/// Increase of the counts of both versions since the last evaluation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Window {
    /// Strata in which the two versions can be compared.
    pub strata: Vec<Stratum>,
    /// Counts of the new version by route, whether comparable or not.
    pub new: BTreeMap<RouteName, Tally>,
    /// Counts of the old version by route, whether comparable or not.
    pub old: BTreeMap<RouteName, Tally>,
    /// Number of crashes: backend servers of the new version that ended without
    /// reporting before that they leave.
    pub new_crashes: u64,
    /// Number of instances that reported on the new version.
    pub new_instances: u64,
    /// Number of crashes of backend servers of the old version.
    pub old_crashes: u64,
    /// Number of instances that reported on the old version.
    pub old_instances: u64,
    /// Total time in milliseconds for which calls of either version held a slot.
    pub busy_ms: u64,
}

impl Window {
    /// Returns the number of calls that the new version ran, on all routes.
    pub fn new_run(&self) -> u64 {
        self.new.values().map(|tally| tally.run).sum()
    }

    /// Returns the number of calls that the old version ran, on all routes.
    pub fn old_run(&self) -> u64 {
        self.old.values().map(|tally| tally.run).sum()
    }
}

/// Converts cumulative reports into windows.
///
/// It retains the last report of each instance, and the counts of strata that are
/// not yet ready for comparison.
#[derive(Debug, Clone, Default)]
pub struct Increments {
    last_reports: BTreeMap<InstanceName, Report>,
    pending: BTreeMap<StratumKey, PendingStratum>,
}

/// Key of a stratum: one route in one availability zone, or in all of them together
/// when `zone` is `None`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct StratumKey {
    route: RouteName,
    zone: Option<ZoneName>,
}

/// Counts of a stratum that wait until both versions can be compared.
#[derive(Debug, Clone)]
struct PendingStratum {
    since: Tick,
    old: Tally,
    new: Tally,
}

impl PendingStratum {
    fn new(now: Tick) -> Self {
        Self { since: now, old: Tally::default(), new: Tally::default() }
    }

    /// Returns whether the counts can be compared.
    ///
    /// This depends only on the number and age of the calls, never on how they ended,
    /// so that the choice of windows can't bias the verdict.
    fn is_ready(&self, now: Tick) -> bool {
        let has_both = self.old.run > 0 && self.new.run > 0;
        has_both && (self.old.run >= READY_OLD_CALLS || now.since(self.since) >= MAX_PENDING)
    }
}

impl PendingStratum {
    /// Returns whether the counts are too old to wait any longer.
    ///
    /// Calls of one version alone are no evidence. Those of the new version must not
    /// wait until traffic returns to the old one, because what made them fail before
    /// that may have affected both versions.
    fn is_stale(&self, now: Tick) -> bool {
        let age = now.since(self.since);
        age >= MAX_PENDING || (self.old.run == 0 && age >= MAX_PENDING_ONE_VERSION)
    }
}

/// Availability zones in which both versions have instances.
struct SharedZones {
    both: BTreeSet<ZoneName>,
}

impl SharedZones {
    fn new(evidence: &Evidence, old: Option<&BackendVersion>, new: &BackendVersion) -> Self {
        let zones_of = |version: Option<&BackendVersion>| -> BTreeSet<&ZoneName> {
            let reports = evidence.reports().filter(|report| Some(&report.version) == version);
            reports.map(|report| &report.zone).collect()
        };
        let (old, new) = (zones_of(old), zones_of(Some(new)));
        Self { both: old.intersection(&new).map(|zone| (*zone).clone()).collect() }
    }

    /// Returns the stratum in which calls of a route and zone are compared.
    ///
    /// Returns `None` when the zone has only one version while other zones have both.
    /// When no zone has both, all zones form one stratum.
    fn stratum_key(&self, route: &RouteName, zone: &ZoneName) -> Option<StratumKey> {
        let zone = match self.both.is_empty() {
            true => None,
            false => Some(self.both.get(zone)?.clone()),
        };
        Some(StratumKey { route: route.clone(), zone })
    }
}

impl Increments {
    /// Returns the increase of all counts since the last call of this function.
    ///
    /// The first report of an instance only serves as its baseline, because its
    /// counts may date from before the move.
    pub fn advance(
        &mut self,
        now: Tick,
        evidence: &Evidence,
        old: Option<&BackendVersion>,
        new: &BackendVersion,
    ) -> Window {
        let mut window = Window::default();
        let zones = SharedZones::new(evidence, old, new);
        for report in evidence.reports() {
            let is_new = report.version == *new;
            if !is_new && Some(&report.version) != old {
                continue;
            }
            window.new_instances += u64::from(is_new);
            window.old_instances += u64::from(!is_new);
            let last = self.last_reports.insert(report.instance.clone(), report.clone());
            let Some(last) = last else { continue };
            let is_reset = last.version != report.version
                || last.stamp.incarnation != report.stamp.incarnation;
            let last = (!is_reset).then_some(last);
            self.count(now, &mut window, &zones, report, last.as_ref(), is_new);
        }
        window.strata = self.extract_ready(now);
        window
    }

    fn count(
        &mut self,
        now: Tick,
        window: &mut Window,
        zones: &SharedZones,
        report: &Report,
        last: Option<&Report>,
        is_new: bool,
    ) {
        let before = last.map_or(0, |last| last.crashes);
        let crashes = if is_new { &mut window.new_crashes } else { &mut window.old_crashes };
        *crashes += u64::from(report.crashes.saturating_sub(before));
        for (route, counters) in &report.routes {
            let before = last.and_then(|last| last.routes.get(route));
            let increase = before.map_or_else(|| counters.clone(), |before| counters.since(before));
            if increase.run == 0 && increase.busy_ms == 0 {
                continue;
            }
            window.busy_ms += increase.busy_ms;
            let total = if is_new { &mut window.new } else { &mut window.old };
            total.entry(route.clone()).or_default().add(&increase);
            let Some(stratum_key) = zones.stratum_key(route, &report.zone) else { continue };
            let pending =
                self.pending.entry(stratum_key).or_insert_with(|| PendingStratum::new(now));
            let tally = if is_new { &mut pending.new } else { &mut pending.old };
            tally.add(&increase);
        }
    }

    fn extract_ready(&mut self, now: Tick) -> Vec<Stratum> {
        let ready = self.pending.extract_if(.., |_, pending| pending.is_ready(now));
        let strata: Vec<Stratum> = ready
            .map(|(stratum_key, pending)| Stratum {
                route: stratum_key.route,
                old: pending.old,
                new: pending.new,
            })
            .collect();
        self.pending.retain(|_, pending| !pending.is_stale(now));
        strata
    }
}
