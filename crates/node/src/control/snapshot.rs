//! What a node tells operators about its control loops.

use std::sync::atomic::{AtomicU64, Ordering};

use savorykeel_policy::{
    config::fold::Position,
    ids::{ConfigVersion, InstanceName, ZoneName},
    membership::{entry::Liveness, members::Members},
};
use serde::Serialize;

use super::{roles, state::ControlState};

/// State of a node's control loops for the operators' API.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControlSnapshot {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Version in force on this node, or zero if there is none.
    pub version: ConfigVersion,
    /// Position of the fold.
    pub position: Position,
    /// Whether the node has recovered, that is, holds at least the configuration
    /// that it served before.
    pub recovered: bool,
    /// Lowest position at which the node may serve.
    pub floor: Position,
    /// Time in milliseconds since the position was confirmed to be the end of the log.
    pub current_ago_ms: Option<u64>,
    /// Offset of a record of unknown format at which the fold has stopped.
    pub stopped_at: Option<u64>,
    /// Whether this node reads the log for its availability zone.
    pub reads_log: bool,
    /// Members by liveness.
    pub members: MemberCounts,
    /// Bytes of control messages and replies sent since the start.
    pub control_bytes_sent: u64,
    /// Bytes of control messages and replies received since the start.
    pub control_bytes_received: u64,
    /// Reads of the log service since the start.
    pub log_reads: u64,
    /// Appends to the log service since the start.
    pub log_appends: u64,
    /// Failures of the log service since the start.
    pub log_failures: u64,
}

/// Numbers of members by liveness, the node itself included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct MemberCounts {
    /// Members that answer.
    pub alive: usize,
    /// Members suspected to be down because a probe wasn't answered.
    pub suspect: usize,
    /// Members whose suspicion expired without being refuted.
    pub unreachable: usize,
    /// Members that left or stayed unreachable for too long.
    pub gone: usize,
}

impl ControlState {
    /// Returns a snapshot for the operators' API.
    pub fn snapshot(&self) -> ControlSnapshot {
        let (position, stopped_at) = self.with_fold(|fold| (fold.position(), fold.stopped_at()));
        let (members, reads_log) = self.with_members(|members| {
            (count_members(members), roles::reads_log(members, &self.identity))
        });
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ControlSnapshot {
            instance: self.identity.instance.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.incarnation(),
            version: self.applied_version(),
            position,
            recovered: self.is_serving(),
            floor: self.with_recovery(|recovery| recovery.floor()),
            current_ago_ms: self.current_ago().map(|ago| ago.as_millis() as u64),
            stopped_at,
            reads_log,
            members,
            control_bytes_sent: load(&self.counters.bytes_sent),
            control_bytes_received: load(&self.counters.bytes_received),
            log_reads: load(&self.counters.log_reads),
            log_appends: load(&self.counters.log_appends),
            log_failures: load(&self.counters.log_failures),
        }
    }
}

fn count_members(members: &Members) -> MemberCounts {
    let mut counts = MemberCounts::default();
    for entry in members.entries() {
        match entry.liveness {
            Liveness::Alive => counts.alive += 1,
            Liveness::Suspect => counts.suspect += 1,
            Liveness::Unreachable => counts.unreachable += 1,
            Liveness::Gone => counts.gone += 1,
        }
    }
    counts
}
