//! The status report in the operators' API.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use savorykeel_policy::{
    ids::{ConfigVersion, InstanceName, ServiceName},
    membership::{entry::Liveness, merge::Entry},
    moves::status::MoveReport,
};

use crate::state::NodeState;

use super::{
    api::{AppliedSpread, BackendStatus, MemberStatus, StatusReport},
    query::{self, Answer, MemberAnswer, NodeStatus, Query},
};

/// Time since the node's position was last known to be the end of the log, beyond which
/// operators are warned.
const LOG_END_MAX_AGE: Duration = Duration::from_secs(15);

/// Returns the status of the mesh as this node sees it.
pub(super) async fn report(state: &Arc<NodeState>) -> StatusReport {
    let answers = query::query_all(state, Query::Status).await;
    let statuses: BTreeMap<InstanceName, NodeStatus> =
        answers.into_iter().filter_map(node_status).collect();
    let applied: BTreeMap<InstanceName, ConfigVersion> =
        statuses.iter().map(|(name, status)| (name.clone(), status.version)).collect();
    let members = state.control.members();
    let members = members.iter().map(|entry| member_status(entry, &applied)).collect();
    StatusReport {
        instance: state.settings.instance.clone(),
        version: applied.get(&state.settings.instance).copied().unwrap_or_default(),
        applied: applied_spread(&applied),
        members,
        moves: moves(state, statuses.into_values()),
        alarms: alarms(state),
    }
}

fn node_status(member: MemberAnswer) -> Option<(InstanceName, NodeStatus)> {
    match member.answer {
        Some(Answer::Status(status)) => Some((member.instance, status)),
        _ => None,
    }
}

/// Returns the move of each service as the node with most evidence reports it.
fn moves(state: &NodeState, statuses: impl Iterator<Item = NodeStatus>) -> Vec<MoveReport> {
    let Some(table) = state.control.table() else { return Vec::new() };
    let own = state.control.moves.reports(&table).into_iter();
    let remote = statuses.filter_map(|status| status.own_move);
    let mut moves: BTreeMap<ServiceName, MoveReport> = BTreeMap::new();
    for report in own.chain(remote) {
        let best = moves.get(&report.service);
        if best.is_none_or(|best| report_rank(best) <= report_rank(&report)) {
            moves.insert(report.service.clone(), report);
        }
    }
    moves.into_values().collect()
}

/// Returns the rank of a report among those on one service: a later move ranks higher,
/// and of the same move the report with more calls in evidence.
fn report_rank(report: &MoveReport) -> (ConfigVersion, u64) {
    (report.asked, report.old.run + report.new.run)
}

fn applied_spread(applied: &BTreeMap<InstanceName, ConfigVersion>) -> AppliedSpread {
    let lowest = applied.values().min().copied().unwrap_or_default();
    let highest = applied.values().max().copied().unwrap_or_default();
    let laggards = applied.iter().filter(|(_, version)| **version < highest);
    AppliedSpread { lowest, highest, laggards: laggards.map(|(name, _)| name.clone()).collect() }
}

fn member_status(entry: &Entry, applied: &BTreeMap<InstanceName, ConfigVersion>) -> MemberStatus {
    let record = &entry.record;
    let backend = record.backend.as_ref().map(|backend| BackendStatus {
        service: backend.service.clone(),
        version: backend.version.clone(),
        draining: backend.draining,
    });
    MemberStatus {
        instance: record.instance.clone(),
        zone: record.zone.clone(),
        region: record.region.clone(),
        liveness: entry.liveness,
        leaving: record.leaving,
        applied: applied.get(&record.instance).copied(),
        backend,
    }
}

fn alarms(state: &NodeState) -> Vec<String> {
    let snapshot = state.control.snapshot();
    let mut alarms = Vec::new();
    if let Some(offset) = snapshot.stopped_at {
        alarms.push(format!(
            "the record at offset {offset} has a format that this node doesn't know: \
             no later configuration is applied until the node is updated"
        ));
    }
    if !snapshot.recovered {
        alarms.push("this node has not recovered yet and serves nothing".into());
    }
    if state.control.current_ago().is_none_or(|ago| ago > LOG_END_MAX_AGE) {
        alarms.push(
            "the end of the log is not known: the log service may be away, and what was \
             published since is not in force here"
                .into(),
        );
    }
    let unreachable = state.control.members();
    let unreachable = unreachable.iter().filter(|entry| entry.liveness == Liveness::Unreachable);
    alarms.extend(unreachable.map(|entry| format!("{} is unreachable", entry.record.instance)));
    alarms
}
