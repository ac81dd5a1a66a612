//! The operators' API over HTTP, on the operators' address.
//!
//! Paths contain the version of the API. Requests that read are open to every client
//! that reaches the address; requests that write need the bearer token. The paths
//! are described in `docs/operating/api.md`.

pub mod api;
mod burn;
mod evacuation;
mod publish;
mod query;
mod status;
mod token;

use std::{rc::Rc, sync::Arc};

use ntex::http::{Method, Request, Response, StatusCode};
use savorykeel_policy::{code::Code, distribution::message::Topic};
use serde::Serialize;

use crate::{
    http::{HttpResult, discard_body},
    state::NodeState,
    worker::Worker,
};

use api::{ApiError, BURN_PATH, CONFIGURATION_PATH, EVACUATIONS_PATH, PUBLISHES_PATH, STATUS_PATH};

/// Answers an operator's request.
pub(crate) async fn handle(worker: Rc<Worker>, mut req: Request) -> HttpResult {
    let mut payload = req.take_payload();
    let state = &worker.state;
    let path = req.path().to_owned();
    let response = match (req.method(), path.as_str()) {
        (&Method::GET, STATUS_PATH) => json_response(StatusCode::OK, &status::report(state).await),
        (&Method::GET, BURN_PATH) => burn::answer(state).await,
        (&Method::GET, CONFIGURATION_PATH) => configuration(state),
        (&Method::GET, EVACUATIONS_PATH) => {
            json_response(StatusCode::OK, &evacuation::report(state).await)
        }
        (&Method::POST, EVACUATIONS_PATH) => evacuation::request(state, &req, &mut payload).await,
        (&Method::POST, PUBLISHES_PATH) => publish::publish(state, &req, &mut payload).await,
        (&Method::GET, path) if is_publish_path(path) => publish::outcome(state, &req).await,
        (method, _) => api_error(Code::NotFound, format!("no {method} {path} here")),
    };
    discard_body(&mut payload).await;
    Ok(response)
}

/// Registers the handler for queries that other nodes send on behalf of operators.
pub(crate) fn register_query_handler(state: &Arc<NodeState>) {
    // A strong reference would be a cycle, because the node's state owns the control state.
    let weak_state = Arc::downgrade(state);
    let handler = move |body: &[u8]| {
        weak_state.upgrade().map_or_else(Vec::new, |state| query::handle(&state, body))
    };
    state.control.set_topic_handler(Topic::Operators, Arc::new(handler));
}

fn is_publish_path(path: &str) -> bool {
    path.strip_prefix(PUBLISHES_PATH).is_some_and(|rest| rest.starts_with('/'))
}

fn configuration(state: &NodeState) -> Response {
    match state.control.published() {
        Some(published) => json_response(StatusCode::OK, &published),
        None => api_error(Code::NoConfiguration, "this node has not read a configuration yet"),
    }
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    Response::build(status).json(body)
}

fn api_error(code: Code, detail: impl Into<String>) -> Response {
    let status =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    json_response(status, &ApiError { code: code.number(), name: code, detail: detail.into() })
}
