//! The entry side of a call: reads an HTTP request, finds its route and dispatches it.
//!
//! The table, the deadline, the service and the backend server versions are chosen here
//! and don't change during the call, because all later decisions depend on them.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use ntex::http::{Payload, Request, Response};
use rand::RngExt;
use savorykeel_adapters::{
    backend::LENGTH_HEADER,
    metrics::{Counter, Tag},
};
use savorykeel_policy::{
    accounts::Account,
    calls::deadline::{before_end, next_depth, time_left},
    code::{Code, startup_retry_after},
    config::model::Route,
    ids::ServiceName,
    table::Table,
};
use savorykeel_ports::peer::PeerReply;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    burn::{self, EndedCall},
    caller_load::UnfinishedBody,
    calls::{
        account::{authenticate, remove_credentials},
        attempt_log,
        context::{CallContext, Caller},
        dispatch::dispatch,
        link_room,
        outgoing::AnswerOrder,
        streamed_answer::{self, AnswerEnd},
    },
    http::{
        BodyError, IDEMPOTENCY_KEY_HEADER, answer_response, code_response, discard_body,
        number_header, read_body, set_retry_after, text_header, to_port_request,
    },
    moves::controller::VersionChoice,
    quota::ask::{self, QuotaExceeded},
    state::InFlight,
    worker::Worker,
};

/// Answers a request from a caller or from the node's own backend server.
pub(crate) async fn handle(worker: Rc<Worker>, req: Request, caller: Caller) -> Response {
    let _in_flight = InFlight::enter(&worker.state.entered);
    let mut req = req;
    let mut payload = req.take_payload();
    match answer(&worker, &req, &mut payload, caller).await {
        Ok(response) => response,
        Err(Refusal { code, detail, is_logged, retry_after }) => {
            if !is_logged {
                let tags = [Tag { key: "code", value: code.into() }];
                worker.state.metrics.count(Counter::Refusals, 1, &tags);
                let id = text_header(req.headers(), worker.state.headers.request_id);
                attempt_log::log_request_refusal(&worker.state, &id, req.path(), code);
            }
            let mut failure = code_response(code, detail);
            if code == Code::NoConfiguration {
                let spread = worker.rng.borrow_mut().random();
                let uptime = worker.state.control.uptime();
                set_retry_after(&mut failure, startup_retry_after(uptime, spread));
            }
            if let Some(retry_after) = retry_after {
                set_retry_after(&mut failure, retry_after);
            }
            discard_body(&mut payload).await;
            failure
        }
    }
}

/// A request that the node answers with a result code instead of a backend server's answer.
struct Refusal {
    code: Code,
    detail: String,
    /// Whether the request has already been logged together with its attempts.
    is_logged: bool,
    /// Delay after which the caller may retry, in place of that of the code.
    retry_after: Option<Duration>,
}

impl Refusal {
    fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), is_logged: false, retry_after: None }
    }
}

async fn answer(
    worker: &Rc<Worker>,
    req: &Request,
    payload: &mut Payload,
    caller: Caller,
) -> Result<Response, Refusal> {
    let started = Instant::now();
    let table = worker.state.control.table().ok_or_else(|| {
        Refusal::new(Code::NoConfiguration, "this node has not applied a configuration yet")
    })?;
    let host = req.headers().get("host").and_then(|host| host.to_str().ok());
    let route = table
        .route(req.method().as_str(), host, req.path())
        .cloned()
        .ok_or_else(|| Refusal::new(Code::NoRoute, format!("no route for {}", req.path())))?;
    let account = authenticate(&table.configuration, &route, req.headers())
        .map_err(|_| Refusal::new(Code::UnknownKey, "the request has no key of an account"))?;
    let names = &worker.state.headers;
    let caller_depth =
        names.depth.and_then(|name| number_header::<u32>(req.headers(), name)).unwrap_or(0);
    let depth = next_depth(caller_depth, table.configuration.limits.call_depth)
        .map_err(|code| Refusal::new(code, format!("{caller_depth} calls are above this one")))?;
    if let Some(account) = &account {
        take_token(worker, account, &table, &route).await?;
    }
    let caller_timeout =
        number_header::<u64>(req.headers(), names.deadline).map(Duration::from_millis);
    let timeout = time_left(route.timeout, caller_timeout);
    let limit = usize::try_from(route.body_limit).unwrap_or(usize::MAX);
    let limit = limit.min(worker.state.settings.limits.body_bytes);
    let load = &worker.state.caller_load;
    let mut answer_memory = load.reserve_answer(&route.name).ok_or_else(|| {
        Refusal::new(Code::Overloaded, "answers that aren't read take all the memory")
    })?;
    let unfinished = begin_body(worker, req, payload)?;
    let mut body_memory = worker.state.body_memory.reservation(0);
    let body = read_body(payload, limit, timeout, &mut body_memory).await;
    let body = body.map_err(|e| body_failure(&e, limit))?;
    drop(unfinished);
    check_key_again(worker, &table, &route, req)?;
    let deadline = deadline_before_end(worker, &route, started + timeout)?;
    let service = route.choose_service(worker.rng.borrow_mut().random()).clone();
    let versions = choose_versions(worker, &table, &route, &service, req);
    let mut request = to_port_request(req, body);
    remove_credentials(&table.configuration, names, &mut request.headers);
    let context = CallContext {
        versions,
        request,
        objective_at: started + latency_objective(&table, &route, &service),
        deadline,
        table,
        route,
        service,
        caller,
        account,
        depth,
        id: text_header(req.headers(), names.request_id),
        attempt_log: RefCell::default(),
        _body_memory: body_memory,
        rest: RefCell::default(),
        last_tried: RefCell::default(),
    };
    let context = Rc::new(context);
    let reply = run(worker, context.clone()).await;
    let rest = context.rest.take().filter(|_| matches!(reply, PeerReply::Answered(_)));
    if rest.is_none() {
        observe(worker, &context, &reply, started.elapsed());
    }
    let name = &context.route.name;
    match reply {
        PeerReply::Answered(answer) => {
            let response = match rest {
                Some(rest) => {
                    let context = context.clone();
                    let end = AnswerEnd::new(worker, context, answer.status, started);
                    streamed_answer::response(answer, rest, end, answer_memory)
                }
                None => {
                    load.hold_answer(name, answer.body.len(), &mut answer_memory);
                    answer_response(answer, answer_memory)
                }
            };
            response.extensions_mut().insert(AnswerOrder::of_entered(&context, worker.state.now()));
            Ok(response)
        }
        PeerReply::Failed(code) => {
            let retry_after = link_room::retry_delay(worker, &context, code);
            let refusal = Refusal::new(code, format!("route {name}: {code}"));
            Err(Refusal { is_logged: true, retry_after, ..refusal })
        }
    }
}

/// Refuses a request whose key was removed while its body arrived.
fn check_key_again(
    worker: &Worker,
    table: &Table,
    route: &Route,
    req: &Request,
) -> Result<(), Refusal> {
    let newest = worker.state.control.table().filter(|newest| newest.version != table.version);
    let Some(newest) = newest else { return Ok(()) };
    let result = authenticate(&newest.configuration, route, req.headers());
    result.map(drop).map_err(|_| Refusal::new(Code::UnknownKey, "the key was removed"))
}

/// Takes a token of the account's quota for a request.
///
/// A refused caller is told to return when there is room, spread over a quarter of that time,
/// because all callers of the account are told the same.
async fn take_token(
    worker: &Rc<Worker>,
    account: &Account,
    table: &Table,
    route: &Route,
) -> Result<(), Refusal> {
    let objective = latency_objective(table, route, &route.split[0].service);
    let Err(QuotaExceeded { retry_after }) = ask::admit(worker, account, objective).await else {
        return Ok(());
    };
    let spread: f64 = worker.rng.borrow_mut().random();
    let retry_after = Some(retry_after.mul_f64(1.0 + spread / 4.0));
    let detail = format!("account {} has used up its quota", account.name);
    Err(Refusal { retry_after, ..Refusal::new(Code::QuotaExceeded, detail) })
}

/// Counts the body of a request as unfinished, or refuses it if too many are.
fn begin_body(
    worker: &Worker,
    req: &Request,
    payload: &Payload,
) -> Result<Option<UnfinishedBody>, Refusal> {
    if matches!(payload, Payload::None) {
        return Ok(None);
    }
    let stated = number_header::<u64>(req.headers(), LENGTH_HEADER);
    match worker.state.caller_load.begin_body(stated) {
        Some(body) => Ok(Some(body)),
        None => {
            let tags = [Tag { key: "cause", value: "unfinished" }];
            worker.state.metrics.count(Counter::SlowCallers, 1, &tags);
            Err(Refusal::new(Code::Overloaded, "too many bodies are unfinished"))
        }
    }
}

/// Chooses the backend server versions for a request.
///
/// Requests with an idempotency key are assigned by a hash of the key, so that a repeated
/// request gets the same version. Others are assigned at random: an assignment by caller
/// would send all requests of a busy caller to a version with little evidence.
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

/// Returns the latency objective of a request, the time within which an answer counts as
/// fast.
///
/// It is that of the route, else that of the service, else the timeout of the route.
fn latency_objective(table: &Table, route: &Route, service: &ServiceName) -> Duration {
    let of_service = || table.services.get(service).map(|s| s.service.objective.latency);
    route.objective.or_else(of_service).unwrap_or(route.timeout)
}

/// Returns the deadline of a request whose body has been read: that of its caller or, at a
/// stopping node, a moment before the node's end.
fn deadline_before_end(
    worker: &Worker,
    route: &Route,
    deadline: Instant,
) -> Result<Instant, Refusal> {
    let until_end = worker.state.until_end();
    if until_end.is_none() {
        return Ok(deadline);
    }
    let average_latency = worker.state.calls.balancer.lock().route_latency(&route.name);
    let now = Instant::now();
    before_end(deadline.saturating_duration_since(now), until_end, average_latency)
        .map(|left| now + left)
        .map_err(|code| Refusal::new(code, "the node stops before the request can end"))
}

pub(super) fn observe(worker: &Worker, context: &CallContext, reply: &PeerReply, took: Duration) {
    let endpoint = context.last_tried.borrow();
    let call = EndedCall {
        table: &context.table,
        route: &context.route,
        service: &context.service,
        endpoint: endpoint.as_deref(),
        result: match reply {
            PeerReply::Answered(answer) => Ok(answer.status),
            PeerReply::Failed(code) => Err(*code),
        },
        took,
    };
    burn::record_call(&worker.state, &call);
    attempt_log::log_request_end(&worker.state, context, reply, took);
}

fn body_failure(error: &BodyError, limit: usize) -> Refusal {
    match error {
        BodyError::TooLarge => {
            Refusal::new(Code::BodyTooLarge, format!("the route takes {limit} bytes"))
        }
        BodyError::Broken => Refusal::new(Code::BadRequest, "the body ended early"),
        BodyError::NoMemory => {
            Refusal::new(Code::Overloaded, "the bodies of other requests take all the memory")
        }
        BodyError::Stalled => Refusal::new(Code::TooSlowCaller, "the body made no progress"),
        BodyError::TooSlow => Refusal::new(Code::DeadlineBeforeStart, "the body came too slowly"),
    }
}

/// Dispatches the request.
///
/// A request that the ledger records runs in a task of its own and continues when its
/// caller disconnects, so that the caller's next attempt finds the answer. At the drain limit
/// of a stopping node the caller gets a reply in place of a cut connection; the request runs on.
async fn run(worker: &Rc<Worker>, context: Rc<CallContext>) -> PeerReply {
    let (task_worker, task_context) = (worker.clone(), context.clone());
    let mut dispatched = Box::pin(async move { dispatch(&task_worker, &task_context).await });
    let ending = worker.state.ending.clone();
    if context.keyed().is_some() {
        let task = ntex::rt::spawn(dispatched);
        return tokio::select! {
            reply = task => reply.unwrap_or(PeerReply::Failed(Code::SettleFailed)),
            () = ending.cancelled() => reply_at_end(&context),
        };
    }
    tokio::select! {
        reply = &mut dispatched => return reply,
        () = ending.cancelled() => {}
    }
    // Dropped, it would cancel the request.
    ntex::rt::spawn(dispatched).detach();
    reply_at_end(&context)
}

/// Returns the reply to a request that has no answer at the drain limit.
fn reply_at_end(context: &CallContext) -> PeerReply {
    match *context.last_tried.borrow() {
        Some(_) => PeerReply::Failed(Code::NodeStopped),
        None => PeerReply::Failed(Code::Leaving),
    }
}
