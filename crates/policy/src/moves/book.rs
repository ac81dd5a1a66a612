//! All that one node knows about moves.
//!
//! Targets and states are known to every node, because every node chooses
//! versions. Reports of evidence go to the nodes of the same service alone.

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
    capacity::Capacity,
    course::{instances_of, phase_of, slots_of},
    evidence::{Evidence, Observation, Report},
    gossip::{KnownState, MoveGossip, ServiceMoves},
    short,
    split::VersionSplit,
    state::{BadKind, BadReason, MoveKey, MoveState, Permille},
    status::{ENDING_FORMAT, MoveEnding, MovePhase, MoveReport, MoveStatus, Seen},
    targets::Targets,
    watch::{Look, Watch},
};

/// Counts the changes of a [`MoveBook`], for [`MoveBook::delta_since`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BookRevision(pub u64);

/// All that one node knows about moves.
#[derive(Debug, Default)]
pub struct MoveBook {
    pub(super) targets: Targets,
    pub(super) states: BTreeMap<MoveKey, MoveState>,
    revisions: BTreeMap<ServiceName, BookRevision>,
    revision: BookRevision,
    evidence: Evidence,
    own: Option<Report>,
    watches: BTreeMap<MoveKey, Watch>,
    /// When moves were first seen, by what a platform keeps.
    since: BTreeMap<MoveKey, WallMillis>,
}

impl MoveBook {
    /// Notes an applied configuration.
    pub fn follow(&mut self, version: ConfigVersion, configuration: &Configuration) {
        let before: Vec<_> = configuration.services.keys().map(|s| self.targets.runs(s)).collect();
        self.targets.follow(version, configuration);
        for (service, before) in configuration.services.keys().zip(before) {
            if self.targets.runs(service) != before {
                self.touch(service);
            }
        }
    }

    /// Says which backend server this node counts; the counts start anew when
    /// the version changed.
    pub fn announce(
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

    /// Counts one call that the backend server beside this node ran.
    pub fn record(&mut self, route: &RouteName, version: &BackendVersion, seen: Observation) {
        if let Some(own) = self.own.as_mut().filter(|own| own.version == *version) {
            own.record(route, seen);
        }
    }

    /// Counts an end of the backend server beside this node without leaving.
    pub fn record_crash(&mut self) {
        if let Some(own) = &mut self.own {
            own.record_crash();
        }
    }

    /// Returns this node's own report.
    pub fn own_report(&self) -> Option<&Report> {
        self.own.as_ref()
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> BookRevision {
        self.revision
    }

    /// Returns what changed after `revision`; the first delta is everything.
    pub fn delta_since(&self, revision: BookRevision) -> MoveGossip {
        let changed = self.revisions.iter().filter(|(_, at)| **at > revision);
        let services = changed.filter_map(|(service, _)| self.service_moves(service)).collect();
        MoveGossip { services, reports: Vec::new() }
    }

    /// Takes in what another node said and tells whether a target or a state
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

    /// Takes in the end of a move that the log keeps.
    pub fn merge_ending(&mut self, ending: &MoveEnding) -> bool {
        let key = MoveKey { service: ending.service.clone(), asked: ending.asked };
        self.merge_state(key, &ending.state)
    }

    /// Takes in how moves stand by what a platform keeps.
    pub fn merge_status(&mut self, status: &MoveStatus) -> bool {
        let key = MoveKey { service: status.service.clone(), asked: status.asked };
        let since = self.since.entry(key.clone()).or_insert(status.since);
        *since = status.since.min(*since);
        let state = match status.phase {
            MovePhase::Running => return false,
            MovePhase::Done => {
                MoveState { share: Permille::FULL, done: true, ..MoveState::default() }
            }
            MovePhase::TakenBack => {
                // What showed is known to the nodes that saw it.
                let bad = BadReason { kind: BadKind::Failing, route: None };
                MoveState { bad: Some(bad), ..MoveState::default() }
            }
        };
        self.merge_state(key, &state)
    }

    /// Returns how the move of the service beside this node stands; none while the
    /// service has no move or no node of it has looked yet.
    pub fn status(&self, table: &Table) -> Option<MoveStatus> {
        let service = &self.own.as_ref()?.service;
        let course = self.course(table.services.get(service)?, service)?;
        let key = MoveKey { service: service.clone(), asked: course.target.asked };
        let due = self.watches.get(&key)?.due();
        let phase = match &course.state {
            state if state.bad.is_some() => MovePhase::TakenBack,
            state if state.done => MovePhase::Done,
            _ => MovePhase::Running,
        };
        Some(MoveStatus {
            service: service.clone(),
            version: course.target.version,
            asked: key.asked,
            phase,
            since: due.start,
        })
    }

    /// Returns how the calls of a service are split now, or none when no backend
    /// server may take them.
    pub fn split(&self, table: &ServiceTable, service: &ServiceName) -> Option<VersionSplit> {
        let course = self.course(table, service)?;
        let new_slots = slots_of(table, &course.target.version);
        let has_new = new_slots > 0 && course.state.bad.is_none();
        let Some(old) = course.old else {
            return has_new.then(|| VersionSplit::whole(course.target.version));
        };
        if !has_new {
            return Some(VersionSplit::whole(old));
        }
        let ceiling = Capacity { new_slots, old_slots: slots_of(table, &old) }.ceiling();
        let share = course.state.effective_share().min(ceiling);
        Some(VersionSplit::between(old, course.target.version, share, course.target.asked.0))
    }

    /// Looks at the move of the service beside this node and returns whether its
    /// state changed.
    pub fn look(&mut self, table: &Table, tick: Tick, wall: WallMillis) -> bool {
        let Some(own) = self.own.clone() else { return false };
        let service = own.service.clone();
        self.evidence.merge(own);
        let Some(service_table) = table.services.get(&service) else { return false };
        let Some(course) = self.course(service_table, &service) else { return false };
        self.forget_gone(table, &service);
        let key = MoveKey { service: service.clone(), asked: course.target.asked };
        let look = Look {
            tick,
            wall,
            due: self.targets.due(&service),
            since: self.since.get(&key).copied(),
            unproven: Permille::from_share(table.configuration.limits.unproven_share),
            old: course.old.as_ref(),
            base: course.base,
            new: &course.target.version,
            capacity: Capacity {
                new_slots: slots_of(service_table, &course.target.version),
                old_slots: course.old.as_ref().map_or(0, |old| slots_of(service_table, old)),
            },
            new_instances: instances_of(service_table, &course.target.version),
            longest_request: longest_request(table, &service),
            evidence: &self.evidence,
        };
        self.watches.retain(|watched, _| *watched == key);
        let routes = table.configuration.routes.iter().filter(|r| r.routes_to(&service)).count();
        let watch = self
            .watches
            .entry(key.clone())
            .or_insert_with(|| Watch::new(routes, &look, &course.state));
        let wanted = watch.look(&look, &course.state);
        self.merge_state(key, &wanted)
    }

    /// Tells whether evidence is worth sending: both versions have instances, so
    /// that there is something to compare and somewhere to go back to.
    pub fn wants_evidence(&self, table: &Table) -> bool {
        let Some(own) = &self.own else { return false };
        let Some(service) = table.services.get(&own.service) else { return false };
        self.course(service, &own.service)
            .is_some_and(|course| course.old.is_some() && course.state.bad.is_none())
    }

    /// Returns the move in force of each service, for operators.
    pub fn reports(&self, table: &Table) -> Vec<MoveReport> {
        let reports = table.services.iter();
        reports.filter_map(|(service, t)| self.report(t, service)).collect()
    }

    /// Returns the end of a service's move in force, for the log, once it ended.
    pub fn ending(&self, table: &Table, at: WallMillis) -> Option<MoveEnding> {
        let service = &self.own.as_ref()?.service;
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

    /// Tells on how many instances the calls of a service's new version are
    /// concentrated; none when on all.
    pub fn concentration(&self, table: &ServiceTable, service: &ServiceName) -> Option<usize> {
        let course = self.course(table, service)?;
        let is_short =
            matches!(self.targets.due(service), Some(DueTime::Within(s)) if s <= short::LONGEST);
        let share = course.state.effective_share();
        let instances = instances_of(table, &course.target.version) as usize;
        let is_rising = is_short && !course.state.done && course.old.is_some();
        is_rising.then(|| short::instances_for(share, instances))
    }

    /// Tells whether any version of a service takes calls, because no
    /// configuration named one.
    pub fn is_open(&self, service: &ServiceName) -> bool {
        self.targets.current(service).is_none()
    }

    fn asked_by(&self, service: &ServiceName) -> Option<WallMillis> {
        match self.targets.due(service)? {
            DueTime::By(at) => Some(at),
            // Only a node of the service knows since when.
            DueTime::Within(_) => None,
        }
    }

    fn touch(&mut self, service: &ServiceName) {
        self.revision.0 += 1;
        self.revisions.insert(service.clone(), self.revision);
    }

    fn service_moves(&self, service: &ServiceName) -> Option<ServiceMoves> {
        let targets = self.targets.notes(service)?.clone();
        let first = MoveKey { service: service.clone(), asked: ConfigVersion(0) };
        let of_service = self.states.range(first..).take_while(|(key, _)| key.service == *service);
        let states = of_service
            .map(|(key, state)| KnownState { asked: key.asked, state: state.clone() })
            .collect();
        Some(ServiceMoves { service: service.clone(), targets, states })
    }

    fn merge_service(&mut self, moves: ServiceMoves) -> bool {
        let mut is_changed = self.targets.merge(&moves.service, &moves.targets);
        if is_changed {
            self.touch(&moves.service);
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
            self.touch(&service);
        }
        is_changed
    }

    fn forget_gone(&mut self, table: &Table, service: &ServiceName) {
        let Some(table) = table.services.get(service) else { return };
        let live: BTreeSet<&InstanceName> =
            table.endpoints.iter().map(|endpoint| &endpoint.instance).collect();
        let own = self.own.as_ref().map(|own| &own.instance);
        self.evidence.retain(|instance| live.contains(instance) || Some(instance) == own);
    }

    fn report(&self, table: &ServiceTable, service: &ServiceName) -> Option<MoveReport> {
        let course = self.course(table, service)?;
        let key = MoveKey { service: service.clone(), asked: course.target.asked };
        let watch = self.watches.get(&key);
        let share = self.split(table, service).map_or(Permille::NONE, |split| {
            if *split.new_version() == course.target.version {
                split.share()
            } else {
                Permille::NONE
            }
        });
        Some(MoveReport {
            service: service.clone(),
            asked: course.target.asked,
            phase: phase_of(table, &course, share),
            from: course.old,
            to: course.target.version,
            share_permille: share,
            by: watch.map(|watch| watch.due().at).or_else(|| self.asked_by(service)),
            by_note: watch.map(|watch| watch.due().note),
            reason: course.state.bad,
            old: watch.map_or(Seen::default(), Watch::seen_old),
            new: watch.map_or(Seen::default(), Watch::seen_new),
            is_evidence_thin: watch.is_some_and(Watch::is_evidence_thin),
        })
    }
}

/// Returns the longest time that a request to a service may take.
fn longest_request(table: &Table, service: &ServiceName) -> Duration {
    let routes = table.configuration.routes.iter().filter(|route| route.routes_to(service));
    routes.map(|route| route.timeout).max().unwrap_or_default()
}
