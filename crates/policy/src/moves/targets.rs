//! The history of target versions of each service.
//!
//! Every node must start a move from the same version, including nodes that have
//! just started. A node records the target of each configuration that it applies, or of each
//! order where a platform stores orders apart, and merges the records of its peers, so that it doesn't need to have read every
//! record of the log.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    config::model::{Configuration, DueTime},
    ids::{BackendVersion, ConfigVersion, ServiceName},
};

use super::orders::{MoveOrder, OrderOutcome};

/// Version of the first configuration that is ever accepted.
pub(super) const FIRST_VERSION: ConfigVersion = ConfigVersion(1);

/// Largest number of requests kept for each service; older ones are discarded.
pub const MAX_TARGETS: usize = 8;

/// Id of the version that carried the traffic before the first request. Requests have higher ids.
const INCUMBENT: ConfigVersion = ConfigVersion(0);

/// A version that a configuration requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Earliest recorded version of the configurations that requested it in a row.
    pub asked: ConfigVersion,
    /// Requested version of the backend server.
    pub version: BackendVersion,
    /// Whether it carried all traffic before the first request.
    pub is_incumbent: bool,
}

/// A version as a configuration or an order requested it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Requested {
    version: BackendVersion,
    /// Time within which an order wants the move to complete; none for a version that a
    /// configuration requested.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    within: Option<Duration>,
}

impl From<&MoveOrder> for Requested {
    fn from(order: &MoveOrder) -> Self {
        Self { version: order.version.clone(), within: Some(order.within) }
    }
}

impl Requested {
    /// Returns a version of which it isn't known how long its move may take: one that carried
    /// the traffic before, or whose order was replaced.
    fn earlier(version: &BackendVersion) -> Self {
        Self { version: version.clone(), within: Some(Duration::ZERO) }
    }
}

/// The target versions recorded for one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTargets {
    asked: BTreeMap<ConfigVersion, Requested>,
}

impl ServiceTargets {
    /// Records a target unless the previous configuration has the same one.
    fn record(&mut self, asked: ConfigVersion, version: &BackendVersion) {
        let before = self.asked.range(..=asked).next_back();
        if before.is_some_and(|(_, recorded)| recorded.version == *version) {
            return;
        }
        self.asked.insert(asked, Requested { version: version.clone(), within: None });
        self.discard_oldest();
    }

    /// Records an order, unless it is known; see [`OrderOutcome`].
    ///
    /// A new order gets an id above all known ones. Nodes that read the same orders in a row
    /// give them the same ids; ids that differ are merged as one request, see
    /// [`ServiceTargets::history`].
    fn record_order(&mut self, order: &MoveOrder, may_be_repeated: bool) -> OrderOutcome {
        let requested = Requested::from(order);
        let newest = self.asked.last_key_value();
        let is_in_force = newest.is_some_and(|(_, newest)| *newest == requested);
        if is_in_force || self.asked.get(&order.first_id()) == Some(&requested) {
            return OrderOutcome::Known;
        }
        if may_be_repeated && self.asked.values().any(|known| *known == requested) {
            return OrderOutcome::Held;
        }
        let above_known = newest.map_or(ConfigVersion(0), |(id, _)| ConfigVersion(id.0 + 1));
        let id = order.first_id().max(above_known);
        self.asked.insert(id, requested);
        self.discard_oldest();
        OrderOutcome::New(id)
    }

    /// Merges the targets that a peer recorded and returns whether anything changed.
    ///
    /// Of two requests with the same id the greater one wins, so that all nodes keep the
    /// same.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        for (asked, requested) in &other.asked {
            let recorded = self.asked.entry(*asked).or_insert_with(|| requested.clone());
            if requested > recorded {
                *recorded = requested.clone();
            }
        }
        self.discard_oldest();
        *self != before
    }

    /// Records the version that carried the traffic before the first request, unless one is known
    /// or the first configuration made the request, before which nothing carried traffic.
    fn record_incumbent(&mut self, version: &BackendVersion) {
        let Some((first, requested)) = self.asked.first_key_value() else { return };
        let is_first_configuration = *first == FIRST_VERSION && requested.within.is_none();
        if *first != INCUMBENT && !is_first_configuration {
            self.asked.insert(INCUMBENT, Requested::earlier(version));
        }
    }

    /// Records the target of a stored status, if it is from before all known ones.
    fn record_earlier(&mut self, asked: ConfigVersion, version: &BackendVersion) -> bool {
        let first = self.asked.keys().find(|id| **id > INCUMBENT);
        let is_earlier = first.is_some_and(|first| (INCUMBENT..*first).contains(&asked));
        if is_earlier && asked > INCUMBENT {
            self.asked.insert(asked, Requested::earlier(version));
            self.discard_oldest();
        }
        is_earlier
    }

    fn discard_oldest(&mut self) {
        let requests = self.asked.keys().filter(|id| **id > INCUMBENT).copied();
        let requests: Vec<ConfigVersion> = requests.collect();
        for oldest in &requests[..requests.len().saturating_sub(MAX_TARGETS)] {
            self.asked.remove(oldest);
        }
    }

    /// Returns the targets in order of their configurations or orders.
    ///
    /// Consecutive ones with the same target give one entry, under the earliest of them.
    pub fn history(&self) -> Vec<Target> {
        self.history_until(ConfigVersion(u64::MAX))
    }

    /// Returns the history without the targets of configurations after `applied`. Orders
    /// aren't part of a configuration, so they are never left out.
    fn history_until(&self, applied: ConfigVersion) -> Vec<Target> {
        let mut history: Vec<Target> = Vec::new();
        for (asked, Requested { version, within }) in &self.asked {
            if *asked > applied && within.is_none() {
                continue;
            }
            match history.last_mut() {
                // The first request is for the version that carried the traffic already.
                Some(last) if last.version == *version && last.asked == INCUMBENT => {
                    last.asked = *asked;
                }
                Some(last) if last.version == *version => {}
                _ => history.push(Target {
                    asked: *asked,
                    version: version.clone(),
                    is_incumbent: *asked == INCUMBENT,
                }),
            }
        }
        history
    }

    /// Returns when the newest order wants its move to be complete, if there is an order.
    fn due(&self) -> Option<DueTime> {
        let (_, newest) = self.asked.last_key_value()?;
        newest.within.map(DueTime::Within)
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

    /// Records an order that was read from the platform's store.
    pub fn apply_order(&mut self, order: &MoveOrder, may_be_repeated: bool) -> OrderOutcome {
        let targets = self.services.entry(order.service.clone()).or_default();
        targets.record_order(order, may_be_repeated)
    }

    /// Records the version that carried a service's traffic before the first request.
    pub fn record_incumbent(&mut self, service: &ServiceName, version: &BackendVersion) {
        if let Some(targets) = self.services.get_mut(service) {
            targets.record_incumbent(version);
        }
    }

    /// Records the target of a stored status and the version that carried the traffic before it,
    /// if they are from before all known requests; returns whether they are.
    pub fn record_earlier(
        &mut self,
        service: &ServiceName,
        asked: ConfigVersion,
        version: &BackendVersion,
        incumbent: Option<&BackendVersion>,
    ) -> bool {
        let Some(targets) = self.services.get_mut(service) else { return false };
        let is_earlier = targets.record_earlier(asked, version);
        if let Some(incumbent) = incumbent.filter(|_| is_earlier) {
            targets.record_incumbent(incumbent);
        }
        is_earlier
    }

    /// Returns the targets of a service in order; the last is the current one.
    ///
    /// Targets that a peer recorded from a newer configuration are omitted until
    /// this node has applied that configuration.
    pub fn history(&self, service: &ServiceName) -> Vec<Target> {
        let targets = self.services.get(service);
        targets.map_or(Vec::new(), |targets| targets.history_until(self.applied))
    }

    /// Returns the current target of a service.
    pub fn current(&self, service: &ServiceName) -> Option<Target> {
        self.history(service).pop()
    }

    /// Returns when the current target of a service should carry all traffic.
    pub fn due(&self, service: &ServiceName) -> Option<DueTime> {
        let ordered = self.services.get(service).and_then(ServiceTargets::due);
        ordered.or_else(|| self.due.get(service).copied())
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
