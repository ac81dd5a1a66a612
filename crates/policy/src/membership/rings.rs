//! Overlay of rings, which decides which nodes a node probes and to which nodes it
//! sends updates.
//!
//! Each ring orders active nodes by a hash of their names with the ring's own seed. A node
//! probes its successors and sends updates to its successors and predecessors. The union of a
//! few random rings connects all nodes in few steps, whatever their number, while each node
//! keeps only a few connections open, which stay the same; see
//! `docs/design/0003-membership.md`.
//!
//! One ring has all nodes. The others have the nodes of one availability zone each, because
//! probes would otherwise be most of the traffic between zones; small zones share them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{InstanceName, ZoneName};

use super::{
    entry::{Liveness, NodeRecord},
    members::Members,
};

/// Number of rings of a node, and so the largest number of nodes that probe each node.
const RING_COUNT: u64 = 4;

/// Seed of the ring that has all nodes. It connects the availability zones, and most of the
/// watchers on it survive the loss of a zone.
const FLEET_RING: u64 = 0;

/// Number of known nodes from which an availability zone has rings of its own. The nodes of
/// smaller zones share their rings, so that each of them has several neighbours.
const MIN_RING_NODES: usize = 8;

/// A node and the address at which it is reached.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Contact {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address at which other nodes reach the node.
    pub addr: SocketAddr,
}

impl Contact {
    /// Returns the contact of a node.
    pub fn of(record: &NodeRecord) -> Self {
        Self { instance: record.instance.clone(), addr: record.peer_addr }
    }
}

/// The neighbours of one node on all rings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Nodes that this one probes, each listed once.
    pub watched: Vec<Contact>,
    /// Nodes that probe this one, each listed once.
    pub watchers: Vec<Contact>,
    /// Those of both that are next to this node on the ring of all nodes; most of them are in
    /// other availability zones.
    pub on_fleet_ring: Vec<Contact>,
}

impl Neighbours {
    /// Computes the neighbours of a node among the active members.
    pub fn of(instance: &InstanceName, members: &Members) -> Self {
        let mut neighbours = Self::default();
        let others = || members.active().filter(|record| record.instance != *instance);
        neighbours.add_ring(FLEET_RING, instance, others);
        neighbours.on_fleet_ring = neighbours.all();
        let Some(own) = members.get(instance) else { return neighbours };
        let large_zones = large_zones(members);
        let own_zone = &own.record.zone;
        let shares_rings = |record: &&NodeRecord| match large_zones.contains(own_zone) {
            true => record.zone == *own_zone,
            false => !large_zones.contains(&record.zone),
        };
        for ring in FLEET_RING + 1..RING_COUNT {
            neighbours.add_ring(ring, instance, || others().filter(shares_rings));
        }
        neighbours
    }

    fn add_ring<'a, I>(&mut self, ring: u64, instance: &InstanceName, others: impl Fn() -> I)
    where
        I: Iterator<Item = &'a NodeRecord>,
    {
        for (successor, predecessor) in lasting_neighbours_on_ring(ring, instance, others) {
            add(&mut self.watched, successor);
            add(&mut self.watchers, predecessor);
        }
    }

    /// Returns every neighbour once, in order of instance names.
    pub fn all(&self) -> Vec<Contact> {
        let mut all: Vec<Contact> = self.watched.iter().chain(&self.watchers).cloned().collect();
        all.sort();
        all.dedup();
        all
    }
}

/// Returns the availability zones with at least [`MIN_RING_NODES`] known nodes.
///
/// Unreachable nodes count, so that the rings stay the same while many nodes are restarted.
fn large_zones(members: &Members) -> BTreeSet<&ZoneName> {
    let mut sizes: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    for (record, liveness) in members.records() {
        *sizes.entry(&record.zone).or_default() += usize::from(liveness != Liveness::Gone);
    }
    let is_large = |(_, size): &(&ZoneName, usize)| *size >= MIN_RING_NODES;
    sizes.into_iter().filter(is_large).map(|(zone, _)| zone).collect()
}

/// Successor and predecessor of a node on a ring.
type RingNeighbours<'a> = (Option<&'a NodeRecord>, Option<&'a NodeRecord>);

/// Returns the neighbours of a node on a ring of the nodes that `others` returns, which must
/// not contain the node itself, and those on the ring without the nodes that leave.
///
/// Many nodes may leave together, at the end of a move for instance. Once they have stopped,
/// the second pair still connects the others.
pub(crate) fn lasting_neighbours_on_ring<'a, I>(
    ring: u64,
    instance: &InstanceName,
    others: impl Fn() -> I,
) -> impl Iterator<Item = RingNeighbours<'a>>
where
    I: Iterator<Item = &'a NodeRecord>,
{
    let all = neighbours_on_ring(ring, instance, others());
    let leaves = |record: Option<&NodeRecord>| record.is_some_and(|record| record.leaving);
    let staying = (leaves(all.0) || leaves(all.1))
        .then(|| neighbours_on_ring(ring, instance, others().filter(|record| !record.leaving)));
    std::iter::once(all).chain(staying)
}

fn neighbours_on_ring<'a>(
    ring: u64,
    instance: &InstanceName,
    others: impl Iterator<Item = &'a NodeRecord>,
) -> RingNeighbours<'a> {
    let own = ring_position(ring, instance);
    let positions: Vec<(RingPosition<'a>, &NodeRecord)> =
        others.map(|record| (ring_position(ring, &record.instance), record)).collect();
    let of_positions = || positions.iter().copied();
    let after = of_positions().filter(|(at, _)| *at > own).min_by_key(|(at, _)| *at);
    let before = of_positions().filter(|(at, _)| *at < own).max_by_key(|(at, _)| *at);
    let successor = after.or_else(|| of_positions().min_by_key(|(at, _)| *at));
    let predecessor = before.or_else(|| of_positions().max_by_key(|(at, _)| *at));
    (successor.map(|(_, record)| record), predecessor.map(|(_, record)| record))
}

type RingPosition<'a> = (u64, &'a str);

fn ring_position(ring: u64, instance: &InstanceName) -> RingPosition<'_> {
    (xxh3_64_with_seed(instance.as_str().as_bytes(), ring + 1), instance.as_str())
}

fn add(contacts: &mut Vec<Contact>, found: Option<&NodeRecord>) {
    let Some(contact) = found.map(Contact::of) else { return };
    if !contacts.contains(&contact) {
        contacts.push(contact);
    }
}
