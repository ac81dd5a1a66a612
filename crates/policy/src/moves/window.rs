//! What happened on both versions since the last look.
//!
//! Counters are cumulative, so a lost or late report delays evidence and never
//! distorts it. Calls are compared within one route and one availability zone,
//! so that a failing dependency, platform or availability zone, which hurts both
//! versions there, says nothing about either.

use std::collections::BTreeMap;

use crate::ids::{BackendVersion, InstanceName, RouteName, ZoneName};

use super::{
    evidence::{Counters, Evidence, Report},
    histogram::Histogram,
};

/// Counts of one version in one stratum.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls that ended.
    pub run: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Latencies.
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

/// Both versions on one route in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stratum {
    /// Route of the calls.
    pub route: RouteName,
    /// The old version.
    pub old: Tally,
    /// The new version.
    pub new: Tally,
}

/// What happened since the last look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Window {
    /// Comparable counts.
    pub strata: Vec<Stratum>,
    /// Counts of the new version by route, comparable or not.
    pub new: BTreeMap<RouteName, Tally>,
    /// Counts of the old version by route, comparable or not.
    pub old: BTreeMap<RouteName, Tally>,
    /// Backend servers of the new version that ended without leaving.
    pub new_crashes: u64,
    /// Instances that reported on the new version.
    pub new_instances: u64,
    /// Time in milliseconds for which calls on either version kept a slot.
    pub busy_ms: u64,
}

impl Window {
    /// Returns the calls that the new version ran.
    pub fn new_run(&self) -> u64 {
        self.new.values().map(|tally| tally.run).sum()
    }

    /// Returns the calls that the old version ran.
    pub fn old_run(&self) -> u64 {
        self.old.values().map(|tally| tally.run).sum()
    }
}

/// Turns cumulative reports into windows.
#[derive(Debug, Clone, Default)]
pub struct Increments {
    last: BTreeMap<InstanceName, Report>,
}

/// One version on one route in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    route: RouteName,
    zone: ZoneName,
}

#[derive(Default)]
struct Pair {
    old: Tally,
    new: Tally,
}

impl Increments {
    /// Returns what was counted since the last call.
    ///
    /// An instance seen for the first time only sets its starting point, because
    /// its counts may be older than the move.
    pub fn advance(
        &mut self,
        evidence: &Evidence,
        old: Option<&BackendVersion>,
        new: &BackendVersion,
    ) -> Window {
        let mut window = Window::default();
        let mut places: BTreeMap<Place, Pair> = BTreeMap::new();
        for report in evidence.reports() {
            let is_new = report.version == *new;
            if !is_new && Some(&report.version) != old {
                continue;
            }
            let last = self.last.insert(report.instance.clone(), report.clone());
            window.new_instances += u64::from(is_new);
            let Some(last) = last else { continue };
            let starts_anew = last.version != report.version
                || last.stamp.incarnation != report.stamp.incarnation;
            let last = (!starts_anew).then_some(last);
            count_report(&mut window, &mut places, report, last.as_ref(), is_new);
        }
        window.strata = comparable(places);
        window
    }
}

fn count_report(
    window: &mut Window,
    places: &mut BTreeMap<Place, Pair>,
    report: &Report,
    last: Option<&Report>,
    is_new: bool,
) {
    if is_new {
        let before = last.map_or(0, |last| last.crashes);
        window.new_crashes += u64::from(report.crashes.saturating_sub(before));
    }
    for (route, counters) in &report.routes {
        let before = last.and_then(|last| last.routes.get(route));
        let increase = before.map_or_else(|| counters.clone(), |before| counters.since(before));
        if increase.run == 0 && increase.busy_ms == 0 {
            continue;
        }
        window.busy_ms += increase.busy_ms;
        let place = Place { route: route.clone(), zone: report.zone.clone() };
        let pair = places.entry(place).or_default();
        let (tally, total) = match is_new {
            true => (&mut pair.new, &mut window.new),
            false => (&mut pair.old, &mut window.old),
        };
        tally.add(&increase);
        total.entry(route.clone()).or_default().add(&increase);
    }
}

/// Compares within availability zones where any has both versions, and across
/// them otherwise.
fn comparable(places: BTreeMap<Place, Pair>) -> Vec<Stratum> {
    let has_both = |pair: &Pair| pair.old.run > 0 && pair.new.run > 0;
    let is_matched = places.values().any(has_both);
    let mut strata: Vec<Stratum> = Vec::new();
    for (place, pair) in places {
        if is_matched {
            if has_both(&pair) {
                strata.push(Stratum { route: place.route, old: pair.old, new: pair.new });
            }
            continue;
        }
        match strata.last_mut().filter(|last| last.route == place.route) {
            Some(last) => {
                last.old.add_tally(&pair.old);
                last.new.add_tally(&pair.new);
            }
            None => strata.push(Stratum { route: place.route, old: pair.old, new: pair.new }),
        }
    }
    strata
}
