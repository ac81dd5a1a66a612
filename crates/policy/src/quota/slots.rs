//! Which node owns the quota of an account.
//!
//! Accounts are hashed to slots and slots to live nodes (rendezvous hash), so that a node that
//! comes or goes costs a pass over the slots rather than over all accounts and nodes.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    ids::{AccountName, InstanceName},
    time::Tick,
};

/// Number of slots.
const SLOTS: usize = 1_024;

/// The owner of one slot.
#[derive(Debug, Clone)]
struct Slot {
    owner: InstanceName,
    /// When the owner became it, as this node learned.
    since: Tick,
}

/// The owners of all slots, as one node sees them.
#[derive(Debug)]
pub struct Slots {
    nodes: BTreeSet<InstanceName>,
    slots: Vec<Slot>,
}

impl Slots {
    /// Creates the slots of a node that knows no other.
    pub fn new(own: InstanceName, now: Tick) -> Self {
        let slots = vec![Slot { owner: own.clone(), since: now }; SLOTS];
        Self { nodes: BTreeSet::from([own]), slots }
    }

    /// Takes over the set of live nodes. An empty set is ignored.
    pub fn update(&mut self, nodes: BTreeSet<InstanceName>, now: Tick) {
        if nodes == self.nodes || nodes.is_empty() {
            return;
        }
        let added: Vec<&InstanceName> = nodes.difference(&self.nodes).collect();
        for (i, slot) in self.slots.iter_mut().enumerate() {
            let score_in_slot = |node: &&InstanceName| score(i, node);
            let is_gone = !nodes.contains(&slot.owner);
            let best = match is_gone {
                true => nodes.iter().max_by_key(score_in_slot),
                false => added.iter().copied().chain([&slot.owner]).max_by_key(score_in_slot),
            };
            if let Some(best) = best
                && *best != slot.owner
            {
                *slot = Slot { owner: best.clone(), since: now };
            }
        }
        self.nodes = nodes;
    }

    /// Returns the owner of an account's quota and since when it is.
    pub fn owner_of(&self, account: &AccountName) -> (&InstanceName, Tick) {
        let slot = &self.slots[xxh3_64(account.as_str().as_bytes()) as usize % SLOTS];
        (&slot.owner, slot.since)
    }
}

/// Returns the rank of a node among others by a hash with the account, from zero.
pub fn rank<'a>(
    own: &InstanceName,
    account: &AccountName,
    others: impl Iterator<Item = &'a InstanceName>,
) -> usize {
    let seed = xxh3_64(account.as_str().as_bytes());
    let score =
        |node: &InstanceName| (xxh3_64_with_seed(node.as_str().as_bytes(), seed), node.clone());
    let own_score = score(own);
    others.filter(|other| **other != *own && score(other) > own_score).count()
}

fn score(slot: usize, node: &InstanceName) -> (u64, InstanceName) {
    (xxh3_64_with_seed(node.as_str().as_bytes(), slot as u64), node.clone())
}
