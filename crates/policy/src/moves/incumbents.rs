//! What the first move of a service starts from: the version that carried the traffic before.
//!
//! Nodes observe it while a service has no target, and read it from the stored status of a move.
//! See `docs/design/0009-moves-agreement.md`.

use std::collections::BTreeSet;

use crate::{
    ids::{BackendVersion, ServiceName},
    membership::quorum::Standing,
    table::Table,
};

use super::{
    state::{BadKind, BadReason, MoveKey, MoveState, Permille},
    status::{MovePhase, MoveStatus},
    tracker::MoveTracker,
};

impl MoveTracker {
    /// Observes which version carries the traffic of each service without a target, so that it is
    /// known when the first one is requested.
    ///
    /// It is the only version that runs, and stays so while another one is started beside it. A
    /// node that may be cut off from the others can't tell.
    pub fn observe_incumbents(&mut self, table: &Table, standing: Standing) {
        if standing != Standing::Majority {
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
    pub(super) fn record_start(&mut self, service: &ServiceName, is_first: bool) {
        if let Some(incumbent) = self.incumbents.get(service).filter(|_| is_first) {
            self.targets.record_incumbent(service, incumbent);
        }
        let Some(stored) = self.stored.get(service) else { return };
        let MoveStatus { asked, version, from, .. } = stored;
        if self.targets.record_earlier(service, *asked, version, from.as_ref()) {
            self.mark_changed(service);
        }
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
}
