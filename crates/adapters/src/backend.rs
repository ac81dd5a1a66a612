//! The backend server port over HTTP.
//!
//! A failure counts as "not sent" only when no connection could be opened: a
//! pooled connection that closes under a request may have carried it. The
//! reasons are in `docs/design/0004-settle.md`.

use std::{io, net::SocketAddr, time::Duration};

use ntex::{
    client::{
        Client, ClientResponse, Connector,
        error::{ClientError, ConnectError},
    },
    http::{
        Method,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    time::Millis,
};
use savorykeel_ports::{
    backend::{BackendError, BackendServer},
    peer::{Header, HttpAnswer, HttpRequest},
};

/// Headers that belong to one connection and are never passed on.
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

/// States the length of a body; an answer to HEAD has it without a body.
pub const LENGTH_HEADER: &str = "content-length";

/// Largest answer of a backend server, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The backend server beside the node, reached over HTTP.
#[derive(Clone)]
pub struct HttpBackend {
    addr: SocketAddr,
    client: Client,
}

impl HttpBackend {
    /// Opens at most `connections` connections to the backend server at `addr`.
    pub async fn new(addr: SocketAddr, connections: usize) -> Result<Self, BackendError> {
        let connector = Connector::new().limit(connections.max(1));
        let client = Client::builder()
            .connector::<Connector>(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|e| BackendError::NotSent(e.to_string()))?;
        Ok(Self { addr, client })
    }
}

impl BackendServer for HttpBackend {
    async fn run(&self, req: &HttpRequest, timeout: Duration) -> Result<HttpAnswer, BackendError> {
        let method = Method::from_bytes(req.method.as_bytes())
            .map_err(|e| BackendError::NotSent(e.to_string()))?;
        let url = format!("http://{}{}", self.addr, req.target);
        let timeout = Millis(u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX).max(1));
        let mut out = self.client.request(method, url).no_decompress().timeout(timeout);
        copy_headers(&req.headers, out.headers_mut());
        let exchange = async {
            let response = out.send_body(req.body.clone()).await.map_err(classify)?;
            read_answer(response, req.method == "HEAD", timeout).await
        };
        match ntex::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(()) => Err(BackendError::TimedOut),
        }
    }
}

/// Copies the headers that may be passed on.
pub fn copy_headers(from: &[Header], to: &mut HeaderMap) {
    for header in from {
        let name = HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

/// Returns the headers of a message less those that belong to one connection.
///
/// `Connection` may name further headers that end with the connection. The
/// length is left out too, because every message is passed on whole and framed
/// anew, and so is `Expect`, which the node itself answered.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let named: Vec<String> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !HOP_BY_HOP_HEADERS.contains(&name)
                && name != LENGTH_HEADER
                && name != "expect"
                && !named.iter().any(|other| other == name)
        })
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

async fn read_answer(
    response: ClientResponse,
    is_head: bool,
    timeout: Millis,
) -> Result<HttpAnswer, BackendError> {
    let status = response.status().as_u16();
    if response.status().is_informational() {
        // The client takes the first response for the last one, so what follows
        // an interim response is lost.
        return Err(BackendError::BadAnswer(format!("interim response {status}")));
    }
    let mut headers = end_to_end_headers(response.headers());
    if is_head {
        headers.extend(length_header(response.headers()));
    }
    let body = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .timeout(timeout)
        .await
        .map_err(|e| BackendError::BadAnswer(e.to_string()))?;
    Ok(HttpAnswer { status, headers, body: body.to_vec() })
}

/// Returns the length that an answer to HEAD states without having a body.
fn length_header(headers: &HeaderMap) -> Option<Header> {
    let value = headers.get(LENGTH_HEADER)?.as_bytes().to_vec();
    Some(Header { name: LENGTH_HEADER.to_owned(), value })
}

fn classify(error: ClientError) -> BackendError {
    let problem = error.to_string();
    match error {
        ClientError::Url(_) | ClientError::Http(_) => BackendError::NotSent(problem),
        ClientError::Connect(connect) if is_before_sending(&connect) => {
            BackendError::NotSent(problem)
        }
        ClientError::Response(_) => BackendError::BadAnswer(problem),
        ClientError::Timeout => BackendError::TimedOut,
        _ => BackendError::Lost(problem),
    }
}

/// Tells whether a connection failed before it could carry a request.
///
/// The client reports a connection that ended while the answer was awaited with
/// the same variant, but without an I/O error.
fn is_before_sending(error: &ConnectError) -> bool {
    match error {
        ConnectError::Disconnected(Some(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        ConnectError::Disconnected(None) => false,
        _ => true,
    }
}
