//! Overlay by availability zones, along which changes spread to every node.
//!
//! Within a zone a change follows rings, so that it reaches all nodes of the zone in few
//! steps. Between zones only relays forward it: the nodes of the first ranks of each zone
//! send changes of their own zone's nodes to the nodes of the same rank in all other zones,
//! and compare tables with a node that newly takes that rank.
//! A change therefore crosses a zone boundary a fixed number of times, whatever the number
//! of nodes. While a relay is down and not yet known to be, the one of the next rank still
//! forwards; comparisons of whole tables repair what both missed. See
//! `docs/design/0016-spread.md`.

use crate::{
    ids::{InstanceName, ZoneName},
    membership::{
        entry::NodeRecord,
        members::Members,
        rings::{Contact, lasting_neighbours_on_ring},
    },
};

use super::zone_rank::{other_zones, rank, ranked};

/// Number of nodes of each availability zone that forward changes to other zones.
pub const RELAYS_PER_ZONE: usize = 2;

/// Number of rings within an availability zone, and so the largest number of successors
/// and of predecessors to which a node forwards.
const ZONE_RINGS: u64 = 2;

/// A change of a node's entry, as far as it decides where the change is forwarded.
#[derive(Debug, Clone, Copy)]
pub struct SpreadChange<'a> {
    /// Availability zone of the node that the change is about.
    pub zone: &'a ZoneName,
    /// Whether the forwarding node itself has begun to suspect the node. The relays of the
    /// suspected node's zone then learn of it, to forward it and to let the node refute it.
    pub is_own_suspicion: bool,
}

/// Nodes to which one node forwards changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpreadTargets {
    /// Neighbours in the own availability zone.
    pub own_zone: Vec<Contact>,
    /// Relays of other availability zones; empty unless this node is a relay or leaves.
    pub other_zones: Vec<Contact>,
}

impl SpreadTargets {
    /// Computes the targets of a node of availability zone `zone` among the active members.
    pub fn of(instance: &InstanceName, zone: &ZoneName, members: &Members) -> Self {
        let others = || {
            let is_other = |r: &&NodeRecord| r.zone == *zone && r.instance != *instance;
            members.active().filter(is_other)
        };
        let mut own_zone = Vec::new();
        for ring in 0..ZONE_RINGS {
            for (successor, predecessor) in lasting_neighbours_on_ring(ring, instance, others) {
                own_zone.extend(successor.into_iter().chain(predecessor).map(Contact::of));
            }
        }
        own_zone.sort();
        own_zone.dedup();
        Self { own_zone, other_zones: other_zone_relays(instance, zone, members) }
    }

    /// Returns the nodes to which a change is forwarded by this node, which is in
    /// availability zone `own`.
    pub fn for_change(
        &self,
        change: &SpreadChange<'_>,
        own: &ZoneName,
        members: &Members,
    ) -> Vec<Contact> {
        let mut targets = self.own_zone.clone();
        if change.zone == own {
            targets.extend_from_slice(&self.other_zones);
        } else if change.is_own_suspicion {
            let relays = ranked(members, change.zone).into_iter().take(RELAYS_PER_ZONE);
            targets.extend(relays.map(Contact::of));
        }
        targets
    }

    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &Contact> {
        self.own_zone.iter().chain(&self.other_zones)
    }
}

fn other_zone_relays(instance: &InstanceName, zone: &ZoneName, members: &Members) -> Vec<Contact> {
    // A node that leaves has no rank any more, but it may be the last one of its zone, whose
    // leaving no other node can forward.
    let is_leaving = members.get(instance).is_some_and(|entry| entry.record.leaving);
    let own_rank = rank(members, zone, instance).or(is_leaving.then_some(0));
    let Some(own_rank) = own_rank.filter(|own_rank| *own_rank < RELAYS_PER_ZONE) else {
        return Vec::new();
    };
    // A zone with fewer nodes has no node of the same rank; its last one is used then.
    let relay_of = |zone| {
        let records = ranked(members, zone);
        records.get(own_rank).or(records.last()).map(|record| Contact::of(record))
    };
    other_zones(members, zone).into_iter().filter_map(relay_of).collect()
}
