//! What the node beside a backend server counts about it.
//!
//! A report has one writer, so the highest stamp wins and nothing is counted
//! twice. Reports travel only between the nodes of one service.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::Stamp,
};

use super::histogram::Histogram;

/// Routes that a report counts one by one.
pub const MAX_REPORTED_ROUTES: usize = 32;

/// Name under which the routes above [`MAX_REPORTED_ROUTES`] are counted.
pub const OTHER_ROUTES: &str = "other-routes";

/// Time after its start in which a backend server's latency isn't judged.
pub const COLD_START: Duration = Duration::from_secs(15);

/// How a call ended, seen from the node beside the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Ending {
    /// The backend server answered without a server error.
    Ok,
    /// The backend server answered with a server error or its connection ended.
    Failed,
    /// The route's whole timeout passed.
    TimedOut,
    /// The caller cancelled or its own deadline, shorter than the route's
    /// timeout, passed. It says nothing about the version.
    Cancelled,
}

/// One call that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// How it ended.
    pub ending: Ending,
    /// Time that the backend server took.
    pub took: Duration,
    /// Whether the backend server started less than [`COLD_START`] ago.
    pub is_cold: bool,
}

/// Counts about one route on one instance; they only grow.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls that ended and count.
    pub run: u64,
    /// Calls of these that failed.
    pub failed: u64,
    /// Calls that the caller gave up.
    pub cancelled: u64,
    /// Time in milliseconds for which calls kept a slot.
    pub busy_ms: u64,
    /// Latencies of the calls after the cold start.
    pub latency: Histogram,
}

impl Counters {
    /// Counts one call.
    pub fn record(&mut self, observation: Observation) {
        self.busy_ms += observation.took.as_millis() as u64;
        match observation.ending {
            Ending::Cancelled => self.cancelled += 1,
            // A cold backend server may be too slow for the timeout.
            Ending::TimedOut if observation.is_cold => self.run += 1,
            Ending::Ok => self.record_run(observation, false),
            Ending::Failed | Ending::TimedOut => self.record_run(observation, true),
        }
    }

    fn record_run(&mut self, observation: Observation, is_failed: bool) {
        self.run += 1;
        self.failed += u64::from(is_failed);
        // A failure may be quick; it must not make a version look fast.
        let counts_latency = !observation.is_cold && observation.ending != Ending::Failed;
        if counts_latency {
            self.latency.record(observation.took);
        }
    }

    /// Returns what was counted since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            run: self.run.saturating_sub(earlier.run),
            failed: self.failed.saturating_sub(earlier.failed),
            cancelled: self.cancelled.saturating_sub(earlier.cancelled),
            busy_ms: self.busy_ms.saturating_sub(earlier.busy_ms),
            latency: self.latency.since(&earlier.latency),
        }
    }

    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &Self) {
        self.run += other.run;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.busy_ms += other.busy_ms;
        self.latency.add(&other.latency);
    }
}

/// Names what a counter counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// Route of the calls.
    pub route: RouteName,
    /// Version of the backend server that ran them.
    pub version: BackendVersion,
}

/// Everything that one node counted about the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance of the writer.
    pub instance: InstanceName,
    /// Order among the reports of this instance.
    pub stamp: Stamp,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Version of the backend server; a change starts the counts anew.
    pub version: BackendVersion,
    /// Times that a backend server of this version ended without leaving.
    pub crashes: u32,
    /// Counts by route.
    pub routes: BTreeMap<RouteName, Counters>,
}

impl Report {
    /// Counts one call.
    pub fn record(&mut self, route: &RouteName, observation: Observation) {
        self.stamp.sequence += 1;
        let is_full = self.routes.len() >= MAX_REPORTED_ROUTES;
        if let Some(counters) = self.routes.get_mut(route) {
            return counters.record(observation);
        }
        let name = if is_full { other_routes() } else { route.clone() };
        self.routes.entry(name).or_default().record(observation);
    }

    /// Returns the report with those routes only that changed since `earlier`.
    ///
    /// Counts are cumulative, so the receiver keeps what it knows of the others.
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

    /// Tells whether two reports count the same backend server.
    pub fn is_same_series(&self, other: &Report) -> bool {
        self.stamp.incarnation == other.stamp.incarnation
            && self.service == other.service
            && self.version == other.version
    }

    /// Counts a backend server that ended without leaving.
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
    /// Keeps a report when it is newer than the one known of its instance.
    ///
    /// Routes that the newer report leaves out didn't change.
    pub fn merge(&mut self, mut report: Report) -> bool {
        if let Some(known) = self.reports.get(&report.instance) {
            if known.stamp >= report.stamp {
                return false;
            }
            if known.is_same_series(&report) {
                for (route, counters) in &known.routes {
                    report.routes.entry(route.clone()).or_insert_with(|| counters.clone());
                }
            }
        }
        self.reports.insert(report.instance.clone(), report);
        true
    }

    /// Returns the report of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&Report> {
        self.reports.get(instance)
    }

    /// Returns the reports in the order of their instances.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }

    /// Forgets the instances for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.reports.retain(|instance, _| keep(instance));
    }
}
