//! The roles of a node: log reader, writer of presence records and writer of
//! checkpoints.
//!
//! A role follows from the rank of the node in its availability zone.

use savorykeel_policy::{
    distribution::zone_rank::{PRESENCE_WRITERS_PER_ZONE, READERS_PER_ZONE, rank},
    ids::ZoneName,
    membership::{entry::NodeRecord, members::Members},
};

use super::{context::ControlContext, state::Identity};

/// Returns whether the node reads the log for its availability zone.
pub(super) fn reads_log(members: &Members, identity: &Identity) -> bool {
    rank_of(members, identity).is_some_and(|rank| rank < READERS_PER_ZONE)
}

/// Returns whether another node reads the log for availability zone `zone`.
pub(super) fn is_log_reader(members: &Members, zone: &ZoneName, record: &NodeRecord) -> bool {
    rank(members, zone, &record.instance).is_some_and(|rank| rank < READERS_PER_ZONE)
}

/// Returns whether the node appends presence records for its availability zone to
/// the log.
pub(super) fn writes_presence(members: &Members, identity: &Identity) -> bool {
    rank_of(members, identity).is_some_and(|rank| rank < PRESENCE_WRITERS_PER_ZONE)
}

/// Returns whether the node writes checkpoints; one node in each availability zone
/// does.
pub(super) fn writes_checkpoints(members: &Members, identity: &Identity) -> bool {
    rank_of(members, identity) == Some(0)
}

/// Returns the rank of the node in its availability zone, from zero.
pub(super) fn rank_of(members: &Members, identity: &Identity) -> Option<usize> {
    rank(members, &identity.zone, &identity.instance)
}

impl<L, P> ControlContext<L, P> {
    /// Returns whether this node reads the log for its availability zone.
    pub(crate) fn reads_log(&self) -> bool {
        self.state.with_members(|members| reads_log(members, &self.state.identity))
    }
}
