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

use crate::{burn, moves::observe::FIRST_FAILURE_STATUS, worker::Worker};

use super::{
    attempt::{self, PreparedAttempt, endpoint_at},
    context::CallContext,
    keyed::{Claimed, KeyedRun},
};

/// Statuses of a backend server's own failures after which an idempotent request is
/// tried elsewhere.
const RETRIED_STATUSES: [u16; 2] = [500, 502];

/// Tries beyond the budget's, for failures that reached no backend server.
const FREE_RETRIES: u32 = 6;

/// The same after a node had no room: a request that two nodes have no room for is
/// not offered to everybody.
const FREE_RETRIES_AFTER_OVERLOAD: u32 = 1;

/// Time left below which another try can't end in time.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Runs a request to its end.
pub(crate) async fn dispatch(worker: &Rc<Worker>, context: &CallContext) -> PeerReply {
    let calls = &worker.state.calls;
    let share = context.table.configuration.limits.retry_share;
    calls.retry_budgets.lock().count_call(&context.service, share, worker.state.now());
    let keyed = context.keyed().filter(|_| !calls.testing.without_ledger);
    let mut ledger = keyed.map(|keyed| KeyedRun::new(worker, context, keyed));
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
    mut ledger: Option<&mut KeyedRun<'_>>,
    outcomes: &mut AttemptOutcomes,
) -> PeerReply {
    let candidates = candidates(worker, context);
    let mut tried = Vec::new();
    let mut last = PeerReply::Failed(Code::NoBackendServer);
    let (mut counted_attempts, mut free_retries) = (0, 0);
    loop {
        let Some(i) = choose_candidate(worker, context, &candidates, &tried) else { return last };
        if counted_attempts + free_retries > 0 {
            burn::count_retry(&worker.state, &context.service);
        }
        let mut chosen_backend = ChosenBackend::new(worker, candidates[i].instance.clone());
        tried.push(i);
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
                context.attempt_log.borrow_mut().record(
                    &candidates[i].instance,
                    &reply,
                    Instant::now(),
                );
                reply
            }
            Err(NoAttempt::Reply(reply)) => return reply,
        };
        outcomes.record(&last);
        if !may_retry(&last, context) || context.time_left() < MIN_RETRY_TIME {
            return last;
        }
        if matches!(last, PeerReply::Failed(Code::Fenced)) {
            // The link failed, not the backend server: it may be asked again
            // over a new one.
            tried.pop();
        }
        if matches!(last, PeerReply::Failed(Code::Overloaded))
            && !has_free_slot_elsewhere(worker, &candidates, &tried)
        {
            return last;
        }
        if let PeerReply::Failed(code) = last
            && free_retries < free_retry_limit(code)
        {
            free_retries += 1;
            continue;
        }
        counted_attempts += 1;
        let now = worker.state.now();
        if counted_attempts >= context.route.attempts
            || !worker.state.calls.retry_budgets.lock().try_spend(&context.service, now)
        {
            return last;
        }
    }
}

/// Tells whether a backend server that wasn't tried is known to have a free slot.
///
/// While all are full, offering each request to another one only adds messages.
fn has_free_slot_elsewhere(worker: &Worker, candidates: &[Candidate], tried: &[usize]) -> bool {
    let balancer = worker.state.calls.balancer.lock();
    let now = worker.state.now();
    let mut others = candidates.iter().enumerate().filter(|(i, _)| !tried.contains(i));
    others.any(|(_, candidate)| balancer.has_free_slot(candidate, now))
}

/// What the tries of one request came to.
#[derive(Default)]
struct AttemptOutcomes {
    /// The last try after which the request may have run.
    possible_run: Option<PeerReply>,
}

impl AttemptOutcomes {
    fn record(&mut self, reply: &PeerReply) {
        if may_have_run(reply) {
            self.possible_run = Some(reply.clone());
        }
    }

    /// Returns what the caller is told after the last try.
    ///
    /// A request that may have run in an earlier try isn't said not to have run
    /// because a later one didn't.
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

/// Why an attempt wasn't made.
enum NoAttempt {
    /// Another backend server may be tried.
    TryAnother(Code),
    /// The request has its answer.
    Reply(PeerReply),
}

async fn prepare_and_claim(
    worker: &Rc<Worker>,
    context: &CallContext,
    i: usize,
    ledger: Option<&mut KeyedRun<'_>>,
) -> Result<PreparedAttempt, NoAttempt> {
    let endpoint = endpoint_at(context, i).ok_or(NoAttempt::TryAnother(Code::NoBackendServer))?;
    *context.last_tried.borrow_mut() = Some(endpoint.clone());
    let prepared = attempt::prepare(worker, &endpoint).await.map_err(NoAttempt::TryAnother)?;
    let Some(ledger) = ledger else { return Ok(prepared) };
    match ledger.claim(&prepared).await {
        Claimed::Run => Ok(prepared),
        Claimed::Reply(reply) => Err(NoAttempt::Reply(reply)),
    }
}

fn candidates(worker: &Worker, context: &CallContext) -> Vec<Candidate> {
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

/// Chooses among the version that takes the request and, when none of its
/// backend servers is left, the one that may stand in.
fn choose_candidate(
    worker: &Worker,
    context: &CallContext,
    candidates: &[Candidate],
    tried: &[usize],
) -> Option<usize> {
    let versions = context.versions.as_ref()?;
    let fallback = versions.stand_in.clone().map(Some);
    let versions_in_order = [Some(versions.version.clone()), fallback];
    let requirements = CallRequirements {
        route: context.route.name.clone(),
        objective_left: context.objective_left(),
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

/// Learns the usual time of the route from an answer.
fn record_route_latency(
    worker: &Worker,
    context: &CallContext,
    reply: &PeerReply,
    started: Instant,
) {
    if let PeerReply::Answered(_) = reply {
        let mut balancer = worker.state.calls.balancer.lock();
        balancer.record_route_latency(&context.route.name, started.elapsed());
    }
}

/// Returns the `n` instances of a version that all nodes concentrate its calls on.
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

/// Tells the local breaker of the tried version how a call ended.
fn record_for_circuit_breaker(worker: &Worker, context: &CallContext, reply: &PeerReply) {
    let is_failed = match reply {
        PeerReply::Answered(answer) => answer.status >= FIRST_FAILURE_STATUS,
        PeerReply::Failed(code) => code.outcome() == Outcome::Unknown,
    };
    let tried = context.last_tried.borrow();
    let Some(endpoint) = &*tried else { return };
    let moves = &worker.state.control.moves;
    moves.note_entry(&context.route.name, &endpoint.version, is_failed, worker.state.now());
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

/// Chooses the next backend server in turn, for measurements.
fn choose_round_robin(
    worker: &Worker,
    candidates: &[Candidate],
    excluded: &[usize],
) -> Option<usize> {
    let n = worker.state.calls.round_robin_turns.fetch_add(1, Ordering::Relaxed);
    let order = (0..candidates.len()).map(|i| (n + i) % candidates.len());
    order.into_iter().find(|i| !excluded.contains(i))
}

/// A chosen backend server; without another end the call counts as cancelled.
struct ChosenBackend {
    worker: Rc<Worker>,
    instance: InstanceName,
    is_recorded: bool,
}

impl ChosenBackend {
    fn new(worker: &Rc<Worker>, instance: InstanceName) -> Self {
        Self { worker: worker.clone(), instance, is_recorded: false }
    }

    fn record_outcome(&mut self, outcome: CallOutcome, started: Instant) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let state = &self.worker.state;
        state.calls.balancer.lock().record_outcome(
            &self.instance,
            outcome,
            started.elapsed(),
            state.now(),
        );
    }
}

impl Drop for ChosenBackend {
    fn drop(&mut self) {
        self.record_outcome(CallOutcome::Cancelled, Instant::now());
    }
}

fn call_outcome(reply: &PeerReply) -> CallOutcome {
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
fn may_retry(reply: &PeerReply, context: &CallContext) -> bool {
    match reply {
        PeerReply::Answered(answer) => {
            context.route.idempotent && RETRIED_STATUSES.contains(&answer.status)
        }
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

/// Returns the number of free tries after a failure; none where the failed try put
/// load on a backend server.
fn free_retry_limit(code: Code) -> u32 {
    match code {
        Code::Leaving | Code::Unreachable | Code::NoBackendServer | Code::Fenced => FREE_RETRIES,
        Code::Overloaded => FREE_RETRIES_AFTER_OVERLOAD,
        _ => 0,
    }
}
