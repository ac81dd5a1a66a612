//! Outcome of each request, as recorded by the node next to the backend server.
//!
//! An entry node that loses a connection queries this store before it answers its caller.
//! The store is bounded; two horizons keep its answers exact after eviction: one for
//! evicted requests and one for evicted fences. See `docs/design/0004-settle.md`.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ids::RequestId, time::Tick};

use super::link_schedule::PART_BYTES;

/// A time within one incarnation of a node, by that node's own clock.
///
/// Other nodes return it unchanged, so that clocks of different nodes are never compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeStamp {
    /// Random number drawn when the node started.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Milliseconds since the node started.
    pub tick: u64,
}

/// Bounds of a [`SettleStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleLimits {
    /// Maximum number of ended requests.
    pub entries: usize,
    /// Maximum number of fences.
    pub fences: usize,
    /// Maximum total size of stored answers in bytes.
    pub bytes: usize,
    /// Maximum total size of stored large answers in bytes. They are evicted before small ones,
    /// which cost little and of which many more are asked for again.
    pub large_bytes: usize,
    /// Time for which an ended request or a fence is kept.
    pub retention: Duration,
}

impl Default for SettleLimits {
    fn default() -> Self {
        Self {
            entries: 65_536,
            fences: 65_536,
            bytes: 32 << 20,
            large_bytes: 32 << 20,
            retention: Duration::from_secs(120),
        }
    }
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is new and may run.
    Admit,
    /// The entry node was told that the request never runs.
    Fenced,
    /// The request is so old that its fence may have been evicted, that is, its entry node
    /// may have been told that it never runs.
    Stale,
    /// The request was sent to another incarnation of this node.
    OtherIncarnation,
    /// A request with the same id was admitted before.
    Duplicate,
}

/// Status of a request, as reported to its entry node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestStatus<A> {
    /// The request ended with this answer.
    Ended(A),
    /// The request ended, but its answer is no longer stored.
    AnswerExpired,
    /// The request is queued or running.
    Running,
    /// The request never ran and is fenced, so that it never will.
    Fenced,
    /// The request may have run in another incarnation of this node, or may have been
    /// evicted.
    Unknown,
}

#[derive(Debug)]
enum State<A> {
    Running,
    Ended { answer: A, bytes: usize },
    AnswerExpired,
    Fenced,
}

#[derive(Debug)]
struct Entry<A> {
    started_at: Tick,
    state: State<A>,
}

/// Bounded store of requests and fences in one incarnation of a node.
#[derive(Debug)]
pub struct SettleStore<A> {
    incarnation: u64,
    limits: SettleLimits,
    entries: HashMap<RequestId, Entry<A>>,
    /// Ended requests, in the order in which they ended.
    ended: VecDeque<(Tick, RequestId)>,
    /// Requests whose answer is stored, in the order in which they ended.
    answers: VecDeque<RequestId>,
    /// Those of them that are large.
    large_answers: VecDeque<RequestId>,
    /// Fences, oldest first.
    fences: VecDeque<(Tick, RequestId)>,
    kept_bytes: usize,
    kept_large_bytes: usize,
    /// Start time of the youngest evicted request.
    newest_evicted_request: Option<Tick>,
    /// Time of the youngest evicted fence.
    newest_evicted_fence: Option<Tick>,
}

impl<A: Clone> SettleStore<A> {
    /// Creates an empty store for one incarnation of a node.
    pub fn new(incarnation: u64, limits: SettleLimits) -> Self {
        Self {
            incarnation,
            limits,
            entries: HashMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            large_answers: VecDeque::new(),
            fences: VecDeque::new(),
            kept_bytes: 0,
            kept_large_bytes: 0,
            newest_evicted_request: None,
            newest_evicted_fence: None,
        }
    }

    /// Returns the stamp that entry nodes send back with their calls.
    pub fn stamp(&self, now: Tick) -> NodeStamp {
        NodeStamp { incarnation: self.incarnation, tick: now.0 }
    }

    /// Admits a request, or returns why it may not run.
    ///
    /// `stamp` is the newest stamp of this node that the entry node had received when it
    /// sent the request, so it is never later than the sending.
    pub fn begin(&mut self, id: RequestId, stamp: NodeStamp, now: Tick) -> Admission {
        if stamp.incarnation != self.incarnation {
            return Admission::OtherIncarnation;
        }
        self.expire(now);
        match self.entries.get(&id).map(|entry| &entry.state) {
            Some(State::Fenced) => return Admission::Fenced,
            Some(_) => return Admission::Duplicate,
            None => {}
        }
        if self.newest_evicted_fence.is_some_and(|fence| stamp.tick <= fence.0) {
            return Admission::Stale;
        }
        self.entries.insert(id, Entry { started_at: now, state: State::Running });
        Admission::Admit
    }

    /// Records how an admitted request ended; `bytes` is the size of its answer.
    pub fn finish(&mut self, id: RequestId, answer: A, bytes: usize, now: Tick) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if !matches!(entry.state, State::Running) {
            return;
        }
        entry.state = State::Ended { answer, bytes };
        self.kept_bytes += bytes;
        self.ended.push_back((now, id));
        self.answers.push_back(id);
        if bytes > PART_BYTES {
            self.kept_large_bytes += bytes;
            self.large_answers.push_back(id);
        }
        self.expire(now);
    }

    /// Returns the status of a request and fences it if it never ran.
    ///
    /// `stamp` is the stamp that the request carried. A request starts after its stamp
    /// was issued, so a request whose stamp is later than the start of every evicted
    /// request can't have been evicted.
    pub fn settle(&mut self, id: RequestId, stamp: NodeStamp, now: Tick) -> RequestStatus<A> {
        if stamp.incarnation != self.incarnation {
            return RequestStatus::Unknown;
        }
        self.expire(now);
        match self.entries.get(&id).map(|entry| &entry.state) {
            Some(State::Running) => return RequestStatus::Running,
            Some(State::Ended { answer, .. }) => return RequestStatus::Ended(answer.clone()),
            Some(State::AnswerExpired) => return RequestStatus::AnswerExpired,
            Some(State::Fenced) => return RequestStatus::Fenced,
            None => {}
        }
        if self.newest_evicted_request.is_some_and(|started_at| stamp.tick <= started_at.0) {
            return RequestStatus::Unknown;
        }
        self.fence(id, now);
        RequestStatus::Fenced
    }

    /// Returns the stored answer to a request that ended.
    pub fn answer(&self, id: RequestId) -> Option<A> {
        match &self.entries.get(&id)?.state {
            State::Ended { answer, .. } => Some(answer.clone()),
            _ => None,
        }
    }

    /// Drops the stored answer to a request that ended, because nobody asks for it any more.
    pub fn release_answer(&mut self, id: RequestId) {
        self.drop_answer(id);
    }

    /// Returns the number of stored requests and fences.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the stored answers in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Evicts requests, answers and fences that are past their retention or above the
    /// bounds.
    pub fn expire(&mut self, now: Tick) {
        while self.kept_bytes > self.limits.bytes {
            let Some(id) = self.answers.pop_front() else { break };
            self.drop_answer(id);
        }
        while self.kept_large_bytes > self.limits.large_bytes {
            let Some(id) = self.large_answers.pop_front() else { break };
            self.drop_answer(id);
        }
        while self.must_evict(&self.ended, self.limits.entries, now) {
            let Some((_, id)) = self.ended.pop_front() else { break };
            self.evict_request(id);
        }
        while self.must_evict(&self.fences, self.limits.fences, now) {
            let Some((at, id)) = self.fences.pop_front() else { break };
            self.entries.remove(&id);
            self.newest_evicted_fence = self.newest_evicted_fence.max(Some(at));
        }
    }

    fn must_evict(&self, queue: &VecDeque<(Tick, RequestId)>, limit: usize, now: Tick) -> bool {
        let Some((at, _)) = queue.front() else { return false };
        queue.len() > limit || now.since(*at) > self.limits.retention
    }

    fn fence(&mut self, id: RequestId, now: Tick) {
        self.entries.insert(id, Entry { started_at: now, state: State::Fenced });
        self.fences.push_back((now, id));
        self.expire(now);
    }

    fn drop_answer(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let State::Ended { bytes, .. } = entry.state {
            self.kept_bytes -= bytes;
            if bytes > PART_BYTES {
                self.kept_large_bytes -= bytes;
            }
            entry.state = State::AnswerExpired;
        }
    }

    fn evict_request(&mut self, id: RequestId) {
        self.drop_answer(id);
        if let Some(entry) = self.entries.remove(&id) {
            self.newest_evicted_request = self.newest_evicted_request.max(Some(entry.started_at));
        }
        for answers in [&mut self.answers, &mut self.large_answers] {
            if answers.front() == Some(&id) {
                answers.pop_front();
            }
        }
    }
}
