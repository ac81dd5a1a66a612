//! Evidence about versions: the counts that each node keeps of its local backend
//! server.
//!
//! Each report has a single writer, so the report with the highest stamp replaces
//! older ones and nothing is counted twice. Reports are exchanged only between the
//! nodes of one service.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::Stamp,
};

use super::histogram::Histogram;

/// Largest number of routes that a report counts separately.
///
/// The limit bounds the size of a report.
pub const MAX_REPORTED_ROUTES: usize = 32;

/// Name under which the routes beyond [`MAX_REPORTED_ROUTES`] are counted together.
pub const OTHER_ROUTES: &str = "other-routes";

/// Time after the start of a backend server during which its latency is not judged.
pub const COLD_START: Duration = Duration::from_secs(15);

/// How a call ended, as the node of the backend server observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Ending {
    /// The backend server answered without a server error.
    Ok,
    /// The backend server answered with a server error, or its connection ended.
    Failed,
    /// The route's whole timeout elapsed.
    TimedOut,
    /// The caller cancelled, or its own deadline, shorter than the route's timeout,
    /// passed. Such a call is no evidence about the version.
    Cancelled,
}

/// Observation of one call that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// How the call ended.
    pub ending: Ending,
    /// Time that the backend server took for the call.
    pub took: Duration,
    /// Whether the backend server started less than [`COLD_START`] ago.
    pub is_cold: bool,
}

/// Cumulative counts of one route on one instance.
///
/// They never decrease while the backend server runs, so that a lost report loses
/// no counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Number of calls that ended, without the cancelled ones.
    pub run: u64,
    /// Number of these calls that failed.
    pub failed: u64,
    /// Number of calls that the caller cancelled or whose own deadline passed.
    pub cancelled: u64,
    /// Total time in milliseconds for which calls held a slot.
    pub busy_ms: u64,
    /// Latencies of the calls after [`COLD_START`], without the failed ones that did
    /// not time out.
    pub latency: Histogram,
}

impl Counters {
    /// Adds one call to the counts.
    pub fn record(&mut self, observation: Observation) {
        self.busy_ms += observation.took.as_millis() as u64;
        match observation.ending {
            Ending::Cancelled => self.cancelled += 1,
            // A cold backend server may time out only because it is cold, so this is not
            // a failure.
            Ending::TimedOut if observation.is_cold => self.run += 1,
            Ending::Ok => self.record_run(observation, false),
            Ending::Failed | Ending::TimedOut => self.record_run(observation, true),
        }
    }

    fn record_run(&mut self, observation: Observation, is_failed: bool) {
        self.run += 1;
        self.failed += u64::from(is_failed);
        // A failure may be quick and must not make a version look fast.
        let counts_latency = !observation.is_cold && observation.ending != Ending::Failed;
        if counts_latency {
            self.latency.record(observation.took);
        }
    }

    /// Returns the difference from `earlier`, which must be of the same instance.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            run: self.run.saturating_sub(earlier.run),
            failed: self.failed.saturating_sub(earlier.failed),
            cancelled: self.cancelled.saturating_sub(earlier.cancelled),
            busy_ms: self.busy_ms.saturating_sub(earlier.busy_ms),
            latency: self.latency.since(&earlier.latency),
        }
    }

    /// Adds other counts, such as those of another instance.
    pub fn add(&mut self, other: &Self) {
        self.run += other.run;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.busy_ms += other.busy_ms;
        self.latency.add(&other.latency);
    }
}

/// Key of a set of counters: a route and the version that ran its calls.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// Route of the calls.
    pub route: RouteName,
    /// Version of the backend server that ran the calls.
    pub version: BackendVersion,
}

/// All counts that one node keeps of its local backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance whose node wrote the report.
    pub instance: InstanceName,
    /// Position in the order of this instance's reports.
    pub stamp: Stamp,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Version of the backend server; the counts start again from zero when it
    /// changes.
    pub version: BackendVersion,
    /// Number of times that a backend server of this version ended without leaving.
    pub crashes: u32,
    /// Counts of each route.
    pub routes: BTreeMap<RouteName, Counters>,
}

impl Report {
    /// Adds one call to the counts.
    pub fn record(&mut self, route: &RouteName, observation: Observation) {
        self.stamp.sequence += 1;
        let is_full = self.routes.len() >= MAX_REPORTED_ROUTES;
        if let Some(counters) = self.routes.get_mut(route) {
            return counters.record(observation);
        }
        let name = if is_full { other_routes() } else { route.clone() };
        self.routes.entry(name).or_default().record(observation);
    }

    /// Returns the report reduced to the routes that changed since `earlier`.
    ///
    /// Counts are cumulative, so the receiver keeps the counts that it has of the
    /// other routes. The whole report is returned when `earlier` is of another
    /// series.
    pub fn changes_since(&self, earlier: Option<&Report>) -> Report {
        let Some(earlier) = earlier.filter(|earlier| earlier.is_same_series(self)) else {
            return self.clone();
        };
        let is_changed = |route: &RouteName, counters: &Counters| {
            earlier.routes.get(route).is_none_or(|before| before != counters)
        };
        let routes = self.routes.iter().filter(|(route, counters)| is_changed(route, counters));
        let routes = routes.map(|(route, counters)| (route.clone(), counters.clone())).collect();
        Report { routes, ..self.clone() }
    }

    /// Returns whether two reports belong to the same series of cumulative counts.
    ///
    /// A new incarnation, service or version starts a new series.
    pub fn is_same_series(&self, other: &Report) -> bool {
        self.stamp.incarnation == other.stamp.incarnation
            && self.service == other.service
            && self.version == other.version
    }

    /// Adds a crash: a backend server that ended without leaving.
    pub fn record_crash(&mut self) {
        self.stamp.sequence += 1;
        self.crashes += 1;
    }
}

fn other_routes() -> RouteName {
    RouteName::try_from(OTHER_ROUTES).expect("the constant is a valid name")
}

/// The newest report of each instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    reports: BTreeMap<InstanceName, Report>,
}

impl Evidence {
    /// Stores a report if it is newer than the stored one of its instance, and
    /// returns whether it was stored.
    ///
    /// Routes that the newer report of a series omits are unchanged, so their counts
    /// are copied from the stored one.
    pub fn merge(&mut self, mut report: Report) -> bool {
        if let Some(stored) = self.reports.get(&report.instance) {
            if stored.stamp >= report.stamp {
                return false;
            }
            if stored.is_same_series(&report) {
                for (route, counters) in &stored.routes {
                    report.routes.entry(route.clone()).or_insert_with(|| counters.clone());
                }
            }
        }
        self.reports.insert(report.instance.clone(), report);
        true
    }

    /// Returns the newest report of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&Report> {
        self.reports.get(instance)
    }

    /// Returns the newest reports in the order of their instances.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }

    /// Removes the reports of the instances for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.reports.retain(|instance, _| keep(instance));
    }
}
