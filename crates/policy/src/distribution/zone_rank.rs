//! Which nodes of an availability zone read the log for the others.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{InstanceName, ZoneName},
    membership::members::Members,
};

/// Number of nodes in each availability zone that read the log.
///
/// Two read, so that nothing waits while the loss of one is being noticed.
pub const READERS_PER_ZONE: usize = 2;

/// Number of nodes in each availability zone that make themselves known in the log.
pub const PRESENCE_WRITERS_PER_ZONE: usize = 3;

/// Returns the rank of a node in its availability zone, from zero.
///
/// The rank is taken by rendezvous hash, so that a node that comes or goes moves
/// the duty of at most one other. A node that doesn't answer has no rank, and the
/// next one takes its place.
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

fn weight<'a>(zone: &ZoneName, instance: &'a InstanceName) -> (u64, &'a InstanceName) {
    let seed = xxh3_64_with_seed(zone.as_str().as_bytes(), 0);
    (xxh3_64_with_seed(instance.as_str().as_bytes(), seed), instance)
}
