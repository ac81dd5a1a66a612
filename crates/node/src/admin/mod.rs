//! The operators' API over HTTP, on the operators' address.
//!
//! Paths carry the version of the API. Requests that read are open to whoever
//! reaches the address; requests that write need the bearer token. The paths
//! are described in `docs/operating/api.md`.

pub mod api;
mod burn;
mod status;

use std::rc::Rc;

use ntex::http::{Method, Request, Response, StatusCode};
use savorykeel_policy::code::Code;
use serde::Serialize;

use crate::{http::HttpResult, worker::Worker};

use api::ApiError;

/// Answers an operator's request.
pub(crate) async fn handle(worker: Rc<Worker>, req: Request) -> HttpResult {
    let path = req.path().to_owned();
    let response = match (req.method(), path.as_str()) {
        (&Method::GET, api::STATUS_PATH) => json(StatusCode::OK, &status::report(&worker.state)),
        (&Method::GET, api::BURN_PATH) => burn::answer(&worker.state),
        _ => error(Code::NotFound, format!("no {} {path} here", req.method())),
    };
    Ok(response)
}

fn json(status: StatusCode, body: &impl Serialize) -> Response {
    Response::build(status).json(body)
}

fn error(code: Code, detail: impl Into<String>) -> Response {
    let status =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    json(status, &ApiError { code: code.number(), name: code, detail: detail.into() })
}
