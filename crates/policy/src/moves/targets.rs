//! The history of target versions of each service.
//!
//! Every node must start a move from the same version, including nodes that have
//! just started. A node records the target of each configuration that it applies
//! and merges the records of its peers, so that it doesn't need to have read every
//! record of the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    config::model::{Configuration, DueTime},
    ids::{BackendVersion, ConfigVersion, ServiceName},
};

/// Largest number of targets kept for each service; older ones are discarded.
pub const MAX_TARGETS: usize = 8;

/// A version that a configuration requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Earliest recorded version of the configurations that requested it in a row.
    pub asked: ConfigVersion,
    /// Requested version of the backend server.
    pub version: BackendVersion,
}

/// The target versions recorded for one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTargets {
    asked: BTreeMap<ConfigVersion, BackendVersion>,
}

impl ServiceTargets {
    /// Records a target unless the previous configuration has the same one.
    fn record(&mut self, asked: ConfigVersion, version: &BackendVersion) {
        let before = self.asked.range(..=asked).next_back();
        if before.is_some_and(|(_, recorded)| recorded == version) {
            return;
        }
        self.asked.insert(asked, version.clone());
        self.discard_oldest();
    }

    /// Merges the targets that a peer recorded and returns whether anything changed.
    ///
    /// Of two versions for the same configuration the greater one wins, so that
    /// all nodes keep the same.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        for (asked, version) in &other.asked {
            let recorded = self.asked.entry(*asked).or_insert_with(|| version.clone());
            if version > recorded {
                *recorded = version.clone();
            }
        }
        self.discard_oldest();
        *self != before
    }

    fn discard_oldest(&mut self) {
        while self.asked.len() > MAX_TARGETS {
            self.asked.pop_first();
        }
    }

    /// Returns the targets in order of their configurations.
    ///
    /// Consecutive configurations with the same target give one entry, under the
    /// earliest of them.
    pub fn history(&self) -> Vec<Target> {
        let mut history: Vec<Target> = Vec::new();
        for (asked, version) in &self.asked {
            if history.last().is_none_or(|last| last.version != *version) {
                history.push(Target { asked: *asked, version: version.clone() });
            }
        }
        history
    }
}

/// The target history of all services, with the requested completion times.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// Version of the newest configuration applied.
    pub applied: ConfigVersion,
    services: BTreeMap<ServiceName, ServiceTargets>,
    due: BTreeMap<ServiceName, DueTime>,
}

impl Targets {
    /// Records the targets and completion times that a configuration requests.
    ///
    /// A configuration older than the newest one applied is ignored.
    pub fn apply_configuration(&mut self, version: ConfigVersion, configuration: &Configuration) {
        if version < self.applied {
            return;
        }
        self.applied = version;
        self.due.clear();
        for (name, service) in &configuration.services {
            if let Some(target) = &service.version {
                let asked = service.asked.unwrap_or(version);
                self.services.entry(name.clone()).or_default().record(asked, target);
            }
            if let Some(due) = service.due {
                self.due.insert(name.clone(), due);
            }
        }
    }

    /// Returns the targets of a service in order; the last is the current one.
    ///
    /// Targets that a peer recorded from a newer configuration are omitted until
    /// this node has applied that configuration.
    pub fn history(&self, service: &ServiceName) -> Vec<Target> {
        let Some(targets) = self.services.get(service) else { return Vec::new() };
        let mut history = targets.history();
        history.retain(|target| target.asked <= self.applied);
        history
    }

    /// Returns the current target of a service.
    pub fn current(&self, service: &ServiceName) -> Option<Target> {
        self.history(service).pop()
    }

    /// Returns when the current target of a service should carry all traffic.
    pub fn due(&self, service: &ServiceName) -> Option<DueTime> {
        self.due.get(service).copied()
    }

    /// Returns the recorded targets of a service, for gossip.
    pub fn service_targets(&self, service: &ServiceName) -> Option<&ServiceTargets> {
        self.services.get(service)
    }

    /// Merges a peer's targets of a service and returns whether anything changed.
    pub fn merge(&mut self, service: &ServiceName, other: &ServiceTargets) -> bool {
        self.services.entry(service.clone()).or_default().merge(other)
    }

    /// Returns the services that have recorded targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }
}
