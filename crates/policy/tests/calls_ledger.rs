//! The request of an idempotency key runs at most once while its group changes and
//! messages are lost or delayed.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use savorykeel_policy::{
    calls::{
        ledger::{AttemptTarget, Claim, ClaimLimits, ClaimReply, ClaimStore, PageLimits},
        ledger_quorum::{ClaimDecision, decide},
        ledger_sync::{Origin, SyncTracker},
        ledger_view::{Identity, LedgerKey, LedgerMember, LedgerView, quorum, read_quorum},
        quarantine::Fingerprint,
        settle::NodeStamp,
    },
    ids::{InstanceName, RequestId, ZoneName},
    time::Tick,
};

const RETENTION: Duration = Duration::from_secs(600);

fn member(i: usize, incarnation: u64) -> LedgerMember {
    LedgerMember {
        identity: Identity {
            instance: InstanceName::try_from(format!("i{i}")).unwrap(),
            incarnation,
        },
        zone: ZoneName::try_from(format!("z{}", i % 3)).unwrap(),
        addr: ([127, 0, 0, 1], 9000).into(),
    }
}

fn claim(number: u32, request: u128) -> Claim {
    let target = AttemptTarget {
        addr: ([127, 0, 0, 1], 9000).into(),
        stamp: NodeStamp::default(),
        request: RequestId(request),
    };
    Claim { number, fingerprint: Fingerprint(5), target }
}

fn held(claim: Claim) -> Option<ClaimReply> {
    Some(ClaimReply::Held { claim, answer: None })
}

#[test]
fn replicas_span_zones_and_a_restart_moves_no_key() {
    let view = LedgerView::new((0..9).map(|i| member(i, 1)).collect());
    let restarted = LedgerView::new((0..9).map(|i| member(i, 2)).collect());
    for key in (0..200).map(LedgerKey) {
        let replicas = view.replicas(key);
        let zones: std::collections::HashSet<_> = replicas.iter().map(|m| &m.zone).collect();
        assert_eq!(zones.len(), 3);
        let names = |view: &LedgerView| {
            view.replicas(key).iter().map(|m| m.identity.instance.clone()).collect::<Vec<_>>()
        };
        assert_eq!(names(&view), names(&restarted));
        assert_ne!(view.replica_digest(key), restarted.replica_digest(key));
    }
}

#[yare::parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn quorums_overlap(replicas: usize) {
    assert!(2 * quorum(replicas) > replicas);
    assert!(quorum(replicas) + read_quorum(replicas) > replicas);
}

#[test]
fn decisions_from_replies() {
    let own = claim(1, 1);
    let other = claim(1, 2);
    let granted = Some(ClaimReply::Granted);
    let not_ready = Some(ClaimReply::NotReady);
    assert_eq!(decide(&own, &[granted.clone(), granted.clone(), None]), ClaimDecision::Run);
    assert_eq!(decide(&own, &[granted.clone(), None, not_ready]), ClaimDecision::Uncertain);
    assert_eq!(decide(&own, &[granted.clone(), held(other), None]), ClaimDecision::Settle(other));
    let third = claim(1, 3);
    assert_eq!(decide(&own, &[held(other), held(third), None]), ClaimDecision::Uncertain);
    assert_eq!(
        decide(&own, &[held(other), held(third), held(other)]),
        ClaimDecision::Settle(other)
    );
    let answer: Arc<[u8]> = Arc::from(&b"open"[..]);
    let answered = Some(ClaimReply::Held { claim: other, answer: Some(answer.clone()) });
    assert_eq!(decide(&own, &[None, answered, None]), ClaimDecision::Answered(answer));
    let different = Claim { fingerprint: Fingerprint(6), ..other };
    assert_eq!(decide(&own, &[granted, held(different), None]), ClaimDecision::Mismatch);
}

#[test]
fn claim_holds_until_released_or_outranked() {
    let mut store = ClaimStore::new(ClaimLimits::default());
    let key = LedgerKey(1);
    assert_eq!(store.claim(key, claim(1, 1), Tick(0)), ClaimReply::Granted);
    assert_eq!(Some(store.claim(key, claim(1, 2), Tick(0))), held(claim(1, 1)));
    assert_eq!(store.claim(key, claim(2, 2), Tick(0)), ClaimReply::Granted);
    store.release(key, &claim(1, 1));
    assert_eq!(store.len(), 1, "releasing an outranked claim must not remove the current one");
    store.finish(key, claim(2, 2), Arc::from(&b"open"[..]), Tick(0));
    let reply = store.claim(key, claim(3, 3), Tick(0));
    assert!(
        matches!(reply, ClaimReply::Held { answer: Some(_), .. }),
        "an answered claim can't be replaced"
    );
}

#[test]
fn full_replica_grants_no_claim_and_evicts_none_early() {
    let limits = ClaimLimits { claims: 2, bytes: 4, retention: Duration::from_secs(1) };
    let mut store = ClaimStore::new(limits);
    for key in [1, 2] {
        store.claim(LedgerKey(key), claim(1, 1), Tick(0));
        store.finish(LedgerKey(key), claim(1, 1), Arc::from(&b"open"[..]), Tick(0));
    }
    assert_eq!(store.kept_bytes(), 4, "only the older answer is evicted, its claim stays");
    assert_eq!(store.claim(LedgerKey(3), claim(1, 1), Tick(1)), ClaimReply::NotReady);
    assert_eq!(store.claim(LedgerKey(3), claim(1, 1), Tick(1_002)), ClaimReply::Granted);
    assert_eq!(store.len(), 1);
}

#[test]
fn pages_transfer_every_claim_with_its_answer() {
    let mut store = ClaimStore::new(ClaimLimits::default());
    for key in 0..10 {
        store.claim(LedgerKey(key), claim(1, 1), Tick(0));
        store.finish(LedgerKey(key), claim(1, 1), Arc::from(&b"open"[..]), Tick(0));
    }
    let limits = PageLimits { claims: 100, bytes: 12 };
    let mut other = ClaimStore::new(ClaimLimits::default());
    let mut after = None;
    loop {
        let page = store.page(after, limits);
        assert!(page.claims.len() <= 3, "a page exceeds its limit in bytes");
        after = page.claims.last().map(|kept| kept.key);
        page.claims.into_iter().for_each(|kept| other.merge(kept, Tick(0)));
        if page.is_last {
            break;
        }
    }
    assert_eq!((other.len(), other.kept_bytes()), (10, 40));
}

#[test]
fn restarted_member_answers_after_handovers_from_both_others() {
    let now = Tick(0);
    let view = LedgerView::new(vec![member(0, 2), member(1, 1), member(2, 1)]);
    let before = LedgerView::new((0..3).map(|i| member(i, 1)).collect());
    let mut restarted = SyncTracker::new(member(0, 2), Origin::Joiner, RETENTION, now);
    restarted.update_view(view.clone(), now);
    for i in [1, 2] {
        assert!(!restarted.covers(LedgerKey(1), now));
        let mut other = SyncTracker::new(member(i, 1), Origin::Founder, RETENTION, now);
        other.update_view(before.clone(), now);
        other.update_view(view.clone(), now);
        restarted.record_handover(&other.handover());
    }
    assert!(restarted.covers(LedgerKey(1), now));
}

#[test]
fn total_loss_blocks_every_key_until_claims_expire() {
    let mut alone = SyncTracker::new(member(0, 2), Origin::Joiner, RETENTION, Tick(0));
    assert!(!alone.covers(LedgerKey(1), Tick(0)));
    assert!(alone.covers(LedgerKey(1), Tick(600_001)));
}

struct Node {
    store: ClaimStore,
    sync: SyncTracker,
}

struct DelayedClaim {
    to: Identity,
    key: LedgerKey,
    claim: Claim,
    digest: u64,
}

/// Simulation of a group whose members join, leave and restart at random, while
/// claims are delayed and replies are lost.
struct Group {
    rng: StdRng,
    nodes: HashMap<Identity, Node>,
    members: Vec<LedgerMember>,
    /// Members that left and still send their claims to others.
    leaving: Vec<LedgerMember>,
    delayed: Vec<DelayedClaim>,
    runs: HashMap<LedgerKey, u32>,
    next: u64,
    checks_sync: bool,
}

impl Group {
    fn new(seed: u64, checks_sync: bool) -> Self {
        let mut group = Self {
            rng: StdRng::seed_from_u64(seed),
            nodes: HashMap::new(),
            members: Vec::new(),
            leaving: Vec::new(),
            delayed: Vec::new(),
            runs: HashMap::new(),
            next: 1,
            checks_sync,
        };
        group.start(0, Origin::Founder);
        for i in 1..5 {
            group.start(i, Origin::Joiner);
        }
        group
    }

    fn start(&mut self, i: usize, origin: Origin) {
        self.next += 1;
        let member = member(i, self.next);
        self.members.retain(|m| m.identity.instance != member.identity.instance);
        self.leaving.retain(|m| m.identity.instance != member.identity.instance);
        self.members.push(member.clone());
        let sync = SyncTracker::new(member.clone(), origin, RETENTION, Tick(0));
        let store = ClaimStore::new(ClaimLimits::default());
        self.nodes.insert(member.identity, Node { store, sync });
    }

    fn random_member(&mut self) -> Identity {
        let i = self.rng.random_range(0..self.members.len());
        self.members[i].identity.clone()
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0 => {
                let i = self.rng.random_range(0..8);
                self.start(i, Origin::Joiner);
            }
            1 if self.members.len() > 3 => {
                let i = self.rng.random_range(0..self.members.len());
                let member = self.members.remove(i);
                if self.rng.random_bool(0.5) {
                    self.leaving.push(member);
                }
            }
            2..20 => {
                let view = LedgerView::new(self.members.clone());
                let n = self.rng.random_range(0..self.members.len() + self.leaving.len());
                let member = self.members.iter().chain(&self.leaving).nth(n);
                let identity = member.expect("n is in range").identity.clone();
                self.nodes.get_mut(&identity).unwrap().sync.update_view(view, Tick(0));
            }
            20..50 => self.fetch(),
            50..60 => self.deliver_delayed(),
            _ => self.send(),
        }
    }

    fn fetch(&mut self) {
        let identity = self.random_member();
        let members = self.nodes[&identity].sync.members_to_fetch();
        let digest = self.nodes[&identity].sync.view().digest();
        for from in members {
            let Some(other) = self.nodes.get(&from.identity) else { continue };
            let is_alive = self.members.contains(&from) || self.leaving.contains(&from);
            if !is_alive || other.sync.view().digest() != digest {
                continue;
            }
            let limits = PageLimits { claims: 10_000, bytes: 1 << 20 };
            let (page, handover) = (other.store.page(None, limits), other.sync.handover());
            let node = self.nodes.get_mut(&identity).unwrap();
            for kept in page.claims {
                node.store.merge(kept, Tick(0));
            }
            node.sync.record_handover(&handover);
        }
    }

    fn claim_at(&mut self, delayed: &DelayedClaim) -> Option<ClaimReply> {
        let is_alive = self.members.iter().any(|m| m.identity == delayed.to);
        let node = self.nodes.get_mut(&delayed.to).filter(|_| is_alive)?;
        let is_covered = node.sync.covers(delayed.key, Tick(0)) || !self.checks_sync;
        if node.sync.view().replica_digest(delayed.key) != delayed.digest || !is_covered {
            return Some(ClaimReply::NotReady);
        }
        Some(node.store.claim(delayed.key, delayed.claim, Tick(0)))
    }

    fn deliver_delayed(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.delayed.len());
        let delayed = self.delayed.swap_remove(i);
        self.claim_at(&delayed);
    }

    fn send(&mut self) {
        let identity = self.random_member();
        let key = LedgerKey(self.rng.random_range(0..40));
        self.next += 1;
        let claim = claim(1, u128::from(self.next));
        let view = self.nodes[&identity].sync.view().clone();
        let digest = view.replica_digest(key);
        let mut replies = Vec::new();
        for to in view.replicas(key) {
            let delayed = DelayedClaim { to: to.identity.clone(), key, claim, digest };
            if self.rng.random_bool(0.2) {
                self.delayed.push(delayed);
                replies.push(None);
            } else {
                let reply = self.claim_at(&delayed);
                replies.push(reply.filter(|_| self.rng.random_bool(0.9)));
            }
        }
        if decide(&claim, &replies) == ClaimDecision::Run {
            *self.runs.entry(key).or_default() += 1;
        }
    }
}

fn run_groups(checks_sync: bool) -> (usize, usize) {
    let (mut runs, mut doubled) = (0, 0);
    for seed in 0..60 {
        let mut group = Group::new(seed, checks_sync);
        for _ in 0..2_000 {
            group.step();
        }
        runs += group.runs.len();
        doubled += group.runs.values().filter(|count| **count > 1).count();
    }
    (runs, doubled)
}

#[test]
fn no_key_runs_twice_while_the_group_changes() {
    let (runs, doubled) = run_groups(true);
    assert_eq!(doubled, 0, "keys ran twice, out of {runs} that ran");
    assert!(runs > 400, "only {runs} keys ran");
}

#[test]
fn simulation_detects_double_runs_without_the_sync_check() {
    let (runs, doubled) = run_groups(false);
    assert!(doubled > 0, "none of {runs} keys ran twice");
}
