//! A client of the operators' API.

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

/// Longest time for one exchange besides the time that the API is asked to wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why the API gave no answer that the command wants.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection could be opened, so that nothing was sent.
    #[error("the operators' API at {addr} can't be reached: {problem}")]
    Unreachable {
        /// Address of the API.
        addr: SocketAddr,
        /// What went wrong.
        problem: String,
    },
    /// No answer came. A request that writes may have taken effect.
    #[error("the operators' API at {addr} gave no answer: {problem}")]
    NoAnswer {
        /// Address of the API.
        addr: SocketAddr,
        /// What went wrong.
        problem: String,
    },
    /// The API answered with a result code.
    #[error("{} ({}): {}", .0.name, .0.code, .0.detail)]
    Refused(ApiError),
    /// The answer can't be understood.
    #[error("the answer of {addr} with status {status} can't be understood: {problem}")]
    Malformed {
        /// Address of the API.
        addr: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// What is wrong with it.
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

    /// Shows the bearer token in `file` with each request.
    pub fn with_token_file(mut self, file: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("the token file {} can't be read", file.display()))?;
        self.token = Some(text.trim().to_owned());
        Ok(self)
    }

    /// Reads the answer to `path`; `wait` is how long the API is asked to wait.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, ClientError> {
        let client = Client::new().await;
        let req = self.prepare(client.get(self.url(path)), wait);
        self.read_response(req.send().await).await
    }

    /// Sends `body` to `path` and reads the answer.
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

/// Tells whether an error is sure to have come before the request was sent.
///
/// The client also calls it a connect error when a connection ends later on.
fn is_before_send(e: &ConnectError) -> bool {
    match e {
        ConnectError::Disconnected(Some(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        ConnectError::Disconnected(None) => false,
        _ => true,
    }
}

/// Runs a command's exchanges on the calling thread.
pub fn block_on<F>(request: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    System::new("savorykeel", DefaultRuntime).block_on(request)
}
