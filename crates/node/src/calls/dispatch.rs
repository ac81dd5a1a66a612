//! Chooses backend servers for a request until one of them answers.

use std::{
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use savorykeel_policy::{
    calls::balance::{CallOutcome, CallRequirements, Candidate},
    code::{Code, Outcome},
    ids::{BackendVersion, InstanceName},
    table::Endpoint,
};
use savorykeel_ports::peer::PeerReply;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{burn, moves::observation::FIRST_FAILURE_STATUS, worker::Worker};

use super::{
    attempt::{self, Aimed, endpoint_at},
    journey::Journey,
    keyed::{Claimed, KeyedRun},
};

/// Statuses of a backend server's own failures after which an idempotent request is
/// tried elsewhere.
const RETRIED_STATUSES: [u16; 2] = [500, 502];

/// Tries beyond the budget's, for failures that reached no backend server.
const MAX_FREE_TRIES: u32 = 6;

/// The same after a node had no room: a request that two nodes have no room for is
/// not offered to everybody.
const MAX_TRIES_WITHOUT_ROOM: u32 = 1;

/// Time left below which another try can't end in time.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Runs a request to its end.
pub(crate) async fn dispatch(worker: &Rc<Worker>, journey: &Journey) -> PeerReply {
    let calls = &worker.state.calls;
    let share = journey.table.configuration.limits.retry_share;
    calls.budgets.lock().count_call(&journey.service, share, worker.state.now());
    let keyed = journey.keyed().filter(|_| !calls.testing.without_ledger);
    let mut ledger = keyed.map(|keyed| KeyedRun::new(worker, journey, keyed));
    let mut outcomes = Outcomes::default();
    let last = try_in_turn(worker, journey, ledger.as_mut(), &mut outcomes).await;
    let reply = outcomes.told(last);
    if let Some(ledger) = ledger {
        ledger.finish(&reply);
    }
    reply
}

async fn try_in_turn(
    worker: &Rc<Worker>,
    journey: &Journey,
    mut ledger: Option<&mut KeyedRun<'_>>,
    outcomes: &mut Outcomes,
) -> PeerReply {
    let candidates = candidates(worker, journey);
    let mut tried = Vec::new();
    let mut last = PeerReply::Failed(Code::NoBackendServer);
    let (mut tries, mut free_tries) = (0, 0);
    loop {
        let Some(i) = choose_in_turn(worker, journey, &candidates, &tried) else { return last };
        if tries + free_tries > 0 {
            burn::count_retry(&worker.state, &journey.service);
        }
        let mut choice = Choice::new(worker, candidates[i].instance.clone());
        tried.push(i);
        last = match aim_and_claim(worker, journey, i, ledger.as_deref_mut()).await {
            Ok(aimed) => {
                let started = Instant::now();
                let reply = attempt::run(worker, journey, &aimed).await;
                choice.end(call_end(&reply), started);
                journey.trail.borrow_mut().note(&candidates[i].instance, &reply, started);
                note_ending(worker, journey, &reply);
                learn(worker, journey, &reply, started);
                reply
            }
            Err(Stop::Try(code)) => {
                choice.end(CallOutcome::Failed, Instant::now());
                let reply = PeerReply::Failed(code);
                journey.trail.borrow_mut().note(&candidates[i].instance, &reply, Instant::now());
                reply
            }
            Err(Stop::End(reply)) => return reply,
        };
        outcomes.note(&last);
        if !may_retry(&last, journey) || journey.time_left() < MIN_RETRY_TIME {
            return last;
        }
        if matches!(last, PeerReply::Failed(Code::Fenced)) {
            // The link failed, not the backend server: it may be asked again
            // over a new one.
            tried.pop();
        }
        if matches!(last, PeerReply::Failed(Code::Overloaded))
            && !has_room_elsewhere(worker, &candidates, &tried)
        {
            return last;
        }
        if let PeerReply::Failed(code) = last
            && free_tries < free_tries_for(code)
        {
            free_tries += 1;
            continue;
        }
        tries += 1;
        let now = worker.state.now();
        if tries >= journey.route.attempts
            || !worker.state.calls.budgets.lock().try_spend(&journey.service, now)
        {
            return last;
        }
    }
}

/// Tells whether a backend server that wasn't tried is known to have a free slot.
///
/// While all are full, offering each request to another one only adds messages.
fn has_room_elsewhere(worker: &Worker, candidates: &[Candidate], tried: &[usize]) -> bool {
    let balancer = worker.state.calls.balancer.lock();
    let now = worker.state.now();
    let mut others = candidates.iter().enumerate().filter(|(i, _)| !tried.contains(i));
    others.any(|(_, candidate)| balancer.has_free_slot(candidate, now))
}

/// What the tries of one request came to.
#[derive(Default)]
struct Outcomes {
    /// The last try after which the request may have run.
    ran: Option<PeerReply>,
}

impl Outcomes {
    fn note(&mut self, reply: &PeerReply) {
        if may_have_run(reply) {
            self.ran = Some(reply.clone());
        }
    }

    /// Returns what the caller is told after the last try.
    ///
    /// A request that may have run in an earlier try isn't said not to have run
    /// because a later one didn't.
    fn told(self, last: PeerReply) -> PeerReply {
        match self.ran {
            Some(ran) if !may_have_run(&last) => ran,
            _ => last,
        }
    }
}

fn may_have_run(reply: &PeerReply) -> bool {
    match reply {
        PeerReply::Answered(_) => true,
        PeerReply::Failed(code) => code.outcome() == Outcome::Unknown,
    }
}

/// Why an attempt wasn't made.
enum Stop {
    /// Another backend server may be tried.
    Try(Code),
    /// The request has its answer.
    End(PeerReply),
}

async fn aim_and_claim(
    worker: &Rc<Worker>,
    journey: &Journey,
    i: usize,
    ledger: Option<&mut KeyedRun<'_>>,
) -> Result<Aimed, Stop> {
    let endpoint = endpoint_at(journey, i).ok_or(Stop::Try(Code::NoBackendServer))?;
    *journey.last_tried.borrow_mut() = Some(endpoint.clone());
    let aimed = attempt::aim(worker, &endpoint).await.map_err(Stop::Try)?;
    let Some(ledger) = ledger else { return Ok(aimed) };
    match ledger.claim(&aimed).await {
        Claimed::Run => Ok(aimed),
        Claimed::Reply(reply) => Err(Stop::End(reply)),
    }
}

fn candidates(worker: &Worker, journey: &Journey) -> Vec<Candidate> {
    let Some(service) = journey.table.services.get(&journey.service) else {
        return Vec::new();
    };
    service.endpoints.iter().map(|endpoint| candidate(worker, endpoint)).collect()
}

fn candidate(worker: &Worker, endpoint: &Endpoint) -> Candidate {
    Candidate {
        instance: endpoint.instance.clone(),
        incarnation: endpoint.incarnation,
        in_own_zone: endpoint.zone == worker.state.settings.zone,
        slots: endpoint.slots,
        suspect: endpoint.suspect,
    }
}

/// Chooses among the version that takes the request and, when none of its
/// backend servers is left, the one that may stand in.
fn choose_in_turn(
    worker: &Worker,
    journey: &Journey,
    candidates: &[Candidate],
    tried: &[usize],
) -> Option<usize> {
    let versions = journey.versions.as_ref()?;
    let stand_in = versions.fallback.clone().map(Some);
    let in_turn = [Some(versions.version.clone()), stand_in];
    let wanted = CallRequirements {
        route: journey.route.name.clone(),
        objective_left: journey.wanted_left(),
    };
    let seed = xxh3_64(journey.service.as_str().as_bytes());
    in_turn.into_iter().flatten().find_map(|version| {
        let chosen = match (&version, versions.instances) {
            (Some(v), Some(n)) if versions.version.as_ref() == Some(v) => {
                Some(concentrated(journey, v, n, seed))
            }
            _ => None,
        };
        let is_out = |i: &usize| {
            let endpoint = endpoint_at(journey, *i);
            let is_other = |endpoint: &Arc<Endpoint>| {
                version.as_ref().is_some_and(|version| endpoint.version != *version)
            };
            let is_left_out = chosen.as_ref().is_some_and(|chosen| !chosen.contains(i));
            tried.contains(i) || is_left_out || endpoint.as_ref().is_none_or(is_other)
        };
        let out: Vec<usize> = (0..candidates.len()).filter(is_out).collect();
        choose(worker, candidates, &out, &wanted)
    })
}

/// Learns the usual time of the route from an answer.
fn learn(worker: &Worker, journey: &Journey, reply: &PeerReply, started: Instant) {
    if let PeerReply::Answered(_) = reply {
        let mut balancer = worker.state.calls.balancer.lock();
        balancer.record_route_latency(&journey.route.name, started.elapsed());
    }
}

/// Returns the `n` instances of a version that all nodes concentrate its calls on.
fn concentrated(journey: &Journey, version: &BackendVersion, n: usize, seed: u64) -> Vec<usize> {
    let Some(service) = journey.table.services.get(&journey.service) else { return Vec::new() };
    let of_version = |i: &usize| service.endpoints[*i].version == *version;
    let mut indexes: Vec<usize> = (0..service.endpoints.len()).filter(of_version).collect();
    indexes.sort_by_key(|i| {
        xxh3_64_with_seed(service.endpoints[*i].instance.as_str().as_bytes(), seed)
    });
    indexes.truncate(n);
    indexes
}

/// Tells the local breaker of the tried version how a call ended.
fn note_ending(worker: &Worker, journey: &Journey, reply: &PeerReply) {
    let is_failed = match reply {
        PeerReply::Answered(answer) => answer.status >= FIRST_FAILURE_STATUS,
        PeerReply::Failed(code) => code.outcome() == Outcome::Unknown,
    };
    let tried = journey.last_tried.borrow();
    let Some(endpoint) = &*tried else { return };
    let moves = &worker.state.control.moves;
    moves.record_entry_result(
        &journey.route.name,
        &endpoint.version,
        is_failed,
        worker.state.now(),
    );
}

fn choose(
    worker: &Worker,
    candidates: &[Candidate],
    tried: &[usize],
    wanted: &CallRequirements,
) -> Option<usize> {
    if worker.state.calls.testing.round_robin {
        return in_turn(worker, candidates, tried);
    }
    let mut balancer = worker.state.calls.balancer.lock();
    let rng = &mut *worker.rng.borrow_mut();
    balancer.choose(candidates, tried, wanted, worker.state.now(), rng)
}

/// Chooses the next backend server in turn, for measurements.
fn in_turn(worker: &Worker, candidates: &[Candidate], tried: &[usize]) -> Option<usize> {
    let n = worker.state.calls.turns.fetch_add(1, Ordering::Relaxed);
    let order = (0..candidates.len()).map(|i| (n + i) % candidates.len());
    order.into_iter().find(|i| !tried.contains(i))
}

/// A chosen backend server; without another end the call counts as cancelled.
struct Choice {
    worker: Rc<Worker>,
    instance: InstanceName,
    is_ended: bool,
}

impl Choice {
    fn new(worker: &Rc<Worker>, instance: InstanceName) -> Self {
        Self { worker: worker.clone(), instance, is_ended: false }
    }

    fn end(&mut self, end: CallOutcome, started: Instant) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        let state = &self.worker.state;
        state.calls.balancer.lock().record_outcome(
            &self.instance,
            end,
            started.elapsed(),
            state.now(),
        );
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        self.end(CallOutcome::Cancelled, Instant::now());
    }
}

fn call_end(reply: &PeerReply) -> CallOutcome {
    match reply {
        PeerReply::Answered(answer) if RETRIED_STATUSES.contains(&answer.status) => {
            CallOutcome::AnsweredWithFailure
        }
        PeerReply::Answered(_) => CallOutcome::Answered,
        PeerReply::Failed(Code::BackendRefused) => CallOutcome::AnsweredWithFailure,
        PeerReply::Failed(Code::Overloaded | Code::DeadlineBeforeStart) => CallOutcome::Shed,
        PeerReply::Failed(Code::Quarantined | Code::Cancelled | Code::CancelledWhileRunning) => {
            CallOutcome::Cancelled
        }
        PeerReply::Failed(_) => CallOutcome::Failed,
    }
}

/// Tells whether another backend server may be tried.
///
/// What ran, or may have run, is tried again only where running twice does no
/// harm; then that holds for a backend server's own failure too. One that ran out
/// of time is not tried again, because there is none left.
fn may_retry(reply: &PeerReply, journey: &Journey) -> bool {
    match reply {
        PeerReply::Answered(answer) => {
            journey.route.idempotent && RETRIED_STATUSES.contains(&answer.status)
        }
        PeerReply::Failed(
            Code::Quarantined
            | Code::DeadlineBeforeStart
            | Code::Cancelled
            | Code::DeadlineWhileRunning
            | Code::CancelledWhileRunning,
        ) => false,
        PeerReply::Failed(code) => code.outcome() == Outcome::NotRun || journey.route.idempotent,
    }
}

/// Returns the number of free tries after a failure; none where the failed try put
/// load on a backend server.
fn free_tries_for(code: Code) -> u32 {
    match code {
        Code::Leaving | Code::Unreachable | Code::NoBackendServer | Code::Fenced => MAX_FREE_TRIES,
        Code::Overloaded => MAX_TRIES_WITHOUT_ROOM,
        _ => 0,
    }
}
