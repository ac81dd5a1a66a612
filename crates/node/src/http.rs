//! HTTP towards callers and the backend server: requests in, answers out.

use std::io;

use ntex::http::{Payload, Request, Response, StatusCode, header::HeaderMap};
use savorykeel_adapters::backend::{copy_headers, end_to_end_headers};
use savorykeel_policy::code::Code;
use savorykeel_ports::peer::{HttpAnswer, HttpRequest};
use serde::Serialize;

/// Carries the number of a result code on the node's own answers.
pub(crate) const CODE_HEADER: &str = "savorykeel-code";

/// Carries the outcome on every answer.
pub(crate) const OUTCOME_HEADER: &str = "savorykeel-outcome";

/// Carries the milliseconds left until the deadline, in and out.
pub(crate) const DEADLINE_HEADER: &str = "savorykeel-deadline-ms";

/// Carries the number of calls above this one.
pub(crate) const DEPTH_HEADER: &str = "savorykeel-depth";

/// Carries the attempt's id towards the backend server.
pub(crate) const REQUEST_ID_HEADER: &str = "savorykeel-request-id";

/// Carries the caller's key for a request that it may send again.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// JSON body of the node's own answers.
#[derive(Serialize)]
struct CodeBody {
    code: u16,
    name: Code,
    outcome: savorykeel_policy::code::Outcome,
    detail: String,
}

/// Why a request's body could not be read.
pub(crate) enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// The caller broke off or broke the protocol.
    Broken,
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read_body(mut payload: Payload, limit: usize) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Makes a port request of an HTTP request whose body was read.
pub(crate) fn to_port_request(req: &Request, body: Vec<u8>) -> HttpRequest {
    let target = req.uri().path_and_query().map_or("/", |target| target.as_str());
    HttpRequest {
        method: req.method().as_str().to_owned(),
        target: target.to_owned(),
        headers: end_to_end_headers(req.headers()),
        body,
    }
}

/// Reads a header that holds a number.
pub(crate) fn number_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Makes the response for a backend server's answer.
pub(crate) fn answer_response(answer: HttpAnswer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status).body(answer.body);
    copy_headers(&answer.headers, response.headers_mut());
    response.headers_mut().insert(
        ntex::http::header::HeaderName::from_static(OUTCOME_HEADER),
        ntex::http::header::HeaderValue::from_static("answered"),
    );
    response
}

/// Makes the response for a result code.
pub(crate) fn code_response(code: Code, detail: impl Into<String>) -> Response {
    let status =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let body = CodeBody {
        code: code.number(),
        name: code,
        outcome: code.outcome(),
        detail: detail.into(),
    };
    let outcome: &'static str = code.outcome().into();
    Response::build(status)
        .header(CODE_HEADER, code.number().to_string())
        .header(OUTCOME_HEADER, outcome)
        .json(&body)
}

/// Result of the HTTP services; they answer every request themselves.
pub(crate) type HttpResult = Result<Response, io::Error>;
