//! The backend server port over HTTP.
//!
//! A request counts as not sent only if no connection could be opened: a pooled connection
//! that closes during an exchange may have delivered the request. See
//! `docs/design/0004-settle.md`.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use ntex::http::header::{HeaderMap, HeaderName, HeaderValue};
use savorykeel_policy::server::rate::RequestRate;
use savorykeel_ports::{
    backend::{BackendError, BackendReply, BackendServer, RateNotice, ServerNotice},
    edge::HeaderNames,
    peer::{Header, HttpAnswer, HttpRequest},
};

use crate::body_memory::BodyMemory;
use crate::http1::{
    ConnectOptions, Connection, Exchange, ExchangeError, IncomingResponse, OutgoingRequest,
    ResponseHead,
};

/// Headers that apply to one connection only and are never forwarded.
pub const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Length of the body; an answer to HEAD carries the header without a body.
pub const LENGTH_HEADER: &str = "content-length";

/// Maximum size of the body of a backend server's answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Bytes of an answer's body that need no reservation of memory.
pub const UNRESERVED_ANSWER_BYTES: usize = 64 << 10;

/// Maximum time to open a connection to the backend server. It is on the same instance, so a
/// listener that takes longer no longer accepts connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a new connection has to stay open for its backend server to count as
/// listening. A process that ends closes its connections and its listener one after the other.
const LISTENING_CHECK_TIME: Duration = Duration::from_millis(10);

/// Idle time after which the system sends a TCP keepalive probe on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept if the backend server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the idle timeout stated by the backend server during which a connection is
/// reused, so that a request isn't sent while the server closes the connection.
const IDLE_FRACTION: f64 = 0.7;

/// Status of an answer from a backend server that isn't the expected one.
const MISDIRECTED_REQUEST: u16 = 421;

/// Statuses by which callers are told that their request didn't run.
const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED_REQUEST, 429, 503];

/// Value of the header by which a backend server says that it is leaving.
const LEAVING: &[u8] = b"1";

/// HTTP client of the local backend server.
#[derive(Clone)]
pub struct HttpBackend {
    addr: SocketAddr,
    pool: Rc<Pool>,
    names: HeaderNames,
    memory: BodyMemory,
}

/// Pool of connections to one backend server.
struct Pool {
    limit: usize,
    open: Cell<usize>,
    /// Whether an answer of the server has repeated the request id.
    has_repeated_id: Cell<bool>,
    /// Idle connections; the most recently used one is last.
    idle: RefCell<Vec<IdleConnection>>,
}

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Counts a connection as open until dropped.
struct ConnectionLease {
    connection: Option<Connection>,
    /// Whether the connection was open before this exchange.
    is_reused: bool,
    pool: Rc<Pool>,
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
    }
}

impl HttpBackend {
    /// Creates a client that opens at most `connections` connections to `addr` and takes
    /// the memory for large answers from `memory`.
    pub fn new(
        addr: SocketAddr,
        connections: usize,
        names: HeaderNames,
        memory: BodyMemory,
    ) -> Self {
        let pool = Pool {
            limit: connections.max(1),
            open: Cell::new(0),
            has_repeated_id: Cell::new(false),
            idle: RefCell::default(),
        };
        Self { addr, pool: Rc::new(pool), names, memory }
    }

    async fn acquire_connection(&self) -> Result<ConnectionLease, BackendError> {
        if self.pool.open.get() >= self.pool.limit {
            return Err(BackendError::NotSent("all connections are in use".into()));
        }
        self.pool.open.set(self.pool.open.get() + 1);
        let connection = self.pool.take_idle();
        let is_reused = connection.is_some();
        let mut lease = ConnectionLease { connection, is_reused, pool: self.pool.clone() };
        if !is_reused {
            let opened = self.open_connection().await;
            lease.connection = Some(opened.map_err(|e| BackendError::NotSent(e.to_string()))?);
        }
        Ok(lease)
    }

    async fn open_connection(&self) -> io::Result<Connection> {
        let options = ConnectOptions {
            source: None,
            timeout: CONNECT_TIMEOUT,
            keepalive_interval: KEEPALIVE_INTERVAL,
        };
        Connection::open(self.addr, &options).await
    }

    async fn exchange(&self, req: &HttpRequest) -> Result<IncomingResponse, BackendError> {
        let mut lease = self.acquire_connection().await?;
        let Some(mut connection) = lease.connection.take() else {
            return Err(BackendError::NotSent("no connection".into()));
        };
        let head = request_head(req);
        let outgoing = OutgoingRequest {
            head: &head,
            body: &req.body,
            is_bodiless: req.method == "HEAD",
            limit: MAX_ANSWER_BYTES,
        };
        let id = req.headers.iter().find(|header| header.name == self.names.request_id);
        let is_reused = lease.is_reused;
        let is_expected = |head: &ResponseHead| self.is_expected(head, id, is_reused);
        let mut reservation = self.memory.reservation(UNRESERVED_ANSWER_BYTES);
        let exchange = connection.exchange(outgoing, &mut reservation, is_expected).await;
        let Exchange { response, is_reusable } = exchange.map_err(to_backend_error)?;
        if id.is_some_and(|id| response.head.header(&id.name).is_some()) {
            self.pool.has_repeated_id.set(true);
        }
        if is_reusable {
            let stated = response.head.idle_timeout;
            let idle_timeout = stated.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.mul_f64(IDLE_FRACTION));
            self.pool.put_idle(connection, idle_timeout);
        }
        Ok(response)
    }

    /// Returns whether a response belongs to the request: it repeats the request id or, where
    /// that proves nothing, has none.
    ///
    /// A response that remained from an earlier exchange on the connection carries the id of
    /// that exchange, or none if a faulty server sent it. Where all servers repeat the id and this
    /// one has done so, a response without it on a connection that was used before is therefore
    /// not taken for the answer, whatever its status. A server that never repeats the id is
    /// trusted, apart from refusals: taken for a refusal of this request, an old one would deny
    /// that the request runs.
    fn is_expected(&self, head: &ResponseHead, id: Option<&Header>, is_reused: bool) -> bool {
        let Some(id) = id else { return true };
        match head.header(&id.name) {
            Some(echo) => echo == id.value,
            None if !(self.names.answers_repeat_id && is_reused) => true,
            None => !self.pool.has_repeated_id.get() && !self.is_refusal(head),
        }
    }

    fn is_refusal(&self, head: &ResponseHead) -> bool {
        let is_marked = self.names.not_run.is_some_and(|name| head.header(name).is_some());
        is_marked || NOT_RUN_STATUSES.contains(&head.status)
    }

    /// Returns the answer to the request, or that the backend server did not run it.
    fn answer(
        &self,
        response: IncomingResponse,
        req: &HttpRequest,
    ) -> Result<HttpAnswer, BackendError> {
        let status = response.head.status;
        let has_header = |name| response.head.header(name).is_some();
        if self.names.not_run.is_some_and(has_header) {
            return Err(BackendError::NotRun(status));
        }
        if status == MISDIRECTED_REQUEST && self.names.expected_server.is_some() {
            return Err(BackendError::NotRun(status));
        }
        Ok(to_answer(response.head, response.body, req))
    }

    /// Returns what an answer tells about the backend server.
    fn notice(&self, head: &ResponseHead) -> ServerNotice {
        let rate = match self.names.stated_rate.and_then(|name| head.header(name)) {
            None => RateNotice::Unlimited,
            Some(value) => parse_rate(value).map_or(RateNotice::Unreadable, RateNotice::Limited),
        };
        let leaving = self.names.leaving.and_then(|name| head.header(name));
        let is_leaving = leaving.is_some_and(|value| value.trim_ascii() == LEAVING);
        ServerNotice { rate, is_leaving }
    }
}

fn parse_rate(value: &[u8]) -> Option<RequestRate> {
    let per_second: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    RequestRate::try_from(per_second).ok()
}

impl Pool {
    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.expires_at > now);
        while let Some(idle) = idle.pop() {
            if idle.connection.is_clean() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: Connection, idle_timeout: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.limit {
            idle.push(IdleConnection { connection, expires_at: Instant::now() + idle_timeout });
        }
    }
}

impl BackendServer for HttpBackend {
    async fn run(&self, req: &HttpRequest, timeout: Duration) -> BackendReply {
        let response = tokio::time::timeout(timeout, self.exchange(req)).await;
        match response.unwrap_or(Err(BackendError::TimedOut)) {
            Ok(response) => {
                let notice = Some(self.notice(&response.head));
                BackendReply { result: self.answer(response, req), notice }
            }
            Err(e) => BackendReply { result: Err(e), notice: None },
        }
    }

    /// The connection goes to the pool, in place of the one whose loss led to this check.
    async fn is_listening(&self) -> bool {
        let Ok(connection) = self.open_connection().await else { return false };
        tokio::time::sleep(LISTENING_CHECK_TIME).await;
        let is_open = connection.is_clean();
        if is_open {
            self.pool.put_idle(connection, DEFAULT_IDLE_TIMEOUT);
        }
        is_open
    }
}

fn to_backend_error(e: ExchangeError) -> BackendError {
    match e {
        ExchangeError::Lost(problem) => BackendError::Lost(problem),
        ExchangeError::Malformed(problem) => BackendError::BadAnswer(problem),
    }
}

fn request_head(req: &HttpRequest) -> Vec<u8> {
    let mut head = Vec::with_capacity(256);
    head.extend_from_slice(format!("{} {} HTTP/1.1\r\n", req.method, req.target).as_bytes());
    for header in &req.headers {
        head.extend_from_slice(header.name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(&header.value);
        head.extend_from_slice(b"\r\n");
    }
    let has_body = !req.body.is_empty() || matches!(req.method.as_str(), "POST" | "PUT" | "PATCH");
    if has_body {
        head.extend_from_slice(format!("{LENGTH_HEADER}: {}\r\n", req.body.len()).as_bytes());
    }
    head.extend_from_slice(b"\r\n");
    head
}

fn to_answer(head: ResponseHead, body: Vec<u8>, req: &HttpRequest) -> HttpAnswer {
    let is_head = req.method == "HEAD";
    let connection_specific: Vec<String> = connection_tokens(&head.headers);
    let is_forwarded = |header: &Header| {
        let name = header.name.as_str();
        (name == LENGTH_HEADER && is_head) || is_end_to_end(name, &connection_specific)
    };
    let status = head.status;
    let headers = head.headers.into_iter().filter(is_forwarded).collect();
    HttpAnswer { status, headers, body, missing: 0 }
}

/// Returns the header names listed in `Connection`; those headers are not forwarded.
fn connection_tokens(headers: &[Header]) -> Vec<String> {
    let values = headers.iter().filter(|header| header.name == "connection");
    let texts = values.filter_map(|header| std::str::from_utf8(&header.value).ok());
    let options = texts.flat_map(|text| text.split(','));
    options.map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn is_end_to_end(name: &str, connection_specific: &[String]) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name)
        && name != LENGTH_HEADER
        && name != "expect"
        && !connection_specific.iter().any(|other| other == name)
}

/// Copies headers into an ntex header map; headers that are invalid there are omitted.
pub fn copy_headers(from: &[Header], to: &mut HeaderMap) {
    for header in from {
        let name = HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

/// Returns the headers of a message without those that apply to one connection only.
///
/// `Connection` may list further such headers. The length is omitted too, because every
/// message is buffered and framed again, and so is `Expect`, which the node itself has
/// answered.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let to_header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    let mut headers: Vec<Header> = headers.iter().map(to_header).collect();
    let connection_specific = connection_tokens(&headers);
    headers.retain(|header| is_end_to_end(&header.name, &connection_specific));
    headers
}
