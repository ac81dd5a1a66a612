//! The serving side of a call, in the node of the backend server that runs it.
//!
//! Each request is admitted once, runs in a task of its own and is retained with its
//! answer, so that its entry node can settle it over another connection.
//! See `docs/design/0004-settle.md`.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use savorykeel_adapters::{
    body_memory::BodyReservation,
    metrics::{Tag, Timer},
};
use savorykeel_policy::{
    calls::{
        admission::AdmissionRequest,
        deadline,
        quarantine::{Fingerprint, QuarantineStatus},
        settle::{Admission, RequestStatus},
    },
    code::Code,
    ids::{BackendVersion, RequestId, RouteName},
};
use savorykeel_ports::{
    backend::{BackendError, BackendReply, BackendServer},
    edge::HeaderNames,
    peer::{Attempt, Header, HttpAnswer, HttpRequest, LoadHint, PeerCall, PeerReply, Settlement},
};
use slog::info;
use tokio::sync::SemaphorePermit;
use tokio_util::sync::CancellationToken;

use crate::{
    http::ORDINARY_BODY_BYTES,
    moves::observation::{TimeBudget, observation},
    state::{InFlight, NodeState},
    worker::Worker,
};

use super::{
    crashes, evacuation, load_report,
    local_backend::{self, LocalBackend},
    slots::ServerLimits,
    state::reply_bytes,
    state::to_millis,
};

/// Runs a call that entered at this node.
pub(crate) async fn run_own(worker: Rc<Worker>, call: PeerCall) -> (PeerReply, LoadHint) {
    let (arrived_at, state) = (Instant::now(), worker.state.clone());
    let reply = run_detached(worker, call).await;
    (Arc::unwrap_or_clone(reply), load_report::load_hint(&state, arrived_at.elapsed()))
}

/// Runs a call in a task of its own, so that it continues when the connection that
/// delivered it is lost.
pub(super) async fn run_detached(worker: Rc<Worker>, call: PeerCall) -> Arc<PeerReply> {
    // Taken before the attempt is recorded: without memory for its body it is refused as one
    // that never arrived.
    let mut body_memory = worker.state.served_memory.reservation(ORDINARY_BODY_BYTES);
    if !body_memory.grow_to(call.request.body.len()) {
        return Arc::new(PeerReply::Failed(Code::Overloaded));
    }
    let code = match admit(&worker.state, call.attempt) {
        Admission::Admit => {
            let task = ntex::rt::spawn(run_admitted(worker, call, body_memory));
            match task.await {
                Ok(reply) => return reply,
                Err(_) => Code::BackendConnectionLost,
            }
        }
        Admission::Fenced | Admission::Stale | Admission::OtherIncarnation => Code::Fenced,
        Admission::Duplicate => Code::SettleFailed,
    };
    Arc::new(PeerReply::Failed(code))
}

fn admit(state: &NodeState, attempt: Attempt) -> Admission {
    let admission = state.calls.settle.lock().begin(attempt.id, attempt.stamp, state.now());
    match admission {
        Admission::Fenced if state.calls.testing.without_fences => Admission::Admit,
        other => other,
    }
}

/// Runs an admitted call and stores its reply for the settle protocol.
async fn run_admitted(
    worker: Rc<Worker>,
    call: PeerCall,
    body_memory: BodyReservation,
) -> Arc<PeerReply> {
    let id = call.attempt.id;
    let cancel = CancellationToken::new();
    worker.state.calls.cancel_tokens.lock().insert(id, cancel.clone());
    let (request, route) = (request_id_text(&worker.state, &call), call.route.clone());
    let started_at = Instant::now();
    let reply = run(&worker, call, &cancel).await;
    drop(body_memory);
    log_served(&worker.state, &request, &route, &reply, started_at.elapsed());
    let tags = [Tag { key: "route", value: route.as_str() }];
    worker.state.metrics.time(Timer::ServeMs, started_at.elapsed(), &tags);
    let calls = &worker.state.calls;
    calls.cancel_tokens.lock().remove(&id);
    let bytes = reply_bytes(&reply);
    let reply = Arc::new(reply);
    calls.settle.lock().finish(id, reply.clone(), bytes, worker.state.now());
    reply
}

/// Returns the request id from the caller's header, or else the id of the attempt.
pub(super) fn request_id_text(state: &NodeState, call: &PeerCall) -> String {
    let name = state.headers.request_id;
    let header = call.request.headers.iter().find(|header| header.name == name);
    let given = header.map(|header| String::from_utf8_lossy(&header.value).into_owned());
    given.unwrap_or_else(|| call.attempt.id.to_string())
}

/// Logs how a request ended on the serving side.
fn log_served(
    state: &NodeState,
    request: &str,
    route: &RouteName,
    reply: &PeerReply,
    took: Duration,
) {
    if !state.request_log_limit.allow(state.now(), &state.log) {
        return;
    }
    let outcome = match reply {
        PeerReply::Answered(answer) => answer.status.to_string(),
        PeerReply::Failed(code) => code.to_string(),
    };
    let server =
        state.backend.lock().current().map(|current| current.announcement.incarnation.id.clone());
    info!(state.log, "request served"; "id" => request, "route" => %route, "server" => server,
        "outcome" => outcome, "load" => state.calls.slots.load(),
        "took_ms" => took.as_millis() as u64);
}

async fn run(worker: &Rc<Worker>, call: PeerCall, cancel: &CancellationToken) -> PeerReply {
    let _in_flight = InFlight::enter(&worker.state.serving);
    match prepare_and_forward(worker, call, cancel).await {
        Ok(reply) => reply,
        Err(code) => PeerReply::Failed(code),
    }
}

async fn prepare_and_forward(
    worker: &Rc<Worker>,
    call: PeerCall,
    cancel: &CancellationToken,
) -> Result<PeerReply, Code> {
    let started = Instant::now();
    let state = &worker.state;
    evacuation::await_certainty(state).await;
    backend_for(state, &call)?;
    let call = PeerCall {
        time_left: deadline::before_end(call.time_left, state.until_end(), None)?,
        ..call
    };
    let request = &call.request;
    let fingerprint =
        Fingerprint::of(&call.service, &request.method, &request.target, &request.body);
    let _suspect_permit =
        acquire_suspect_permit(state, fingerprint, call.time_left, cancel).await?;
    // The state of the backend server may have changed during the wait.
    let backend = backend_for(state, &call)?;
    let waited = started.elapsed();
    let admission_request = AdmissionRequest {
        caller: fairness_key(state, &call),
        route: call.route.clone(),
        priority: call.priority,
        deadline: state.now() + call.time_left.saturating_sub(waited),
        objective_at: state.now() + call.objective_left.saturating_sub(waited),
    };
    let max_wait = call.time_left.saturating_sub(waited);
    let slots = match state.calls.testing.without_admission {
        true => u32::MAX,
        false => backend.record.slots,
    };
    let limits = ServerLimits { slots, rate: backend.rate };
    let slot = tokio::select! {
        slot = state.calls.slots.acquire(admission_request, limits, max_wait) => slot?,
        () = cancel.cancelled() => return Err(Code::Cancelled),
    };
    // The node may have been paused, and its zone evacuated, during the wait.
    evacuation::await_certainty(state).await;
    evacuation::refuse_if_evacuated(state)?;
    let left = call.time_left.saturating_sub(started.elapsed());
    if left < deadline::MIN_TIME_LEFT {
        return Err(Code::DeadlineBeforeStart);
    }
    let run = forward(worker, &backend, call, left, fingerprint);
    tokio::select! {
        reply = run => {
            if reply.is_ok() {
                slot.set_answered();
            }
            reply
        }
        () = cancel.cancelled() => Err(Code::CancelledWhileRunning),
    }
}

/// Returns the caller name by which the admission queue shares slots fairly.
///
/// A client account is its own key, whatever address its requests come from. For other
/// requests, where the settings name the service of each instance, callers are identified by
/// service only, which can't single out one that sends too many requests; all of them then
/// share one empty name.
fn fairness_key(state: &NodeState, call: &PeerCall) -> Arc<str> {
    if let Some(account) = &call.account {
        return account.clone();
    }
    match state.expected_server() {
        Some(_) => "".into(),
        None => call.caller.as_str().into(),
    }
}

/// Returns the local backend server if it accepts work for the call's service.
fn backend_for(state: &NodeState, call: &PeerCall) -> Result<LocalBackend, Code> {
    if state.is_leaving() {
        return Err(Code::Leaving);
    }
    evacuation::refuse_if_evacuated(state)?;
    let backend = local_backend::available(state, state.settings.limits.leave_grace);
    let backend = backend.filter(|backend| backend.record.service == call.service);
    backend.ok_or_else(|| match local_backend::is_leaving(state, &call.service) {
        true => Code::Leaving,
        false => Code::NoBackendServer,
    })
}

/// Waits until a request that is suspected of crashing backend servers may run.
///
/// Only one suspect runs at a time, so that a crash identifies its cause. Other requests
/// need no permit and don't wait; for them, `None` is returned.
async fn acquire_suspect_permit<'a>(
    state: &'a NodeState,
    fingerprint: Fingerprint,
    max_wait: Duration,
    cancel: &CancellationToken,
) -> Result<Option<SemaphorePermit<'a>>, Code> {
    if quarantine_status(state, fingerprint)? == QuarantineStatus::Clear {
        return Ok(None);
    }
    let permit = tokio::select! {
        permit = ntex::time::timeout(
            to_millis(max_wait),
            state.calls.suspect_permits.acquire(),
        ) => permit,
        () = cancel.cancelled() => return Err(Code::Cancelled),
    };
    let Ok(Ok(permit)) = permit else { return Err(Code::DeadlineBeforeStart) };
    // It may have been cleared or quarantined while it waited.
    match quarantine_status(state, fingerprint)? {
        QuarantineStatus::Clear => Ok(None),
        _ => Ok(Some(permit)),
    }
}

fn quarantine_status(
    state: &NodeState,
    fingerprint: Fingerprint,
) -> Result<QuarantineStatus, Code> {
    if state.calls.testing.without_quarantine {
        return Ok(QuarantineStatus::Clear);
    }
    match state.calls.quarantine.lock().status(fingerprint, state.now()) {
        QuarantineStatus::Quarantined => Err(Code::Quarantined),
        other => Ok(other),
    }
}

async fn forward(
    worker: &Rc<Worker>,
    backend: &LocalBackend,
    call: PeerCall,
    left: Duration,
    fingerprint: Fingerprint,
) -> Result<PeerReply, Code> {
    let connections = backend.connections as usize / worker.state.settings.workers;
    let client = worker.backend_client(backend.addr, connections);
    let names = worker.state.headers;
    let route = call.route.clone();
    let request = server_request(&names, backend, call, left);
    let forwarded = crashes::ForwardedRequest::start(&worker.state, fingerprint);
    let is_suspect = quarantine_status(&worker.state, fingerprint) != Ok(QuarantineStatus::Clear);
    let started = Instant::now();
    let sent_at = worker.state.now();
    let BackendReply { result, notice } = client.run(&request, left).await;
    if let Some(notice) = notice {
        local_backend::record_notice(&worker.state, &backend.incarnation, notice, sent_at);
    }
    if !is_suspect {
        let version = &backend.record.version;
        record_observation(
            worker,
            &route,
            version,
            &result,
            CallTiming { took: started.elapsed(), left },
        );
    }
    match &result {
        Ok(_) => forwarded.record_success(worker),
        Err(BackendError::Lost(_)) => {
            let has_crashed = !client.is_listening().await;
            forwarded.record_connection_loss(worker, has_crashed);
        }
        // After a timeout, the connection may be dead without having been closed.
        Err(BackendError::TimedOut) => worker.drop_backend_client(),
        Err(_) => {}
    }
    let mut answer = result.map_err(|e| failure_code(&e))?;
    answer.headers.retain(|header| !names.is_hidden_from_callers(&header.name));
    Ok(PeerReply::Answered(answer))
}

/// Returns the request for the backend server, with the headers that nodes set.
fn server_request(
    names: &HeaderNames,
    backend: &LocalBackend,
    call: PeerCall,
    left: Duration,
) -> HttpRequest {
    let mut request = call.request;
    let headers = &mut request.headers;
    headers.retain(|header| !names.is_set_by_nodes(&header.name));
    if !names.callers_choose_id {
        add_header(headers, names.request_id, call.attempt.id.to_string());
    }
    add_header(headers, names.deadline, left.as_millis().to_string());
    if let Some(name) = names.depth {
        add_header(headers, name, call.depth.to_string());
    }
    if let Some(name) = names.calling_service {
        add_header(headers, name, call.caller);
    }
    if let Some(account) = call.account {
        headers.retain(|header| header.name != names.account);
        add_header(headers, names.account, account.to_string());
    }
    if let Some(name) = names.expected_server {
        add_header(headers, name, backend.incarnation.id.clone());
    }
    request
}

/// Duration of a call and the time that was left for it when it started.
struct CallTiming {
    took: Duration,
    left: Duration,
}

/// Records a call as evidence for moves between backend server versions.
///
/// It is not called for requests that are suspected of crashing backend servers, because
/// their outcome is not evidence about the version that runs them.
fn record_observation(
    worker: &Worker,
    route: &RouteName,
    version: &BackendVersion,
    result: &Result<HttpAnswer, BackendError>,
    time: CallTiming,
) {
    let control = &worker.state.control;
    let Some(table) = control.table() else { return };
    let route_timeout = table.configuration.routes.iter().find(|r| r.name == *route);
    let timeout = route_timeout.map_or(time.left, |route| route.timeout);
    let given = TimeBudget { remaining: time.left, timeout };
    let is_cold = control.moves.is_cold(control.now());
    if let Some(observed) = observation(result, time.took, given, is_cold) {
        control.moves.record(route, version, observed);
    }
}

fn failure_code(error: &BackendError) -> Code {
    match error {
        BackendError::NotSent(_) => Code::Unreachable,
        BackendError::NotRun(_) => Code::BackendRefused,
        BackendError::Lost(_) => Code::BackendConnectionLost,
        BackendError::TimedOut => Code::DeadlineWhileRunning,
        BackendError::BadAnswer(_) => Code::BadBackendAnswer,
    }
}

fn add_header(headers: &mut Vec<Header>, name: &str, value: String) {
    headers.push(Header { name: name.to_owned(), value: value.into_bytes() });
}

/// Returns the status of an attempt; an attempt that has not arrived is fenced, so that it
/// never runs.
pub(crate) fn settle(state: &NodeState, attempt: Attempt) -> Settlement {
    match state.calls.settle.lock().settle(attempt.id, attempt.stamp, state.now()) {
        RequestStatus::Ended(reply) => Settlement::Ended(PeerReply::clone(&reply)),
        RequestStatus::AnswerExpired => Settlement::Ended(PeerReply::Failed(Code::AnswerExpired)),
        RequestStatus::Running => Settlement::Running,
        RequestStatus::Fenced => Settlement::Fenced,
        RequestStatus::Unknown => Settlement::Evicted,
    }
}

/// Cancels a queued or running request whose entry node no longer waits for it.
pub(crate) fn cancel(state: &NodeState, id: RequestId) {
    if let Some(cancel) = state.calls.cancel_tokens.lock().get(&id) {
        cancel.cancel();
    }
    if state.calls.outgoing.remove(id) {
        state.calls.settle.lock().release_answer(id);
    }
}
