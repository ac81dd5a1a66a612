//! What a caller sends and gets.

use std::time::Duration;

/// Time after which a caller gives up, unless the request says otherwise.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A header as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Time after which the caller gives up.
    pub timeout: Duration,
    /// Whether the connection is closed after the answer.
    pub close: bool,
}

impl Request {
    /// A request without headers and body.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: TIMEOUT,
            close: false,
        }
    }

    /// A `GET`.
    pub fn get(target: &str) -> Self {
        Self::new("GET", target)
    }

    /// A `POST` with a body.
    pub fn post(target: &str, body: impl Into<Vec<u8>>) -> Self {
        Self { body: body.into(), ..Self::new("POST", target) }
    }

    /// A `PUT` with a body.
    pub fn put(target: &str, body: impl Into<Vec<u8>>) -> Self {
        Self { body: body.into(), ..Self::new("PUT", target) }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.into() });
        self
    }

    /// Adds the tag by which a backend server's ledger knows the request.
    pub fn tag(self, tag: &str) -> Self {
        self.header("X-Request-Tag", tag)
    }

    /// Adds an idempotency key.
    pub fn key(self, key: &str) -> Self {
        self.header("Idempotency-Key", key)
    }

    /// Sets the time after which the caller gives up.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Closes the connection after the answer.
    pub fn close(mut self) -> Self {
        self.close = true;
        self
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers in order, names in lower case.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns a header's value; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// Returns the result code of an answer that a node gave itself.
    pub fn code(&self) -> Option<u16> {
        self.header("savorykeel-code").and_then(|code| code.parse().ok())
    }

    /// Returns what a node says became of the request.
    pub fn outcome(&self) -> Option<&str> {
        self.header("savorykeel-outcome")
    }

    /// Returns the body as text, with replacements where it isn't.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// Why a caller got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection ended before the answer was whole.
    #[error("cut: {0}")]
    Cut(String),
    /// No whole answer came in time.
    #[error("no whole answer in time")]
    TimedOut,
    /// The request can't be put on the wire.
    #[error("not a request: {0}")]
    Invalid(String),
}
