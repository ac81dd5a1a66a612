//! Chooses backend servers for a request until one of them answers.

use std::{rc::Rc, sync::atomic::Ordering, time::Instant};

use savorykeel_policy::{
    calls::{
        balance::{CallEnd, Candidate},
        retry::MAX_TRIES,
    },
    code::{Code, Outcome},
    ids::InstanceName,
    table::Endpoint,
};
use savorykeel_ports::peer::PeerReply;

use crate::{burn, moves::observe::FIRST_FAILURE_STATUS, worker::Worker};

use super::{
    attempt::{self, Aimed, endpoint_at},
    journey::Journey,
    keyed::{Claimed, KeyedRun},
};

/// Tries beyond the budget's, for failures that put no load on a backend server.
const MAX_FREE_TRIES: u32 = 6;

/// Runs a request to its end.
pub(crate) async fn dispatch(worker: &Rc<Worker>, journey: &Journey) -> PeerReply {
    let calls = &worker.state.calls;
    {
        let mut budget = calls.budget.lock();
        budget.set_share(journey.table.configuration.limits.retry_share);
        budget.count_call();
    }
    let keyed = journey.keyed().filter(|_| !calls.testing.without_ledger);
    let mut ledger = keyed.map(|keyed| KeyedRun::new(worker, journey, keyed));
    let reply = try_in_turn(worker, journey, ledger.as_mut()).await;
    if let Some(ledger) = ledger {
        ledger.finish(&reply);
    }
    reply
}

async fn try_in_turn(
    worker: &Rc<Worker>,
    journey: &Journey,
    mut ledger: Option<&mut KeyedRun<'_>>,
) -> PeerReply {
    let candidates = candidates(worker, journey);
    let mut tried = Vec::new();
    let mut last = PeerReply::Failed(Code::NoBackendServer);
    let (mut tries, mut free_tries) = (0, 0);
    loop {
        let Some(i) = choose_in_turn(worker, journey, &candidates, &tried) else { return last };
        if tries + free_tries > 0 {
            burn::count_retry(&worker.state, &journey.route.service);
        }
        let mut choice = Choice::new(worker, candidates[i].instance.clone());
        tried.push(i);
        last = match aim_and_claim(worker, journey, i, ledger.as_deref_mut()).await {
            Ok(aimed) => {
                let started = Instant::now();
                let reply = attempt::run(worker, journey, &aimed).await;
                choice.end(call_end(&reply), started);
                note_ending(worker, journey, &reply);
                reply
            }
            Err(Stop::Try(code)) => {
                choice.end(CallEnd::Failed, Instant::now());
                PeerReply::Failed(code)
            }
            Err(Stop::End(reply)) => return reply,
        };
        let PeerReply::Failed(code) = last else { return last };
        if !may_retry(code, journey) || journey.time_left().is_zero() {
            return last;
        }
        if code == Code::Fenced {
            // The link failed, not the backend server: it may be asked again
            // over a new one.
            tried.pop();
        }
        if puts_no_load(code) && free_tries < MAX_FREE_TRIES {
            free_tries += 1;
            continue;
        }
        tries += 1;
        if tries >= MAX_TRIES || !worker.state.calls.budget.lock().try_spend(worker.state.now()) {
            return last;
        }
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
    let Some(service) = journey.table.services.get(&journey.route.service) else {
        return Vec::new();
    };
    service.endpoints.iter().map(|endpoint| candidate(worker, endpoint)).collect()
}

fn candidate(worker: &Worker, endpoint: &Endpoint) -> Candidate {
    Candidate {
        instance: endpoint.instance.clone(),
        incarnation: endpoint.incarnation,
        is_local: endpoint.zone == worker.state.settings.zone,
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
    let in_turn = [Some(&versions.version), versions.stand_in.as_ref()];
    in_turn.into_iter().flatten().find_map(|version| {
        let is_out = |i: &usize| {
            let endpoint = endpoint_at(journey, *i);
            tried.contains(i) || endpoint.is_none_or(|endpoint| endpoint.version != *version)
        };
        let out: Vec<usize> = (0..candidates.len()).filter(is_out).collect();
        choose(worker, candidates, &out)
    })
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
    moves.note_entry(&journey.route.name, &endpoint.version, is_failed, worker.state.now());
}

fn choose(worker: &Worker, candidates: &[Candidate], tried: &[usize]) -> Option<usize> {
    if worker.state.calls.testing.round_robin {
        return in_turn(worker, candidates, tried);
    }
    let mut balancer = worker.state.calls.balancer.lock();
    let rng = &mut *worker.rng.borrow_mut();
    balancer.choose(candidates, tried, worker.state.now(), rng)
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

    fn end(&mut self, end: CallEnd, started: Instant) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        let state = &self.worker.state;
        state.calls.balancer.lock().end(&self.instance, end, started.elapsed(), state.now());
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        self.end(CallEnd::Cancelled, Instant::now());
    }
}

fn call_end(reply: &PeerReply) -> CallEnd {
    match reply {
        PeerReply::Answered(_) => CallEnd::Answered,
        PeerReply::Failed(Code::Overloaded | Code::DeadlineBeforeStart) => CallEnd::Shed,
        PeerReply::Failed(Code::Quarantined | Code::Cancelled | Code::CancelledWhileRunning) => {
            CallEnd::Cancelled
        }
        PeerReply::Failed(_) => CallEnd::Failed,
    }
}

/// Tells whether another backend server may be tried.
///
/// What ran, or may have run, is tried again only where running twice does no
/// harm. A request that nobody takes is not offered to everybody.
fn may_retry(code: Code, journey: &Journey) -> bool {
    match code {
        Code::Quarantined | Code::DeadlineBeforeStart | Code::Cancelled => false,
        Code::DeadlineWhileRunning | Code::CancelledWhileRunning => false,
        _ => code.outcome() == Outcome::NotRun || journey.route.idempotent,
    }
}

/// Tells whether a failed try reached no backend server.
fn puts_no_load(code: Code) -> bool {
    matches!(code, Code::Leaving | Code::Unreachable | Code::NoBackendServer | Code::Fenced)
}
