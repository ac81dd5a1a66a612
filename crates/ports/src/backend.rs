//! The backend server port.

use std::time::Duration;

use crate::peer::{HttpAnswer, HttpRequest};

/// Why a backend server gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// No byte of the request was sent, so that it can't have run.
    #[error("no connection to the backend server: {0}")]
    NotSent(String),
    /// The request was sent, at least in part, and no whole answer came.
    #[error("the backend server gave no whole answer: {0}")]
    Lost(String),
    /// The backend server answered that it did not run the request.
    #[error("the backend server did not run the request: status {0}")]
    NotRun(u16),
    /// The deadline passed after the request was sent.
    #[error("the backend server gave no answer in time")]
    TimedOut,
    /// The answer can't be parsed or is too large.
    #[error("the backend server's answer can't be used: {0}")]
    BadAnswer(String),
}

/// The backend server beside a node.
#[allow(async_fn_in_trait)]
pub trait BackendServer {
    /// Runs a request and returns the whole answer.
    async fn run(&self, req: &HttpRequest, timeout: Duration) -> Result<HttpAnswer, BackendError>;
}
