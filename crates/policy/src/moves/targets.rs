//! Which versions each service was asked to run, in order.
//!
//! The version that a move starts from must be the same on every node, also on
//! one that started a moment ago. A node notes the target of each configuration
//! that it applies and merges the notes of its peers, so no node depends on
//! having read every record of the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    config::model::{Configuration, DueTime},
    ids::{BackendVersion, ConfigVersion, ServiceName},
};

/// Notes kept for each service.
pub const MAX_TARGETS: usize = 8;

/// A version that a configuration asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Version of the configuration that asked, as far as the notes go back.
    pub asked: ConfigVersion,
    /// The version asked for.
    pub version: BackendVersion,
}

/// The notes about one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTargets {
    asked: BTreeMap<ConfigVersion, BackendVersion>,
}

impl ServiceTargets {
    /// Notes a target unless the last note says the same.
    fn record(&mut self, asked: ConfigVersion, version: &BackendVersion) {
        let before = self.asked.range(..=asked).next_back();
        if before.is_some_and(|(_, recorded)| recorded == version) {
            return;
        }
        self.asked.insert(asked, version.clone());
        self.discard_oldest();
    }

    /// Adds the notes of a peer and tells whether any is new.
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

    /// Returns the targets in order, each with the earliest note of its run.
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

/// The targets of all services, with the times asked for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// Version of the newest configuration noted.
    pub applied: ConfigVersion,
    services: BTreeMap<ServiceName, ServiceTargets>,
    due: BTreeMap<ServiceName, DueTime>,
}

impl Targets {
    /// Notes what an applied configuration asks for.
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

    /// Returns the targets of a service in order, the one in force last.
    ///
    /// Notes that a peer took from a newer configuration are left out until this
    /// node has applied it.
    pub fn history(&self, service: &ServiceName) -> Vec<Target> {
        let Some(targets) = self.services.get(service) else { return Vec::new() };
        let mut history = targets.history();
        history.retain(|target| target.asked <= self.applied);
        history
    }

    /// Returns the target in force.
    pub fn current(&self, service: &ServiceName) -> Option<Target> {
        self.history(service).pop()
    }

    /// Returns when the target in force should carry all traffic.
    pub fn due(&self, service: &ServiceName) -> Option<DueTime> {
        self.due.get(service).copied()
    }

    /// Returns the notes about a service, for gossip.
    pub fn service_targets(&self, service: &ServiceName) -> Option<&ServiceTargets> {
        self.services.get(service)
    }

    /// Adds a peer's notes about a service and tells whether any is new.
    pub fn merge(&mut self, service: &ServiceName, other: &ServiceTargets) -> bool {
        self.services.entry(service.clone()).or_default().merge(other)
    }

    /// Returns the services with notes.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }
}
