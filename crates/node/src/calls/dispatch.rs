//! Chooses backend servers for a request and retries it within its limits.
//!
//! Retries are limited by the route's number of attempts and by the retry budget of the
//! service. The first few retries after failures that put no load on a backend server
//! count towards neither.

use std::{
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use savorykeel_policy::{
    calls::{
        balance::{CallOutcome, CallRequirements, Candidate},
        retry::RetriedAttempt,
    },
    code::{Code, Outcome},
    ids::BackendVersion,
    table::{Endpoint, ServiceTable},
};
use savorykeel_ports::peer::PeerReply;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{burn, moves::observation::FIRST_FAILURE_STATUS, worker::Worker};

use super::{
    attempt::{self, PreparedAttempt, endpoint_at},
    chosen_backend::{ChosenBackend, call_outcome},
    context::CallContext,
    keyed::{ClaimResult, KeyedCall},
    link_room,
};

/// Failure statuses of a backend server after which an idempotent request is retried.
const RETRIED_STATUSES: [u16; 2] = [500, 502];

/// Maximum number of retries outside the budget, for failures that reached no backend server.
const FREE_RETRIES: u32 = 6;

/// The same limit after a node was overloaded.
///
/// A request that two nodes rejected as overloaded must not be offered to all the others
/// too.
const FREE_RETRIES_AFTER_OVERLOAD: u32 = 1;

/// Minimum time until the deadline for a retry; with less, the retry can't end in time.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Dispatches a request and returns the reply for its caller.
///
/// Requests that the ledger records are claimed there before each attempt and finished
/// there with the final reply.
pub(crate) async fn dispatch(worker: &Rc<Worker>, context: &CallContext) -> PeerReply {
    let calls = &worker.state.calls;
    let share = context.table.configuration.limits.retry_share;
    calls.retry_budgets.lock().count_call(&context.service, share, worker.state.now());
    let keyed = context.keyed().filter(|_| !calls.testing.without_ledger);
    let mut ledger = keyed.map(|keyed| KeyedCall::new(worker, context, keyed));
    let mut outcomes = AttemptOutcomes::default();
    let last = try_until_answered(worker, context, ledger.as_mut(), &mut outcomes).await;
    let reply = outcomes.final_reply(last);
    if let Some(ledger) = ledger {
        ledger.finish(&reply);
    }
    reply
}

async fn try_until_answered(
    worker: &Rc<Worker>,
    context: &CallContext,
    mut ledger: Option<&mut KeyedCall<'_>>,
    outcomes: &mut AttemptOutcomes,
) -> PeerReply {
    let candidates = candidates(worker, context);
    if link_room::is_refused(worker, context, &candidates) {
        return PeerReply::Failed(Code::LinkOverloaded);
    }
    let mut tried = Vec::new();
    let mut last = PeerReply::Failed(code_without_candidates(context));
    let (mut counted_attempts, mut free_retries) = (0, 0);
    loop {
        let Some(i) = choose_candidate(worker, context, &candidates, &tried) else { return last };
        if counted_attempts + free_retries > 0 {
            burn::count_retry(&worker.state, &context.service);
        }
        let mut chosen_backend = ChosenBackend::new(worker, candidates[i].instance.clone());
        tried.push(i);
        let chosen_at = Instant::now();
        last = match prepare_and_claim(worker, context, i, ledger.as_deref_mut()).await {
            Ok(prepared) => {
                let started = Instant::now();
                let reply = attempt::run(worker, context, &prepared).await;
                chosen_backend.record_outcome(call_outcome(&reply), started);
                context.attempt_log.borrow_mut().record(&candidates[i].instance, &reply, started);
                record_for_circuit_breaker(worker, context, &reply);
                record_route_latency(worker, context, &reply, started);
                reply
            }
            Err(NoAttempt::TryAnother(code)) => {
                chosen_backend.record_outcome(CallOutcome::Failed, Instant::now());
                let reply = PeerReply::Failed(code);
                let mut attempt_log = context.attempt_log.borrow_mut();
                attempt_log.record(&candidates[i].instance, &reply, chosen_at);
                reply
            }
            Err(NoAttempt::Reply(reply)) => return reply,
        };
        outcomes.record(&last);
        if !may_retry(&last, context) || context.time_left() < MIN_RETRY_TIME {
            return last;
        }
        if matches!(last, PeerReply::Failed(Code::Fenced)) {
            // The connection failed, not the backend server, which may be chosen again
            // over a new connection.
            tried.pop();
        }
        if matches!(last, PeerReply::Failed(Code::Overloaded))
            && !has_free_slot_elsewhere(worker, &candidates, &tried)
        {
            return last;
        }
        if matches!(last, PeerReply::Failed(Code::LinkOverloaded)) {
            link_room::exclude_full(worker, context, &candidates, &mut tried);
            if tried.len() >= candidates.len() {
                return last;
            }
        }
        if let PeerReply::Failed(code) = last
            && free_retries < free_retry_limit(code)
        {
            free_retries += 1;
            continue;
        }
        counted_attempts += 1;
        if counted_attempts >= context.route.attempts || !spend_retry(worker, context, &last) {
            return last;
        }
    }
}

/// Takes a retry from the budget of the service. Returns whether there was one.
fn spend_retry(worker: &Worker, context: &CallContext, last: &PeerReply) -> bool {
    let attempt = match may_have_run(last) {
        true => RetriedAttempt::MayHaveRun,
        false => RetriedAttempt::NotRun,
    };
    let now = worker.state.now();
    worker.state.calls.retry_budgets.lock().try_spend(&context.service, attempt, now)
}

/// Returns whether a backend server that has not been tried is known to have a free slot.
///
/// While all backend servers are full, offering each request to another one only adds
/// messages.
fn has_free_slot_elsewhere(worker: &Worker, candidates: &[Candidate], tried: &[usize]) -> bool {
    let balancer = worker.state.calls.balancer.lock();
    let now = worker.state.now();
    let mut others = candidates.iter().enumerate().filter(|(i, _)| !tried.contains(i));
    others.any(|(_, candidate)| balancer.has_free_slot(candidate, now))
}

/// Replies to the attempts of one request, as far as they matter for the final reply.
#[derive(Default)]
struct AttemptOutcomes {
    /// Reply to the last attempt in which the request may have run.
    possible_run: Option<PeerReply>,
}

impl AttemptOutcomes {
    fn record(&mut self, reply: &PeerReply) {
        if may_have_run(reply) {
            self.possible_run = Some(reply.clone());
        }
    }

    /// Returns the reply for the caller after the last attempt.
    ///
    /// If the request may have run in an earlier attempt, the reply to that attempt takes
    /// precedence over a last one that states that the request did not run.
    fn final_reply(self, last: PeerReply) -> PeerReply {
        match self.possible_run {
            Some(possible_run) if !may_have_run(&last) => possible_run,
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

/// Reason why an attempt was not sent.
enum NoAttempt {
    /// Another backend server may be tried.
    TryAnother(Code),
    /// The request already has this reply.
    Reply(PeerReply),
}

async fn prepare_and_claim(
    worker: &Rc<Worker>,
    context: &CallContext,
    i: usize,
    ledger: Option<&mut KeyedCall<'_>>,
) -> Result<PreparedAttempt, NoAttempt> {
    let endpoint = endpoint_at(context, i).ok_or(NoAttempt::TryAnother(Code::NoBackendServer))?;
    *context.last_tried.borrow_mut() = Some(endpoint.clone());
    let prepared = attempt::prepare(worker, &endpoint, context.time_left());
    let prepared = prepared.await.map_err(NoAttempt::TryAnother)?;
    let Some(ledger) = ledger else { return Ok(prepared) };
    match ledger.claim(&prepared).await {
        ClaimResult::Run => Ok(prepared),
        ClaimResult::Reply(reply) => Err(NoAttempt::Reply(reply)),
    }
}

/// Returns the result code of a request that no backend server may take.
fn code_without_candidates(context: &CallContext) -> Code {
    let service = context.table.services.get(&context.service);
    let is_evacuated =
        |table: &ServiceTable| table.endpoints.is_empty() && !table.evacuated.is_empty();
    match service.is_some_and(is_evacuated) {
        true => Code::Evacuated,
        false => Code::NoBackendServer,
    }
}

pub(super) fn candidates(worker: &Worker, context: &CallContext) -> Vec<Candidate> {
    let Some(service) = context.table.services.get(&context.service) else {
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

/// Chooses an untried backend server of the version selected for the request or, if that
/// version has none available, of the fallback version.
fn choose_candidate(
    worker: &Worker,
    context: &CallContext,
    candidates: &[Candidate],
    tried: &[usize],
) -> Option<usize> {
    let versions = context.versions.as_ref()?;
    let fallback = versions.fallback.clone().map(Some);
    let versions_in_order = [Some(versions.version.clone()), fallback];
    let requirements = CallRequirements {
        route: context.route.name.clone(),
        objective_left: context.objective_left(),
        body_bytes: context.request.body.len(),
        large_answer: context.route.large_answers,
    };
    let seed = xxh3_64(context.service.as_str().as_bytes());
    versions_in_order.into_iter().flatten().find_map(|version| {
        let selected = match (&version, versions.instances) {
            (Some(v), Some(n)) if versions.version.as_ref() == Some(v) => {
                Some(concentrated_instances(context, v, n, seed))
            }
            _ => None,
        };
        let is_excluded = |i: &usize| {
            let endpoint = endpoint_at(context, *i);
            let is_other_version = |endpoint: &Arc<Endpoint>| {
                version.as_ref().is_some_and(|version| endpoint.version != *version)
            };
            let is_not_selected = selected.as_ref().is_some_and(|selected| !selected.contains(i));
            tried.contains(i) || is_not_selected || endpoint.as_ref().is_none_or(is_other_version)
        };
        let excluded: Vec<usize> = (0..candidates.len()).filter(is_excluded).collect();
        choose(worker, candidates, &excluded, &requirements)
    })
}

/// Records the time of an answered attempt in the balancer's average latency of the
/// route.
fn record_route_latency(
    worker: &Worker,
    context: &CallContext,
    reply: &PeerReply,
    started: Instant,
) {
    // The rest of an answer in parts takes the time in which its caller reads it.
    if let PeerReply::Answered(_) = reply {
        let mut balancer = worker.state.calls.balancer.lock();
        balancer.record_route_latency(&context.route.name, started.elapsed());
    }
}

/// Returns the `n` instances on which the calls of a version are concentrated.
///
/// Instances are ordered by a hash of their name and the service's, so that every node
/// chooses the same ones.
fn concentrated_instances(
    context: &CallContext,
    version: &BackendVersion,
    n: usize,
    seed: u64,
) -> Vec<usize> {
    let Some(service) = context.table.services.get(&context.service) else { return Vec::new() };
    let of_version = |i: &usize| service.endpoints[*i].version == *version;
    let mut indexes: Vec<usize> = (0..service.endpoints.len()).filter(of_version).collect();
    indexes.sort_by_key(|i| {
        xxh3_64_with_seed(service.endpoints[*i].instance.as_str().as_bytes(), seed)
    });
    indexes.truncate(n);
    indexes
}

/// Records the outcome of an attempt for this node's circuit breaker of the version.
fn record_for_circuit_breaker(worker: &Worker, context: &CallContext, reply: &PeerReply) {
    let is_failed = match reply {
        PeerReply::Answered(answer) => answer.status >= FIRST_FAILURE_STATUS,
        PeerReply::Failed(code) => code.outcome() == Outcome::Unknown,
    };
    let tried = context.last_tried.borrow();
    let Some(endpoint) = &*tried else { return };
    let moves = &worker.state.control.moves;
    moves.record_entry_result(
        &context.route.name,
        &endpoint.version,
        is_failed,
        worker.state.now(),
    );
}

fn choose(
    worker: &Worker,
    candidates: &[Candidate],
    excluded: &[usize],
    requirements: &CallRequirements,
) -> Option<usize> {
    if worker.state.calls.testing.round_robin {
        return choose_round_robin(worker, candidates, excluded);
    }
    let mut balancer = worker.state.calls.balancer.lock();
    let rng = &mut *worker.rng.borrow_mut();
    balancer.choose(candidates, excluded, requirements, worker.state.now(), rng)
}

/// Chooses the next backend server in round-robin order; only tests and measurements
/// switch this on.
fn choose_round_robin(
    worker: &Worker,
    candidates: &[Candidate],
    excluded: &[usize],
) -> Option<usize> {
    let n = worker.state.calls.round_robin_turns.fetch_add(1, Ordering::Relaxed);
    let order = (0..candidates.len()).map(|i| (n + i) % candidates.len());
    order.into_iter().find(|i| !excluded.contains(i))
}

/// Returns whether an answer with a status is a failure after which an idempotent request is
/// retried.
pub(super) fn may_be_retried(status: u16) -> bool {
    RETRIED_STATUSES.contains(&status)
}

/// Returns whether a request may be retried after a reply.
///
/// A request that ran, or may have run, is retried only if its route is idempotent; that
/// includes failure answers of a backend server. A request that ran out of time is not
/// retried, because no time is left.
fn may_retry(reply: &PeerReply, context: &CallContext) -> bool {
    match reply {
        PeerReply::Answered(answer) => context.route.idempotent && may_be_retried(answer.status),
        PeerReply::Failed(
            Code::Quarantined
            | Code::DeadlineBeforeStart
            | Code::Cancelled
            | Code::DeadlineWhileRunning
            | Code::CancelledWhileRunning,
        ) => false,
        PeerReply::Failed(code) => code.outcome() == Outcome::NotRun || context.route.idempotent,
    }
}

/// Returns the maximum number of retries outside the budget after a failure.
///
/// It is zero where the failed attempt put load on a backend server.
fn free_retry_limit(code: Code) -> u32 {
    match code {
        Code::Leaving
        | Code::Unreachable
        | Code::NoBackendServer
        | Code::Fenced
        | Code::Evacuated => FREE_RETRIES,
        Code::Overloaded | Code::LinkOverloaded => FREE_RETRIES_AFTER_OVERLOAD,
        _ => 0,
    }
}
