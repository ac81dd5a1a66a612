//! HTTP client of the operators' API.

use std::{io, net::SocketAddr, path::Path, time::Duration};

use anyhow::Context;
use ntex::{
    client::{
        Client, ClientRequest, ClientResponse,
        error::{ClientError as SendError, ConnectError},
    },
    http::StatusCode,
    rt::{DefaultRuntime, System},
    time::Millis,
};
use savorykeel_node::admin::api::ApiError;
use serde::{Serialize, de::DeserializeOwned};

/// Time-out of one request, in addition to the time that the API is asked to wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Reason why a request to the API did not return the expected answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection could be opened, so nothing was sent.
    #[error("the operators' API at {addr} can't be reached: {problem}")]
    Unreachable {
        /// Address of the API.
        addr: SocketAddr,
        /// What went wrong.
        problem: String,
    },
    /// No complete answer arrived, although the request may have been sent. A request
    /// that writes may have taken effect.
    #[error("the operators' API at {addr} did not answer: {problem}")]
    NoAnswer {
        /// Address of the API.
        addr: SocketAddr,
        /// What went wrong.
        problem: String,
    },
    /// The API answered with a result code.
    #[error("{} ({}): {}", .0.name, .0.code, .0.detail)]
    Refused(ApiError),
    /// The answer is not JSON or doesn't have the expected fields.
    #[error("invalid answer from {addr} with status {status}: {problem}")]
    Malformed {
        /// Address of the API.
        addr: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// What is wrong with the answer.
        problem: String,
    },
}

/// A client of the operators' API of one node.
pub struct ApiClient {
    addr: SocketAddr,
    token: Option<String>,
}

impl ApiClient {
    /// Returns a client of the API at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, token: None }
    }

    /// Sends the bearer token in `file` with each request.
    pub fn with_token_file(mut self, file: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("the token file {} can't be read", file.display()))?;
        self.token = Some(text.trim().to_owned());
        Ok(self)
    }

    /// Sends a `GET` to `path` and reads the answer.
    ///
    /// `wait` is the time that the API is asked to wait before it answers; it extends
    /// the time-out.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let client = Client::new().await;
        let req = self.prepare(client.get(self.url(path)), wait);
        self.read_response(req.send().await).await
    }

    /// Sends `body` to `path` with a `POST` and reads the answer; `wait` as in
    /// [`ApiClient::get`].
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let client = Client::new().await;
        let req = self.prepare(client.post(self.url(path)), wait);
        self.read_response(req.send_json(body).await).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    fn prepare(&self, req: ClientRequest, wait: Duration) -> ClientRequest {
        let timeout = Millis((REQUEST_TIMEOUT + wait).as_millis() as u32);
        let req = req.timeout(timeout);
        match &self.token {
            Some(token) => req.bearer_auth(token),
            None => req,
        }
    }

    async fn read_response<T: DeserializeOwned>(
        &self,
        result: Result<ClientResponse, SendError>,
    ) -> Result<T, ClientError> {
        let response = result.map_err(|e| self.to_client_error(&e))?;
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body =
            body.map_err(|e| ClientError::NoAnswer { addr: self.addr, problem: e.to_string() })?;
        if let Ok(answer) = serde_json::from_slice(&body) {
            return Ok(answer);
        }
        match serde_json::from_slice(&body) {
            Ok(error) => Err(ClientError::Refused(error)),
            Err(e) => {
                Err(ClientError::Malformed { addr: self.addr, status, problem: e.to_string() })
            }
        }
    }

    fn to_client_error(&self, e: &SendError) -> ClientError {
        let (addr, problem) = (self.addr, e.to_string());
        match e {
            SendError::Connect(e) if is_before_send(e) => {
                ClientError::Unreachable { addr, problem }
            }
            _ => ClientError::NoAnswer { addr, problem },
        }
    }
}

/// Returns whether the error certainly occurred before the request was sent.
///
/// The HTTP client also reports a connection that ends later as a connect error, so
/// only a refused connection and errors other than a disconnection are certain.
fn is_before_send(e: &ConnectError) -> bool {
    match e {
        ConnectError::Disconnected(Some(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        ConnectError::Disconnected(None) => false,
        _ => true,
    }
}

/// Runs the requests of a command on the calling thread and returns their result.
pub fn block_on<F>(request: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    System::new("savorykeel", DefaultRuntime).block_on(request)
}
