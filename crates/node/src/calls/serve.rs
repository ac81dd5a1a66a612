//! The serving side of a call: beside the backend server.

use std::{
    rc::Rc,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use savorykeel_policy::{
    code::Code,
    ids::{RequestId, RouteName},
};
use savorykeel_ports::{
    backend::{BackendError, BackendServer},
    peer::{Attempt, Header, HttpAnswer, LoadHint, PeerCall, PeerReply, Settlement},
};

use crate::{
    http::{DEADLINE_HEADER, DEPTH_HEADER, REQUEST_ID_HEADER},
    moves::observe::{TimeGiven, observation},
    state::InFlight,
    worker::Worker,
};

use super::announce::Announcement;

/// Runs a call in a task of its own, so that it goes on when the connection
/// that brought it ends.
pub(crate) async fn run_detached(worker: Rc<Worker>, call: PeerCall) -> (PeerReply, LoadHint) {
    let state = worker.state.clone();
    let task = ntex::rt::spawn(async move { run(&worker, call).await });
    let reply = task.await.unwrap_or(PeerReply::Failed(Code::BackendConnectionLost));
    let slots = state.backend.lock().as_ref().map_or(0, |backend| backend.record.slots);
    (reply, LoadHint { in_flight: state.serving.load(Ordering::Relaxed), slots })
}

async fn run(worker: &Worker, call: PeerCall) -> PeerReply {
    let state = &worker.state;
    if state.is_leaving() {
        return PeerReply::Failed(Code::Leaving);
    }
    let backend = state.backend.lock().clone();
    let backend = backend.filter(|backend| backend.record.service == call.service);
    let Some(backend) = backend else { return PeerReply::Failed(Code::NoBackendServer) };
    if backend.record.draining {
        return PeerReply::Failed(Code::Leaving);
    }
    let _in_flight = InFlight::enter(&state.serving);
    forward(worker, &backend, call).await
}

async fn forward(worker: &Worker, backend: &Announcement, call: PeerCall) -> PeerReply {
    let connections = backend.connections as usize / worker.state.settings.workers;
    let client = match worker.backend(backend.addr, connections).await {
        Ok(client) => client,
        Err(_) => return PeerReply::Failed(Code::Unreachable),
    };
    let (id, time_left, depth) = (call.attempt.id, call.time_left, call.depth);
    let mut request = call.request;
    set_header(&mut request.headers, REQUEST_ID_HEADER, id.to_string());
    set_header(&mut request.headers, DEADLINE_HEADER, time_left.as_millis().to_string());
    set_header(&mut request.headers, DEPTH_HEADER, depth.to_string());
    let started = Instant::now();
    let result = client.run(&request, time_left).await;
    count(worker, backend, &call.route, &result, started.elapsed(), time_left);
    match result {
        Ok(answer) => PeerReply::Answered(answer),
        Err(e) => PeerReply::Failed(failure_code(&e)),
    }
}

/// Counts a call for the moves between backend server versions.
fn count(
    worker: &Worker,
    backend: &Announcement,
    route: &RouteName,
    result: &Result<HttpAnswer, BackendError>,
    took: Duration,
    left: Duration,
) {
    let control = &worker.state.control;
    let Some(table) = control.table() else { return };
    let timeout = table.configuration.routes.iter().find(|r| r.name == *route).map(|r| r.timeout);
    let given = TimeGiven { left, timeout: timeout.unwrap_or(left) };
    let is_cold = control.moves.is_cold(control.now());
    if let Some(seen) = observation(result, took, given, is_cold) {
        control.moves.record(route, &backend.record.version, seen);
    }
}

fn failure_code(error: &BackendError) -> Code {
    match error {
        BackendError::NotSent(_) => Code::Unreachable,
        BackendError::Lost(_) => Code::BackendConnectionLost,
        BackendError::TimedOut => Code::DeadlineWhileRunning,
        BackendError::BadAnswer(_) => Code::BadBackendAnswer,
    }
}

fn set_header(headers: &mut Vec<Header>, name: &str, value: String) {
    headers.retain(|header| header.name != name);
    headers.push(Header { name: name.to_owned(), value: value.into_bytes() });
}

/// Tells what became of a request.
///
/// Nothing is remembered yet, so the answer is always that the node can't tell.
pub(crate) fn settle(_: &Worker, _: Attempt) -> Settlement {
    Settlement::Forgotten
}

/// Cancels a request that nobody waits for any more.
///
/// Running requests are left to end by themselves until they are tracked by id.
pub(crate) fn cancel(_: &Worker, _: RequestId) {}
