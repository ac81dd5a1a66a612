//! The targets, states and evidence of moves that one node has recorded.
//!
//! Targets and states are replicated to every node, because every node chooses
//! versions. Reports of evidence are sent only to the evaluators of the service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    config::model::{Configuration, DueTime},
    ids::{BackendVersion, ConfigVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::{entry::Stamp, quorum::Standing},
    table::{ServiceTable, Table},
    time::{Tick, WallMillis},
};

use super::{
    active_move::{instances_of, slots_of},
    capacity::Capacity,
    evidence::{Evidence, Observation, Report},
    gossip::{MoveGossip, MoveStateUpdate, ServiceMoves},
    monitor::{MonitorInput, MoveMonitor},
    orders::{MoveOrder, OrderOutcome},
    short,
    split::VersionSplit,
    state::{MoveKey, MoveState, Permille},
    status::{MoveEnding, MoveStatus},
    targets::Targets,
};

/// Number of changes to the targets and states of a [`MoveTracker`], which selects
/// what [`MoveTracker::delta_since`] returns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrackerRevision(pub u64);

/// The targets, states and evidence of moves that one node has recorded.
#[derive(Debug, Default)]
pub struct MoveTracker {
    pub(super) targets: Targets,
    pub(super) states: BTreeMap<MoveKey, MoveState>,
    revisions: BTreeMap<ServiceName, TrackerRevision>,
    revision: TrackerRevision,
    evidence: Evidence,
    pub(super) own: Option<Report>,
    pub(super) monitors: BTreeMap<MoveKey, MoveMonitor>,
    /// When each move was first seen, according to the platform's store.
    pub(super) since: BTreeMap<MoveKey, WallMillis>,
    /// The version that carries the traffic of each service without a target.
    pub(super) incumbents: BTreeMap<ServiceName, BackendVersion>,
    /// Statuses that were read from the platform's store.
    pub(super) stored: BTreeMap<ServiceName, MoveStatus>,
}

impl MoveTracker {
    /// Records the targets of an applied configuration, so that services whose
    /// targets changed are gossiped.
    pub fn apply_configuration(&mut self, version: ConfigVersion, configuration: &Configuration) {
        let before: Vec<_> =
            configuration.services.keys().map(|s| self.targets.history(s)).collect();
        self.targets.apply_configuration(version, configuration);
        for (service, before) in configuration.services.keys().zip(before) {
            if self.targets.history(service) != before {
                self.record_start(service, before.is_empty());
                self.mark_changed(service);
            }
        }
    }

    /// Records an order that was read from the platform's store.
    pub fn apply_order(&mut self, order: &MoveOrder, may_be_repeated: bool) -> OrderOutcome {
        let is_first = self.targets.current(&order.service).is_none();
        let outcome = self.targets.apply_order(order, may_be_repeated);
        if matches!(outcome, OrderOutcome::New(_)) {
            self.record_start(&order.service, is_first);
            self.mark_changed(&order.service);
        }
        outcome
    }

    /// Sets the backend server whose calls this node counts.
    ///
    /// The counts are reset when its service or version differs from before.
    pub fn set_local_backend(
        &mut self,
        instance: &InstanceName,
        incarnation: u64,
        zone: &ZoneName,
        service: &ServiceName,
        version: &BackendVersion,
    ) {
        let is_same = |own: &Report| own.service == *service && own.version == *version;
        if self.own.as_ref().is_some_and(is_same) {
            return;
        }
        let sequence = self.own.as_ref().map_or(0, |own| own.stamp.sequence + 1);
        self.own = Some(Report {
            instance: instance.clone(),
            stamp: Stamp { incarnation, sequence },
            zone: zone.clone(),
            service: service.clone(),
            version: version.clone(),
            crashes: 0,
            routes: BTreeMap::new(),
        });
    }

    /// Counts one call that the local backend server ran.
    ///
    /// Calls of another version than the one set last are ignored.
    pub fn record(&mut self, route: &RouteName, version: &BackendVersion, seen: Observation) {
        if let Some(own) = self.own.as_mut().filter(|own| own.version == *version) {
            own.record(route, seen);
        }
    }

    /// Counts a crash of the local backend server: an end that it did not announce.
    pub fn record_crash(&mut self) {
        if let Some(own) = &mut self.own {
            own.record_crash();
        }
    }

    /// Returns this node's own report of evidence, once a backend server is set.
    pub fn own_report(&self) -> Option<&Report> {
        self.own.as_ref()
    }

    /// Returns the newest reports about the service of this node's backend server, its own
    /// one included.
    pub fn known_reports(&self) -> Vec<&Report> {
        let Some(own) = &self.own else { return Vec::new() };
        let of_others = self.evidence.reports();
        let of_others =
            of_others.filter(|r| r.instance != own.instance && r.service == own.service);
        of_others.chain([own]).collect()
    }

    /// Returns the current revision.
    pub fn revision(&self) -> TrackerRevision {
        self.revision
    }

    /// Returns the targets and states that changed after `revision`.
    ///
    /// The delta since the default revision contains all of them.
    pub fn delta_since(&self, revision: TrackerRevision) -> MoveGossip {
        let changed = self.revisions.iter().filter(|(_, at)| **at > revision);
        let services = changed.filter_map(|(service, _)| self.service_moves(service)).collect();
        MoveGossip { services, reports: Vec::new() }
    }

    /// Merges the updates of another node and returns whether a target or a state
    /// changed.
    pub fn merge(&mut self, gossip: MoveGossip) -> bool {
        let mut is_changed = false;
        for moves in gossip.services {
            is_changed |= self.merge_service(moves);
        }
        for report in gossip.reports {
            self.evidence.merge(report);
        }
        is_changed
    }

    /// Merges the end of a move from the log and returns whether its state changed.
    pub fn merge_ending(&mut self, ending: &MoveEnding) -> bool {
        let key = MoveKey { service: ending.service.clone(), asked: ending.asked };
        self.merge_state(key, &ending.state)
    }

    /// Returns how the calls of a service are split between versions, or none when
    /// no version may take them.
    pub fn split(&self, table: &ServiceTable, service: &ServiceName) -> Option<VersionSplit> {
        let active = self.active_move(table, service)?;
        let new_slots = slots_of(table, &active.target.version);
        let has_new = new_slots > 0 && active.state.bad.is_none();
        let Some(old) = active.old else {
            return has_new.then(|| VersionSplit::single(active.target.version));
        };
        if !has_new {
            return Some(VersionSplit::single(old));
        }
        let old_slots = slots_of(table, &old);
        if old_slots == 0 {
            // All its instances are in evacuated zones. The move goes on once they are back.
            return Some(VersionSplit::single(active.target.version));
        }
        let max_share = Capacity { new_slots, old_slots }.max_share();
        let share = active.state.effective_share().min(max_share);
        Some(VersionSplit::between(old, active.target.version, share, active.target.asked.0))
    }

    /// Evaluates the move of the local backend server's service and returns whether
    /// its state changed.
    ///
    /// Outside the majority, the node may be cut off from the others and doesn't complete moves.
    pub fn evaluate(
        &mut self,
        table: &Table,
        tick: Tick,
        wall: WallMillis,
        standing: Standing,
    ) -> bool {
        let Some(own) = self.own.clone() else { return false };
        let service = own.service.clone();
        self.evidence.merge(own);
        let Some(service_table) = table.services.get(&service) else { return false };
        let Some(active) = self.active_move(service_table, &service) else { return false };
        self.discard_departed_evidence(table, &service);
        let key = MoveKey { service: service.clone(), asked: active.target.asked };
        let keys = self.keys_of(&service, &active.target);
        // The move keeps its monitor when it becomes known under an earlier id.
        let mut monitors = std::mem::take(&mut self.monitors).into_iter();
        let monitor = monitors.find(|(known, _)| keys.contains(known));
        let input = MonitorInput {
            tick,
            wall,
            due: self.targets.due(&service),
            since: self.since.range(keys.clone()).map(|(_, since)| *since).min(),
            unproven_share: Permille::from_share(table.configuration.limits.unproven_share),
            old: active.old.as_ref(),
            baseline: active.baseline,
            may_old_be_cut_off: self.may_other_be_cut_off(service_table, &service, &active),
            standing,
            new: &active.target.version,
            capacity: Capacity {
                new_slots: slots_of(service_table, &active.target.version),
                old_slots: active.old.as_ref().map_or(0, |old| slots_of(service_table, old)),
            },
            new_instances: instances_of(service_table, &active.target.version),
            longest_request: longest_request(table, &service),
            evidence: &self.evidence,
        };
        let routes = table.configuration.routes.iter().filter(|r| r.routes_to(&service)).count();
        let mut monitor = monitor.map_or_else(
            || MoveMonitor::new(routes, &input, &active.state),
            |(_, monitor)| monitor,
        );
        let desired = monitor.evaluate(&input, &active.state);
        self.monitors.insert(key.clone(), monitor);
        self.merge_state(key, &desired)
    }

    /// Returns whether this node's evidence is worth sending to other nodes.
    ///
    /// It is while the old version has live instances to compare with and to roll
    /// back to, and the new version hasn't been rolled back.
    pub fn should_send_evidence(&self, table: &Table) -> bool {
        let Some(own) = &self.own else { return false };
        let Some(service) = table.services.get(&own.service) else { return false };
        self.active_move(service, &own.service)
            .is_some_and(|active| active.old.is_some() && active.state.bad.is_none())
    }

    /// Returns the number of instances that the calls of a service's new version are
    /// concentrated on, or none when all instances take calls.
    ///
    /// Only short moves concentrate calls, so that the load of an instance comes
    /// close to that at the full share.
    pub fn concentration(&self, table: &ServiceTable, service: &ServiceName) -> Option<usize> {
        let active = self.active_move(table, service)?;
        let is_short =
            matches!(self.targets.due(service), Some(DueTime::Within(s)) if s <= short::MAX_SPAN);
        let share = active.state.effective_share();
        let instances = instances_of(table, &active.target.version) as usize;
        let is_rising = is_short && !active.state.done && active.old.is_some();
        is_rising.then(|| short::concentrated_instances(share, instances))
    }

    /// Returns whether every version of a service takes calls, because no
    /// configuration named one.
    pub fn accepts_any_version(&self, service: &ServiceName) -> bool {
        self.targets.current(service).is_none()
    }

    pub(super) fn mark_changed(&mut self, service: &ServiceName) {
        self.revision.0 += 1;
        self.revisions.insert(service.clone(), self.revision);
    }

    fn service_moves(&self, service: &ServiceName) -> Option<ServiceMoves> {
        let targets = self.targets.service_targets(service)?.clone();
        let first = MoveKey { service: service.clone(), asked: ConfigVersion(0) };
        let of_service = self.states.range(first..).take_while(|(key, _)| key.service == *service);
        let states = of_service
            .map(|(key, state)| MoveStateUpdate { asked: key.asked, state: state.clone() })
            .collect();
        Some(ServiceMoves { service: service.clone(), targets, states })
    }

    fn merge_service(&mut self, moves: ServiceMoves) -> bool {
        let is_first = self.targets.current(&moves.service).is_none();
        let mut is_changed = self.targets.merge(&moves.service, &moves.targets);
        if is_changed {
            self.record_start(&moves.service, is_first);
            self.mark_changed(&moves.service);
        }
        for known in moves.states {
            let key = MoveKey { service: moves.service.clone(), asked: known.asked };
            is_changed |= self.merge_state(key, &known.state);
        }
        is_changed
    }

    pub(super) fn merge_state(&mut self, key: MoveKey, state: &MoveState) -> bool {
        let service = key.service.clone();
        let is_changed = self.states.entry(key).or_default().merge(state);
        if is_changed {
            self.mark_changed(&service);
        }
        is_changed
    }

    fn discard_departed_evidence(&mut self, table: &Table, service: &ServiceName) {
        let Some(table) = table.services.get(service) else { return };
        let live: BTreeSet<&InstanceName> =
            table.all_endpoints().map(|endpoint| &endpoint.instance).collect();
        let own = self.own.as_ref().map(|own| &own.instance);
        self.evidence.retain(|instance| live.contains(instance) || Some(instance) == own);
    }
}

/// Returns the longest timeout of the routes that lead to a service.
fn longest_request(table: &Table, service: &ServiceName) -> Duration {
    let routes = table.configuration.routes.iter().filter(|route| route.routes_to(service));
    routes.map(|route| route.timeout).max().unwrap_or_default()
}
