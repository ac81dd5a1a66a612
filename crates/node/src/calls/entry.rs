//! The entry side of a call: from HTTP to a request with its route.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use ntex::http::{Payload, Request, Response};
use rand::RngExt;
use savorykeel_policy::{
    calls::deadline::{next_depth, time_left},
    code::Code,
    config::model::Route,
    ids::ServiceName,
    table::Table,
};
use savorykeel_ports::peer::PeerReply;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    burn::{self, EndedCall},
    calls::{
        dispatch::dispatch,
        journey::{Caller, Journey},
        trail,
    },
    http::{
        BodyError, IDEMPOTENCY_KEY_HEADER, answer_response, code_response, discard_body,
        number_header, read_body, text_header, to_port_request,
    },
    moves::controller::VersionChoice,
    state::InFlight,
    worker::Worker,
};

/// Answers a request from a caller or from the backend server beside the node.
pub(crate) async fn handle(worker: Rc<Worker>, req: Request, caller: Caller) -> Response {
    let _in_flight = InFlight::enter(&worker.state.entered);
    let mut req = req;
    let mut payload = req.take_payload();
    match answer(&worker, &req, &mut payload, caller).await {
        Ok(response) => response,
        Err(Refused { code, detail, is_logged }) => {
            if !is_logged {
                let id = text_header(req.headers(), worker.state.headers.request_id);
                trail::log_refused(&worker.state, &id, req.path(), code);
            }
            let failure = code_response(code, detail);
            discard_body(&mut payload).await;
            failure
        }
    }
}

/// A request that gets an answer of the node's own.
struct Refused {
    code: Code,
    detail: String,
    /// Whether a line about it was written with what it met on its way.
    is_logged: bool,
}

impl Refused {
    fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), is_logged: false }
    }
}

async fn answer(
    worker: &Rc<Worker>,
    req: &Request,
    payload: &mut Payload,
    caller: Caller,
) -> Result<Response, Refused> {
    let started = Instant::now();
    let table = worker.state.control.table().ok_or_else(|| {
        Refused::new(Code::NoConfiguration, "this node has not applied a configuration yet")
    })?;
    let host = req.headers().get("host").and_then(|host| host.to_str().ok());
    let route = table
        .route(req.method().as_str(), host, req.path())
        .cloned()
        .ok_or_else(|| Refused::new(Code::NoRoute, format!("no route for {}", req.path())))?;
    let names = &worker.state.headers;
    let above = names.depth.and_then(|name| number_header::<u32>(req.headers(), name)).unwrap_or(0);
    let depth = next_depth(above, table.configuration.limits.call_depth)
        .map_err(|code| Refused::new(code, format!("{above} calls are above this one")))?;
    let left = number_header::<u64>(req.headers(), names.deadline).map(Duration::from_millis);
    let timeout = time_left(route.timeout, left);
    let limit = usize::try_from(route.body_limit).unwrap_or(usize::MAX);
    let limit = limit.min(worker.state.settings.limits.body_bytes);
    let body = read_body(payload, limit, timeout).await.map_err(|e| body_failure(&e, limit))?;
    let service = route.choose_service(worker.rng.borrow_mut().random()).clone();
    let versions = choose_versions(worker, &table, &route, &service, req);
    let journey = Journey {
        versions,
        request: to_port_request(req, body),
        wanted: started + wanted_time(&table, &route, &service),
        deadline: started + timeout,
        table,
        route,
        service,
        caller,
        depth,
        id: text_header(req.headers(), names.request_id),
        trail: RefCell::default(),
        last_tried: RefCell::default(),
    };
    let journey = Rc::new(journey);
    let reply = run(worker, journey.clone()).await;
    observe(worker, &journey, &reply, started.elapsed());
    let name = &journey.route.name;
    match reply {
        PeerReply::Answered(answer) => Ok(answer_response(answer)),
        PeerReply::Failed(code) => {
            Err(Refused { is_logged: true, ..Refused::new(code, format!("route {name}: {code}")) })
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
    service: &ServiceName,
    req: &Request,
) -> Option<VersionChoice> {
    let service_table = table.services.get(service)?;
    let key = req.headers().get(IDEMPOTENCY_KEY_HEADER).map(|key| xxh3_64(key.as_bytes()));
    let hash = key.unwrap_or_else(|| worker.rng.borrow_mut().random());
    let moves = &worker.state.control.moves;
    moves.choose(service_table, service, &route.name, hash, worker.state.now())
}

/// Returns the time within which an answer counts as fast.
fn wanted_time(table: &Table, route: &Route, service: &ServiceName) -> Duration {
    let of_service = || table.services.get(service).map(|s| s.service.objective.latency);
    route.objective.or_else(of_service).unwrap_or(route.timeout)
}

fn observe(worker: &Worker, journey: &Journey, reply: &PeerReply, took: Duration) {
    let endpoint = journey.last_tried.borrow();
    let call = EndedCall {
        table: &journey.table,
        route: &journey.route,
        service: &journey.service,
        endpoint: endpoint.as_deref(),
        result: match reply {
            PeerReply::Answered(answer) => Ok(answer.status),
            PeerReply::Failed(code) => Err(*code),
        },
        took,
    };
    burn::record_call(&worker.state, &call);
    trail::log_end(&worker.state, journey, reply, took);
}

fn body_failure(error: &BodyError, limit: usize) -> Refused {
    match error {
        BodyError::TooLarge => {
            Refused::new(Code::BodyTooLarge, format!("the route takes {limit} bytes"))
        }
        BodyError::Broken => Refused::new(Code::BadRequest, "the body ended early"),
        BodyError::TooSlow => Refused::new(Code::DeadlineBeforeStart, "the body came too slowly"),
    }
}

/// Runs the request; a keyed one goes on when its caller is gone, so that the
/// caller's next try finds the answer.
async fn run(worker: &Rc<Worker>, journey: Rc<Journey>) -> PeerReply {
    if journey.keyed().is_none() {
        return dispatch(worker, &journey).await;
    }
    let worker = worker.clone();
    let task = ntex::rt::spawn(async move { dispatch(&worker, &journey).await });
    task.await.unwrap_or(PeerReply::Failed(Code::SettleFailed))
}
