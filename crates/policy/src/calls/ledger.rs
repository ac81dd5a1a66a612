//! Claims of idempotency keys that one replica stores.
//!
//! A claim records which attempt may run the request of a key and where that
//! attempt was sent. It is granted before the request is sent and holds the
//! answer afterwards. New claims never evict older ones, because an evicted key
//! could run twice: a replica that is full grants no further key until claims
//! expire. See `docs/design/0005-ledger.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ids::RequestId, time::Tick};

use super::{ledger_view::LedgerKey, quarantine::Fingerprint, settle::NodeStamp};

/// Where an attempt was sent, so that any node can settle it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptTarget {
    /// Address of the node whose local backend server the attempt was sent to.
    pub addr: SocketAddr,
    /// Incarnation and time of that node, as the attempt carried them.
    pub stamp: NodeStamp,
    /// Id of the attempt.
    pub request: RequestId,
}

/// The right of one attempt to run the request of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Rank among the claims of the key; a claim with a higher number replaces an
    /// unanswered one with a lower number.
    pub number: u32,
    /// Fingerprint of the request that uses the key.
    pub fingerprint: Fingerprint,
    /// Where the attempt was sent, for settling it.
    #[serde(rename = "aim")]
    pub target: AttemptTarget,
}

/// A replica's reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The replica recorded the claim.
    Granted,
    /// Another claim of the key is in force.
    Held {
        /// The claim in force.
        claim: Claim,
        /// The answer to its request, if the replica has it.
        answer: Option<Arc<[u8]>>,
    },
    /// The replica can't decide on the key now, for example because it is full,
    /// sees other replicas than the sender, or has yet to fetch claims.
    NotReady,
}

/// A claim as one replica transfers it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptClaim {
    /// Key that was claimed.
    pub key: LedgerKey,
    /// The claim of that key.
    pub claim: Claim,
    /// The answer to its request, if the replica has it.
    pub answer: Option<Arc<[u8]>>,
}

/// Bounds of a [`Page`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageLimits {
    /// Largest number of claims in the page.
    pub claims: usize,
    /// Total size of answers in bytes from which on no further claim is added.
    pub bytes: usize,
}

/// One page of a replica's claims.
///
/// Pages bound the size of the messages by which a new replica fetches claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Claims in ascending order of their keys.
    pub claims: Vec<KeptClaim>,
    /// Whether no claim follows after this page.
    pub is_last: bool,
}

/// Bounds of a [`ClaimStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Largest number of claims that are stored.
    pub claims: usize,
    /// Largest total size of stored answers in bytes.
    pub bytes: usize,
    /// Time for which a claim is stored after it was granted.
    pub retention: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self { claims: 200_000, bytes: 32 << 20, retention: Duration::from_secs(600) }
    }
}

#[derive(Debug)]
struct Entry {
    claim: Claim,
    answer: Option<Arc<[u8]>>,
    claimed_at: Tick,
}

/// Store of the claims of one replica, bounded in number, bytes and age.
#[derive(Debug)]
pub struct ClaimStore {
    limits: ClaimLimits,
    entries: BTreeMap<LedgerKey, Entry>,
    /// Keys in the order in which they were last claimed, for expiry.
    by_age: VecDeque<(Tick, LedgerKey)>,
    /// Keys in the order in which their answers were stored, for eviction.
    answer_order: VecDeque<LedgerKey>,
    kept_bytes: usize,
}

impl ClaimStore {
    /// Creates an empty store.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            by_age: VecDeque::new(),
            answer_order: VecDeque::new(),
            kept_bytes: 0,
        }
    }

    /// Grants a claim, or returns the reason why it can't be granted.
    ///
    /// Of several claims with one number, the first wins. A claim that has an
    /// answer stays in force.
    pub fn claim(&mut self, key: LedgerKey, claim: Claim, now: Tick) -> ClaimReply {
        self.expire(now);
        if let Some(entry) = self.entries.get(&key) {
            let is_same = entry.claim == claim;
            let may_replace = entry.answer.is_none()
                && entry.claim.fingerprint == claim.fingerprint
                && entry.claim.number < claim.number;
            if !is_same && !may_replace {
                return ClaimReply::Held { claim: entry.claim, answer: entry.answer.clone() };
            }
        } else if self.entries.len() >= self.limits.claims {
            return ClaimReply::NotReady;
        }
        self.put(key, claim, now);
        ClaimReply::Granted
    }

    /// Removes a claim whose attempt didn't run, so that the key is free again.
    pub fn release(&mut self, key: LedgerKey, claim: &Claim) {
        if self.entries.get(&key).is_some_and(|entry| entry.claim == *claim) {
            self.remove(key);
        }
    }

    /// Stores the answer of a claim, and the claim itself if it isn't stored yet.
    ///
    /// The answer is ignored if another claim with the same or a higher number is
    /// in force.
    pub fn finish(&mut self, key: LedgerKey, claim: Claim, answer: Arc<[u8]>, now: Tick) {
        self.expire(now);
        let is_older = |entry: &Entry| entry.claim != claim && entry.claim.number < claim.number;
        match self.entries.get(&key) {
            Some(entry) if entry.claim == claim => {}
            Some(entry) if !is_older(entry) => return,
            _ => self.put(key, claim, now),
        }
        self.keep_answer(key, answer);
    }

    /// Merges a claim that was fetched from another replica.
    pub fn merge(&mut self, kept: KeptClaim, now: Tick) {
        let KeptClaim { key, claim, answer } = kept;
        let is_newer = |entry: &Entry| entry.claim.number < claim.number && entry.answer.is_none();
        if self.entries.get(&key).is_none_or(is_newer) {
            self.put(key, claim, now);
        }
        let is_held = self.entries.get(&key).is_some_and(|entry| entry.claim == claim);
        if let Some(answer) = answer.filter(|_| is_held) {
            self.keep_answer(key, answer);
        }
    }

    /// Returns a page of claims in ascending order of their keys, which starts
    /// after the key `after`.
    pub fn page(&self, after: Option<LedgerKey>, limits: PageLimits) -> Page {
        use std::ops::Bound;
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.entries.range((start, Bound::Unbounded));
        let mut page = Page { claims: Vec::new(), is_last: false };
        let mut bytes = 0;
        while page.claims.len() < limits.claims && bytes < limits.bytes {
            let Some((key, entry)) = rest.next() else { break };
            bytes += entry.answer.as_ref().map_or(0, |answer| answer.len());
            let answer = entry.answer.clone();
            page.claims.push(KeptClaim { key: *key, claim: entry.claim, answer });
        }
        page.is_last = rest.next().is_none();
        page
    }

    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the stored answers in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Removes claims that are older than [`ClaimLimits::retention`].
    pub fn expire(&mut self, now: Tick) {
        while let Some(&(at, key)) = self.by_age.front() {
            if now.since(at) <= self.limits.retention {
                break;
            }
            self.by_age.pop_front();
            if self.entries.get(&key).is_some_and(|entry| entry.claimed_at == at) {
                self.remove(key);
            }
        }
    }

    fn put(&mut self, key: LedgerKey, claim: Claim, now: Tick) {
        self.remove(key);
        self.entries.insert(key, Entry { claim, answer: None, claimed_at: now });
        self.by_age.push_back((now, key));
    }

    fn remove(&mut self, key: LedgerKey) {
        if let Some(Entry { answer: Some(answer), .. }) = self.entries.remove(&key) {
            self.kept_bytes -= answer.len();
        }
    }

    fn keep_answer(&mut self, key: LedgerKey, answer: Arc<[u8]>) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.answer.is_some() {
            return;
        }
        self.kept_bytes += answer.len();
        entry.answer = Some(answer);
        self.answer_order.push_back(key);
        while self.kept_bytes > self.limits.bytes {
            let Some(oldest) = self.answer_order.pop_front() else { break };
            self.drop_answer(oldest);
        }
    }

    /// Removes an answer to free space.
    ///
    /// The claim itself stays, so that the request is settled at the node where it
    /// ran.
    fn drop_answer(&mut self, key: LedgerKey) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if let Some(answer) = entry.answer.take() {
            self.kept_bytes -= answer.len();
        }
    }
}
