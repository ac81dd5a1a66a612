//! Conversions between HTTP messages and the node's own requests and answers, for
//! callers and the backend server.

use std::{
    error::Error,
    io,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use ntex::{
    http::{
        Payload, Request, Response, StatusCode,
        body::{Body, BodySize, MessageBody},
        error::PayloadError,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    util::Bytes,
};
use savorykeel_adapters::{
    backend::{LENGTH_HEADER, copy_headers, end_to_end_headers},
    body_memory::BodyReservation,
};
use savorykeel_policy::code::Code;
use savorykeel_ports::peer::{HttpAnswer, HttpRequest};
use serde::Serialize;

/// Header that carries the number of the result code on the node's own answers.
pub(crate) const CODE_HEADER: &str = "savorykeel-code";

/// Header that carries the outcome on every answer.
pub(crate) const OUTCOME_HEADER: &str = "savorykeel-outcome";

/// Header that carries the time in seconds after which a refused caller may retry.
const RETRY_AFTER_HEADER: &str = "retry-after";

/// Header that names the scheme of the missing credentials, which HTTP requires with 401.
const AUTHENTICATE_HEADER: &str = "www-authenticate";
/// Length up to which a body is received whatever other bodies take, in bytes. Usual orders of the
/// users are smaller.
pub(crate) const ORDINARY_BODY_BYTES: usize = 8 << 10;

/// Bytes of an answer that are passed to the connection at a time, so that what its reader hasn't
/// taken yet is held once.
const ANSWER_PIECE_BYTES: usize = 16 << 10;

/// Largest part of an unneeded body that is read before the answer, in bytes.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Longest time for which an answer waits for the rest of an unneeded body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Header that carries the caller's idempotency key of a request that it may resend.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// JSON body of the node's own answers.
#[derive(Serialize)]
struct CodeBody {
    code: u16,
    name: Code,
    outcome: savorykeel_policy::code::Outcome,
    detail: String,
}

/// Reason why the body of a request can't be read.
pub(crate) enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller closed the connection early or violated the protocol.
    Broken,
    /// The body did not arrive within the timeout.
    TooSlow,
    /// The body made too little progress, so that its connection is closed.
    Stalled,
    /// The bodies that the node holds already take all the memory for bodies.
    NoMemory,
}

/// Reads a whole body of at most `limit` bytes within `timeout`; memory for it is taken
/// from `reservation`.
pub(crate) async fn read_body(
    payload: &mut Payload,
    limit: usize,
    timeout: Duration,
    reservation: &mut BodyReservation,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    let read = async {
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|e| payload_failure(&e))?;
            if body.len() + chunk.len() > limit {
                return Err(BodyError::TooLarge);
            }
            make_room(&mut body, chunk.len(), limit, reservation)?;
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    tokio::time::timeout(timeout, read).await.unwrap_or(Err(BodyError::TooSlow))?;
    Ok(body)
}

fn payload_failure(error: &PayloadError) -> BodyError {
    match error {
        PayloadError::Incomplete(Some(e)) if e.kind() == io::ErrorKind::TimedOut => {
            BodyError::Stalled
        }
        _ => BodyError::Broken,
    }
}

/// Makes room for `more` bytes of a body and reserves what is allocated for it.
///
/// The capacity doubles as long as there is memory for that, and then grows by what is needed.
fn make_room(
    body: &mut Vec<u8>,
    more: usize,
    limit: usize,
    reservation: &mut BodyReservation,
) -> Result<(), BodyError> {
    let needed = body.len() + more;
    if needed <= body.capacity() {
        return Ok(());
    }
    let doubled = (body.capacity() * 2).clamp(needed, limit.max(needed));
    let mut capacity = doubled;
    if !reservation.grow_to(doubled) {
        capacity = needed;
        if needed <= ORDINARY_BODY_BYTES {
            reservation.hold(needed);
        } else if !reservation.grow_to(needed) {
            return Err(BodyError::NoMemory);
        }
    }
    body.reserve_exact(capacity - body.len());
    Ok(())
}

/// Reads and discards the rest of a body, bounded in size and time, so that the connection can
/// be used further.
pub(crate) async fn discard_body(payload: &mut Payload) {
    let mut remaining = MAX_DISCARDED_BYTES;
    let discard = async {
        while let Some(Ok(chunk)) = payload.recv().await {
            remaining = remaining.saturating_sub(chunk.len());
            if remaining == 0 {
                return;
            }
        }
    };
    // On a timeout the connection ends with the answer.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}

/// Builds the request that goes to the peer port from an HTTP request and its body.
pub(crate) fn to_port_request(req: &Request, body: Vec<u8>) -> HttpRequest {
    let target = req.uri().path_and_query().map_or("/", |target| target.as_str());
    HttpRequest {
        method: req.method().as_str().to_owned(),
        target: target.to_owned(),
        headers: end_to_end_headers(req.headers()),
        body: body.into(),
    }
}

/// Returns the value of a numeric header; `None` if it is absent or not a number.
pub(crate) fn number_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the value of a header as text; empty if it is absent or not visible ASCII.
pub(crate) fn text_header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Body of an answer to HEAD: declares a length in bytes, but has no content.
struct DeclaredLength(u64);

impl MessageBody for DeclaredLength {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.0)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        Poll::Ready(None)
    }
}

/// Body of an answer, sent in pieces; its memory counts as held until then.
struct HeldBody {
    rest: Bytes,
    _memory: BodyReservation,
}

impl MessageBody for HeldBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let piece = self.rest.split_to(self.rest.len().min(ANSWER_PIECE_BYTES));
        Poll::Ready(Some(Ok(piece)))
    }
}

/// Builds the response from a backend server's answer, whose body takes `memory`.
pub(crate) fn answer_response(mut answer: HttpAnswer, memory: BodyReservation) -> Response {
    let content = std::mem::take(&mut answer.body);
    let body = match declared_length(&answer) {
        Some(length) => Body::from_message(DeclaredLength(length)),
        None if content.len() <= ANSWER_PIECE_BYTES => Body::from(content),
        None => Body::from_message(HeldBody { rest: content.into(), _memory: memory }),
    };
    response_with_body(&answer, body)
}

/// Builds the response with the status and the headers of a backend server's answer.
pub(crate) fn response_with_body(answer: &HttpAnswer, body: Body) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status).body(body);
    copy_headers(&answer.headers, response.headers_mut());
    let outcome = HeaderName::from_static(OUTCOME_HEADER);
    response.headers_mut().insert(outcome, HeaderValue::from_static("answered"));
    response
}

/// Returns the length in bytes that an answer to HEAD declares.
///
/// Answers to other methods don't carry the header here.
fn declared_length(answer: &HttpAnswer) -> Option<u64> {
    let header = answer.headers.iter().find(|header| header.name == LENGTH_HEADER)?;
    std::str::from_utf8(&header.value).ok()?.parse().ok()
}

/// Builds the response for a result code; `detail` explains it in the body.
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
    let mut response = Response::build(status);
    response.header(CODE_HEADER, code.number().to_string()).header(OUTCOME_HEADER, outcome);
    if code == Code::UnknownKey {
        response.header(AUTHENTICATE_HEADER, "Bearer");
    }
    if let Some(retry_after) = code.retry_after() {
        response.header(RETRY_AFTER_HEADER, seconds(retry_after));
    }
    response.json(&body)
}

/// Replaces the retry delay of a response.
pub(crate) fn set_retry_after(response: &mut Response, retry_after: Duration) {
    if let Ok(value) = HeaderValue::try_from(seconds(retry_after)) {
        response.headers_mut().insert(HeaderName::from_static(RETRY_AFTER_HEADER), value);
    }
}

fn seconds(duration: Duration) -> String {
    format!("{:.3}", duration.as_secs_f64())
}

/// Result of the HTTP services, which report failures as responses rather than errors.
pub(crate) type HttpResult = Result<Response, io::Error>;
