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
    membership::entry::Stamp,
    table::{ServiceTable, Table},
    time::{Tick, WallMillis},
};

use super::{
    active_move::{instances_of, phase_of, slots_of},
    capacity::Capacity,
    evidence::{Evidence, Observation, Report},
    gossip::{MoveGossip, MoveStateUpdate, ServiceMoves},
    monitor::{MonitorInput, MoveMonitor},
    orders::{MoveOrder, OrderOutcome},
    short,
    split::VersionSplit,
    state::{BadKind, BadReason, MoveKey, MoveState, Permille},
    status::{CallCounts, ENDING_FORMAT, MoveEnding, MovePhase, MoveReport, MoveStatus},
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
    own: Option<Report>,
    monitors: BTreeMap<MoveKey, MoveMonitor>,
    /// When each move was first seen, according to the platform's store.
    since: BTreeMap<MoveKey, WallMillis>,
    /// The version that carries the traffic of each service without a target.
    incumbents: BTreeMap<ServiceName, BackendVersion>,
    /// Statuses that were read from the platform's store.
    stored: BTreeMap<ServiceName, MoveStatus>,
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

    /// Observes which version carries the traffic of each service without a target, so that it is
    /// known when the first one is requested.
    ///
    /// It is the only version that runs, and stays so while another one is started beside it. A
    /// node that may be cut off from the others can't tell.
    pub fn observe_incumbents(&mut self, table: &Table, has_quorum: bool) {
        if !has_quorum {
            self.incumbents.clear();
            return;
        }
        for (service, table) in &table.services {
            if self.targets.current(service).is_some() {
                continue;
            }
            let running = table.all_endpoints().map(|endpoint| &endpoint.version);
            let versions: BTreeSet<&BackendVersion> = running.chain(&table.unreachable).collect();
            let is_running = |version: &BackendVersion| versions.contains(version);
            match (versions.first(), versions.len()) {
                (Some(only), 1) => {
                    self.incumbents.insert(service.clone(), BackendVersion::clone(only));
                }
                _ if self.incumbents.get(service).is_some_and(is_running) => {}
                _ => drop(self.incumbents.remove(service)),
            }
        }
    }

    /// Records what a move starts from, if its target is the first that this node knows of.
    fn record_start(&mut self, service: &ServiceName, is_first: bool) {
        if let Some(incumbent) = self.incumbents.get(service).filter(|_| is_first) {
            self.targets.record_incumbent(service, incumbent);
        }
        let Some(stored) = self.stored.get(service) else { return };
        let MoveStatus { asked, version, from, .. } = stored;
        if self.targets.record_earlier(service, *asked, version, from.as_ref()) {
            self.mark_changed(service);
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

    /// Merges the status of a move from the platform's store and returns whether
    /// the move's state changed.
    pub fn merge_status(&mut self, status: &MoveStatus) -> bool {
        let key = MoveKey { service: status.service.clone(), asked: status.asked };
        let since = self.since.entry(key.clone()).or_insert(status.since);
        *since = status.since.min(*since);
        self.stored.insert(status.service.clone(), status.clone());
        self.record_start(&status.service, false);
        let state = match status.phase {
            MovePhase::Running => return false,
            MovePhase::Done => {
                MoveState { share: Permille::FULL, done: true, ..MoveState::default() }
            }
            MovePhase::TakenBack => {
                // The stored status has no reason; nodes that detected the fault have it.
                let bad = BadReason { kind: BadKind::Failing, route: None };
                MoveState { bad: Some(bad), ..MoveState::default() }
            }
        };
        self.merge_state(key, &state)
    }

    /// Returns the status of the local backend server's move.
    ///
    /// Returns none while its service has no move or this node has not evaluated
    /// the move yet.
    pub fn status(&self, table: &Table) -> Option<MoveStatus> {
        let service = &self.own.as_ref()?.service;
        let active = self.active_move(table.services.get(service)?, service)?;
        let key = MoveKey { service: service.clone(), asked: active.target.asked };
        let deadline = self.monitors.get(&key)?.deadline();
        let phase = match &active.state {
            state if state.bad.is_some() => MovePhase::TakenBack,
            state if state.done => MovePhase::Done,
            _ => MovePhase::Running,
        };
        Some(MoveStatus {
            service: service.clone(),
            from: self.traffic_before(service, &active),
            version: active.target.version,
            asked: key.asked,
            phase,
            since: deadline.start,
        })
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
    /// Without the quorum, the node may be cut off from the others and decides only what the
    /// calls of both versions show.
    pub fn evaluate(
        &mut self,
        table: &Table,
        tick: Tick,
        wall: WallMillis,
        has_quorum: bool,
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
            has_quorum,
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

    /// Returns a report to operators on the current move of each service.
    pub fn reports(&self, table: &Table) -> Vec<MoveReport> {
        let reports = table.services.iter();
        reports.filter_map(|(service, t)| self.report(t, service)).collect()
    }

    /// Returns the record for the log of the end of the move of the local backend
    /// server's service.
    ///
    /// Returns none while the move has not ended, and on a node that didn't evaluate it,
    /// which lacks the counts; `at` is the time of the record.
    pub fn ending(&self, table: &Table, at: WallMillis) -> Option<MoveEnding> {
        let service = &self.own.as_ref()?.service;
        let asked = self.targets.current(service)?.asked;
        self.monitors.get(&MoveKey { service: service.clone(), asked })?;
        let report = self.report(table.services.get(service)?, service)?;
        let state = self.state(service, &self.targets.current(service)?);
        if !state.done && state.bad.is_none() {
            return None;
        }
        Some(MoveEnding {
            format: ENDING_FORMAT,
            service: service.clone(),
            asked: report.asked,
            to: report.to,
            from: report.from,
            state,
            at,
            old: report.old,
            new: report.new,
        })
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

    fn requested_deadline(&self, service: &ServiceName) -> Option<WallMillis> {
        match self.targets.due(service)? {
            DueTime::By(at) => Some(at),
            // The start of the move is known only to nodes of the service.
            DueTime::Within(_) => None,
        }
    }

    fn mark_changed(&mut self, service: &ServiceName) {
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

    fn merge_state(&mut self, key: MoveKey, state: &MoveState) -> bool {
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

    fn report(&self, table: &ServiceTable, service: &ServiceName) -> Option<MoveReport> {
        let active = self.active_move(table, service)?;
        let key = MoveKey { service: service.clone(), asked: active.target.asked };
        let monitor = self.monitors.get(&key);
        let share = self.split(table, service).map_or(Permille::NONE, |split| {
            if *split.new_version() == active.target.version {
                split.share()
            } else {
                Permille::NONE
            }
        });
        Some(MoveReport {
            service: service.clone(),
            asked: active.target.asked,
            phase: phase_of(table, &active, share),
            from: active.old,
            to: active.target.version,
            share_permille: share,
            by: monitor
                .map(|monitor| monitor.deadline().at)
                .or_else(|| self.requested_deadline(service)),
            by_note: monitor.map(|monitor| monitor.deadline().note),
            reason: active.state.bad,
            old: monitor.map_or(CallCounts::default(), MoveMonitor::old_counts),
            new: monitor.map_or(CallCounts::default(), MoveMonitor::new_counts),
            is_evidence_thin: monitor.is_some_and(MoveMonitor::is_evidence_thin),
        })
    }
}

/// Returns the longest timeout of the routes that lead to a service.
fn longest_request(table: &Table, service: &ServiceName) -> Duration {
    let routes = table.configuration.routes.iter().filter(|route| route.routes_to(service));
    routes.map(|route| route.timeout).max().unwrap_or_default()
}
