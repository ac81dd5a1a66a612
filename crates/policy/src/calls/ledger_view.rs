//! Placement of the claims of idempotency keys on the members of a service.
//!
//! Each key has [`REPLICAS`] replicas, chosen by rendezvous hashing among the
//! service's group and spread over availability zones. See `docs/design/0005-ledger.md`.

use std::{collections::HashSet, net::SocketAddr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::ids::{InstanceName, ZoneName};

/// Number of replicas of each key, if the group has as many members.
pub const REPLICAS: usize = 3;

/// Hash of service, route and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerKey(pub u128);

impl LedgerKey {
    /// Computes the key under which a request is claimed.
    ///
    /// Each part is hashed with its length, so that parts split at other places
    /// give another key.
    pub fn of(service: &str, route: &str, idempotency_key: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [service.as_bytes(), route.as_bytes(), idempotency_key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// Returns the key within one client account, so that two accounts that choose the same
    /// idempotency key don't get each other's answers.
    pub fn for_account(self, account: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(account.as_bytes());
        Self(hasher.digest128())
    }
}

/// One incarnation of one member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the instance's node, a new one after each restart.
    pub incarnation: u64,
}

/// A member of a service's group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LedgerMember {
    /// Instance and incarnation of the member.
    pub identity: Identity,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address at which other nodes reach the member's node.
    pub addr: SocketAddr,
}

/// The members of a service's group as one node sees them, ordered by identity.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerView {
    members: Vec<LedgerMember>,
}

impl LedgerView {
    /// Creates a view with at most one incarnation of each instance.
    pub fn new(mut members: Vec<LedgerMember>) -> Self {
        members.sort();
        members.dedup_by(|a, b| a.identity.instance == b.identity.instance);
        Self { members }
    }

    /// Returns the members in order of their identities.
    pub fn members(&self) -> &[LedgerMember] {
        &self.members
    }

    /// Returns whether this incarnation of the instance is in the view.
    pub fn contains(&self, identity: &Identity) -> bool {
        self.members.iter().any(|member| member.identity == *identity)
    }

    /// Returns a digest of the members' identities, by which two nodes find out
    /// whether they see the same group.
    pub fn digest(&self) -> u64 {
        digest(self.members.iter())
    }

    /// Returns the replicas of a key in order of preference.
    ///
    /// Replicas are in different availability zones as far as there are enough
    /// zones. The hash leaves out the incarnation, so that a restart moves no key.
    pub fn replicas(&self, key: LedgerKey) -> Vec<&LedgerMember> {
        let mut ranked: Vec<&LedgerMember> = self.members.iter().collect();
        ranked.sort_by_cached_key(|member| std::cmp::Reverse(score(&member.identity, key)));
        let mut zones = HashSet::new();
        let (mut chosen, rest): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|member| zones.insert(&member.zone));
        chosen.extend(rest);
        chosen.truncate(REPLICAS);
        chosen
    }

    /// Returns a digest of the identities of a key's replicas.
    pub fn replica_digest(&self, key: LedgerKey) -> u64 {
        digest(self.replicas(key).into_iter())
    }

    /// Returns the view without the members for which `is_excluded` holds.
    pub fn without(&self, is_excluded: impl Fn(&Identity) -> bool) -> Self {
        let kept = self.members.iter().filter(|member| !is_excluded(&member.identity));
        Self { members: kept.cloned().collect() }
    }

    /// Returns whether any incarnation of the instance is in the view.
    pub fn contains_instance(&self, instance: &InstanceName) -> bool {
        self.members.iter().any(|member| member.identity.instance == *instance)
    }
}

/// Returns how many of `replicas` replicas have to grant a claim.
pub fn quorum(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// Returns how many of `replicas` replicas have to reply so that no claim which
/// a quorum granted is missed.
pub fn read_quorum(replicas: usize) -> usize {
    (replicas + 1).saturating_sub(quorum(replicas))
}

fn score(identity: &Identity, key: LedgerKey) -> (u64, InstanceName) {
    let seed = (key.0 as u64) ^ ((key.0 >> 64) as u64);
    let hash = xxh3_64_with_seed(identity.instance.as_str().as_bytes(), seed);
    (hash, identity.instance.clone())
}

fn digest<'a>(members: impl Iterator<Item = &'a LedgerMember>) -> u64 {
    let mut hasher = Xxh3::new();
    for member in members {
        hasher.update(member.identity.instance.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(&member.identity.incarnation.to_le_bytes());
    }
    hasher.digest()
}
