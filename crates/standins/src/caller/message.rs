//! Requests that a caller sends, their answers and errors.

use std::time::Duration;

/// Default timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP header with a text value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// An HTTP request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in the order in which they are sent.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Time within which the complete answer must arrive.
    pub timeout: Duration,
    /// Whether to close the connection after the answer.
    pub close: bool,
}

impl Request {
    /// Returns a request without headers and body, with a timeout of 30 s.
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

    /// Returns a `GET` request.
    pub fn get(target: &str) -> Self {
        Self::new("GET", target)
    }

    /// Returns a `POST` request with a body.
    pub fn post(target: &str, body: impl Into<Vec<u8>>) -> Self {
        Self { body: body.into(), ..Self::new("POST", target) }
    }

    /// Returns a `PUT` request with a body.
    pub fn put(target: &str, body: impl Into<Vec<u8>>) -> Self {
        Self { body: body.into(), ..Self::new("PUT", target) }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.into() });
        self
    }

    /// Adds the tag that identifies the request in a backend server's ledger.
    pub fn tag(self, tag: &str) -> Self {
        self.header("X-Request-Tag", tag)
    }

    /// Adds an idempotency key.
    pub fn key(self, key: &str) -> Self {
        self.header("Idempotency-Key", key)
    }

    /// Sets the time within which the complete answer must arrive.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Requests that the connection is closed after the answer.
    pub fn close(mut self) -> Self {
        self.close = true;
        self
    }
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers in order, with names in lower case.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns a header's value; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// Returns the result code if a node itself created the answer.
    pub fn code(&self) -> Option<u16> {
        self.header("savorykeel-code").and_then(|code| code.parse().ok())
    }

    /// Returns the request's outcome as reported by a node.
    pub fn outcome(&self) -> Option<&str> {
        self.header("savorykeel-outcome")
    }

    /// Returns the body as text; invalid UTF-8 is replaced by U+FFFD.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// Reason why a caller got no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection ended before the answer was complete.
    #[error("connection ended before the answer was complete: {0}")]
    Cut(String),
    /// The complete answer didn't arrive within the timeout.
    #[error("no complete answer within the timeout")]
    TimedOut,
    /// The request isn't valid HTTP, so that it can't be sent.
    #[error("not a request: {0}")]
    Invalid(String),
}
