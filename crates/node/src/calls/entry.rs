//! The entry side of a call: route, choose a backend server, hand over.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use ntex::http::{Request, Response};
use rand::{RngExt, seq::IndexedRandom};
use savorykeel_policy::{
    code::{Code, Outcome},
    config::model::Route,
    ids::{BackendVersion, RequestId},
    table::{Endpoint, Table},
};
use savorykeel_ports::peer::{Attempt, HttpRequest, PeerCall, PeerError, PeerLinks, PeerReply};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    calls::serve,
    http::{
        BodyError, DEADLINE_HEADER, DEPTH_HEADER, HttpResult, IDEMPOTENCY_KEY_HEADER,
        answer_response, code_response, number_header, read_body, to_port_request,
    },
    moves::hub::VersionChoice,
    state::InFlight,
    worker::Worker,
};

/// First HTTP status that counts as a failure of the backend server.
const FIRST_FAILURE_STATUS: u16 = 500;

/// Most backend servers that one request is offered to.
const MAX_ATTEMPTS: usize = 3;

/// Answers a request from a caller or from the backend server beside the node.
pub(crate) async fn handle(worker: Rc<Worker>, req: Request, caller: String) -> HttpResult {
    let _in_flight = InFlight::enter(&worker.state.entered);
    Ok(answer(&worker, req, caller).await.unwrap_or_else(|failure| failure))
}

/// A request on its way, with the table that it uses from start to end.
struct Journey {
    table: Arc<Table>,
    route: Arc<Route>,
    request: HttpRequest,
    caller: String,
    depth: u32,
    deadline: Instant,
    /// Versions of the backend server that may take it; none when none may.
    versions: Option<VersionChoice>,
}

async fn answer(
    worker: &Rc<Worker>,
    mut req: Request,
    caller: String,
) -> Result<Response, Response> {
    let started = Instant::now();
    let table = worker.state.control.table().ok_or_else(|| {
        code_response(Code::NoConfiguration, "this node has not applied a configuration yet")
    })?;
    let host = req.headers().get("host").and_then(|host| host.to_str().ok());
    let route = table
        .route(req.method().as_str(), host, req.path())
        .cloned()
        .ok_or_else(|| code_response(Code::NoRoute, format!("no route for {}", req.path())))?;
    let depth = number_header::<u32>(req.headers(), DEPTH_HEADER).unwrap_or(0);
    let left = number_header::<u64>(req.headers(), DEADLINE_HEADER).map(Duration::from_millis);
    let timeout = left.map_or(route.timeout, |left| left.min(route.timeout));
    let limit = usize::try_from(route.body_limit).unwrap_or(usize::MAX);
    let payload = req.take_payload();
    let body = read_body(payload, limit).await.map_err(|e| body_failure(&e, limit))?;
    let versions = choose_versions(worker, &table, &route, &req);
    let journey = Journey {
        versions,
        request: to_port_request(&req, body),
        deadline: started + timeout,
        table,
        route,
        caller,
        depth,
    };
    match run(worker, &journey).await {
        PeerReply::Answered(answer) => Ok(answer_response(answer)),
        PeerReply::Failed(code) => {
            let detail = format!("route {}: {code}", journey.route.name);
            Err(code_response(code, detail))
        }
    }
}

/// Chooses the version that takes a request.
///
/// A request with an idempotency key meets the same version when it is sent
/// again. One without is split at random: a split by caller would give a whole
/// busy caller to a version of which little is known.
fn choose_versions(
    worker: &Worker,
    table: &Table,
    route: &Route,
    req: &Request,
) -> Option<VersionChoice> {
    let service = table.services.get(&route.service)?;
    let key = req.headers().get(IDEMPOTENCY_KEY_HEADER).map(|key| xxh3_64(key.as_bytes()));
    let hash = key.unwrap_or_else(|| worker.rng.borrow_mut().random());
    let control = &worker.state.control;
    control.moves.choose(service, &route.service, &route.name, hash, control.now())
}

fn body_failure(error: &BodyError, limit: usize) -> Response {
    match error {
        BodyError::TooLarge => {
            code_response(Code::BodyTooLarge, format!("the route takes {limit} bytes"))
        }
        BodyError::Broken => code_response(Code::BadRequest, "the body ended early"),
    }
}

async fn run(worker: &Rc<Worker>, journey: &Journey) -> PeerReply {
    let mut tried: Vec<Arc<Endpoint>> = Vec::new();
    let mut last = PeerReply::Failed(Code::NoBackendServer);
    while tried.len() < MAX_ATTEMPTS {
        let Some(endpoint) = choose(worker, journey, &tried) else { break };
        let left = journey.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return PeerReply::Failed(Code::DeadlineBeforeStart);
        }
        let call = peer_call(worker, journey, &endpoint, left);
        last = attempt(worker, &endpoint, call).await;
        note_ending(worker, journey, &endpoint, &last);
        match &last {
            PeerReply::Failed(code) if code.outcome() == Outcome::NotRun => tried.push(endpoint),
            _ => break,
        }
    }
    last
}

/// Tells the local breaker of the endpoint's version how a call ended.
fn note_ending(worker: &Worker, journey: &Journey, endpoint: &Endpoint, reply: &PeerReply) {
    let is_failed = match reply {
        PeerReply::Answered(answer) => answer.status >= FIRST_FAILURE_STATUS,
        PeerReply::Failed(code) => code.outcome() == Outcome::Unknown,
    };
    let control = &worker.state.control;
    control.moves.note_entry(&journey.route.name, &endpoint.version, is_failed, control.now());
}

fn choose(worker: &Worker, journey: &Journey, tried: &[Arc<Endpoint>]) -> Option<Arc<Endpoint>> {
    let service = journey.table.services.get(&journey.route.service)?;
    let versions = journey.versions.as_ref()?;
    let is_untried =
        |endpoint: &&Arc<Endpoint>| !tried.iter().any(|other| other.instance == endpoint.instance);
    let of_version = |version: &BackendVersion| -> Vec<&Arc<Endpoint>> {
        let endpoints = service.endpoints.iter().filter(is_untried);
        endpoints.filter(|endpoint| endpoint.version == *version).collect()
    };
    let mut candidates = of_version(&versions.version);
    if candidates.is_empty() {
        candidates = versions.stand_in.as_ref().map(of_version).unwrap_or_default();
    }
    candidates.choose(&mut *worker.rng.borrow_mut()).map(|endpoint| Arc::clone(endpoint))
}

fn peer_call(worker: &Worker, journey: &Journey, endpoint: &Endpoint, left: Duration) -> PeerCall {
    let id = RequestId(worker.rng.borrow_mut().random());
    PeerCall {
        attempt: Attempt { id, incarnation: endpoint.incarnation, age: Duration::ZERO },
        service: journey.route.service.clone(),
        route: journey.route.name.clone(),
        idempotent: journey.route.idempotent,
        urgent: journey.route.urgent,
        time_left: left,
        depth: journey.depth + 1,
        caller: journey.caller.clone(),
        request: journey.request.clone(),
    }
}

async fn attempt(worker: &Rc<Worker>, endpoint: &Endpoint, call: PeerCall) -> PeerReply {
    if endpoint.instance == worker.state.settings.instance {
        return serve::run_detached(worker.clone(), call).await.0;
    }
    match worker.links.call(endpoint.peer_addr, &call).await {
        Ok((reply, _)) => reply,
        Err(PeerError::NotSent(_)) => PeerReply::Failed(Code::Unreachable),
        Err(PeerError::Lost(_) | PeerError::Malformed { .. }) => {
            PeerReply::Failed(Code::SettleFailed)
        }
    }
}
