//! What a node reports on moves: to operators, to the log and to the platform's store.

use crate::{
    config::model::DueTime,
    ids::ServiceName,
    table::{ServiceTable, Table},
    time::WallMillis,
};

use super::{
    active_move::phase_of,
    monitor::MoveMonitor,
    state::{MoveKey, Permille},
    status::{CallCounts, ENDING_FORMAT, MoveEnding, MovePhase, MoveReport, MoveStatus},
    tracker::MoveTracker,
};

impl MoveTracker {
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

    fn requested_deadline(&self, service: &ServiceName) -> Option<WallMillis> {
        match self.targets.due(service)? {
            DueTime::By(at) => Some(at),
            // The start of the move is known only to nodes of the service.
            DueTime::Within(_) => None,
        }
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
