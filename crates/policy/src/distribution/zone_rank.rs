//! Selects the nodes of an availability zone that use the log on behalf of the
//! others, by a rank that every node computes for itself.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{InstanceName, ServiceName, ZoneName},
    membership::{entry::NodeRecord, members::Members},
};

/// Number of nodes in each availability zone that read the log.
///
/// Two nodes read, so that updates still arrive while the failure of one of them
/// is being detected.
pub const READERS_PER_ZONE: usize = 2;

/// Number of nodes in each availability zone that append presence records to the
/// log.
pub const PRESENCE_WRITERS_PER_ZONE: usize = 3;

/// Returns the rank of a node in its availability zone, from zero.
///
/// The rank comes from a rendezvous hash, so that a node that joins or leaves
/// changes the selection of at most one other node. A node that is not alive has
/// no rank, and the nodes after it move up.
pub fn rank(members: &Members, zone: &ZoneName, instance: &InstanceName) -> Option<usize> {
    let own_weight = weight(zone, instance);
    let mut is_present = false;
    let mut above = 0;
    for record in members.alive_in(zone) {
        is_present |= record.instance == *instance;
        above += usize::from(weight(zone, &record.instance) > own_weight);
    }
    is_present.then_some(above)
}

/// Returns the alive nodes of an availability zone that aren't leaving, in order of their
/// rank.
pub fn ranked<'a>(members: &'a Members, zone: &'a ZoneName) -> Vec<&'a NodeRecord> {
    let mut records: Vec<&NodeRecord> = members.alive_in(zone).collect();
    records.sort_by_cached_key(|record| std::cmp::Reverse(weight(zone, &record.instance)));
    records
}

/// Returns the first `n` alive nodes of a service in an availability zone, in order of their
/// rank.
pub fn ranked_of_service<'a>(
    members: &'a Members,
    zone: &'a ZoneName,
    service: &ServiceName,
    n: usize,
) -> Vec<&'a NodeRecord> {
    let mut records = ranked(members, zone);
    records.retain(|record| record.runs_service(service));
    records.truncate(n);
    records
}

/// Returns the availability zones of the active members other than `zone`, in order.
pub fn other_zones<'a>(members: &'a Members, zone: &ZoneName) -> Vec<&'a ZoneName> {
    let mut zones: Vec<&ZoneName> = members.active().map(|record| &record.zone).collect();
    zones.sort();
    zones.dedup();
    zones.retain(|other| *other != zone);
    zones
}

fn weight<'a>(zone: &ZoneName, instance: &'a InstanceName) -> (u64, &'a InstanceName) {
    let seed = xxh3_64_with_seed(zone.as_str().as_bytes(), 0);
    (xxh3_64_with_seed(instance.as_str().as_bytes(), seed), instance)
}
