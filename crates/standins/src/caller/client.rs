//! An HTTP client with a blocking interface, for tests and the demo.

use std::{future::Future, io, net::SocketAddr};

use ntex::{
    SharedCfg,
    client::{
        self, ClientResponse, Connector,
        error::{ClientError, ConnectError},
    },
    http::{Method, error::PayloadError},
    time::Millis,
    util::{Bytes, BytesMut},
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::thread::OwnedThread;

use super::{CallError, Header, Reply, Request};

/// Maximum number of open connections.
///
/// It isn't 0, which ntex treats as "no limit": its pool then never wakes the
/// requests that wait while another connection is being opened.
const MAX_CONNECTIONS: usize = 4_096;

/// A call passed to the client's thread.
struct Job {
    addr: SocketAddr,
    req: Request,
    tx: oneshot::Sender<Result<Reply, CallError>>,
}

/// A client that sends requests from its own thread, many of them concurrently
/// if [`Client::send`] is used.
pub struct Client {
    jobs: mpsc::UnboundedSender<Job>,
    _thread: OwnedThread,
}

/// A call that may not have ended yet.
pub struct Pending {
    rx: oneshot::Receiver<Result<Reply, CallError>>,
}

impl Pending {
    /// Waits for the complete answer.
    pub fn wait(self) -> Result<Reply, CallError> {
        self.rx
            .blocking_recv()
            .unwrap_or_else(|_| Err(CallError::Cut("the client thread has stopped".into())))
    }
}

impl Client {
    /// Starts the client's thread.
    pub fn start() -> io::Result<Self> {
        let (jobs, mut rx) = mpsc::unbounded_channel::<Job>();
        let thread = OwnedThread::start("caller", CancellationToken::new(), move |_| async move {
            let Ok(client) = AsyncClient::new().await else { return };
            while let Some(job) = rx.recv().await {
                let client = client.clone();
                ntex::rt::spawn(async move {
                    // The receiver may have been dropped.
                    let _ = job.tx.send(client.call(job.addr, &job.req).await);
                });
            }
        })?;
        Ok(Self { jobs, _thread: thread })
    }

    /// Sends a request and returns without waiting for the answer.
    pub fn send(&self, addr: SocketAddr, req: Request) -> Pending {
        let (tx, rx) = oneshot::channel();
        // If the thread has ended, the call ends with `CallError::Cut`.
        let _ = self.jobs.send(Job { addr, req, tx });
        Pending { rx }
    }

    /// Sends a request and waits for the complete answer.
    pub fn call(&self, addr: SocketAddr, req: Request) -> Result<Reply, CallError> {
        self.send(addr, req).wait()
    }
}

/// The asynchronous client that [`Client`] and [`Load`](super::Load) use.
#[derive(Clone)]
pub(crate) struct AsyncClient {
    client: client::Client,
}

impl AsyncClient {
    pub(crate) async fn new() -> Result<Self, client::error::ClientBuilderError> {
        let cfg: SharedCfg = SharedCfg::new("caller").into();
        let builder = client::Client::builder()
            .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .response_payload_limit(0)
            .response_payload_timeout(Millis::ZERO);
        Ok(Self { client: builder.build(cfg).await? })
    }

    pub(crate) async fn call(&self, addr: SocketAddr, req: &Request) -> Result<Reply, CallError> {
        let exchange = self.exchange(addr, req);
        tokio::time::timeout(req.timeout, exchange).await.unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(&self, addr: SocketAddr, req: &Request) -> Result<Reply, CallError> {
        let method = Method::from_bytes(req.method.as_bytes())
            .map_err(|e| CallError::Invalid(e.to_string()))?;
        let url = format!("http://{addr}{}", req.target);
        let mut builder = self.client.request(method, url).no_decompress();
        for header in &req.headers {
            builder = builder.header(header.name.as_str(), header.value.as_str());
        }
        if req.close {
            builder = builder.force_close();
        }
        let sent = if req.body.is_empty() {
            builder.send().await
        } else {
            builder.send_body(Bytes::from(req.body.clone())).await
        };
        let response = sent.map_err(|e| to_call_error(&e))?;
        let body = read_body(&response).await.map_err(|e| CallError::Cut(e.to_string()))?;
        Ok(Reply { status: response.status().as_u16(), headers: headers(&response), body })
    }
}

fn read_body(response: &ClientResponse) -> impl Future<Output = Result<Vec<u8>, PayloadError>> {
    let mut payload = response.take_payload();
    async move {
        let mut body = BytesMut::new();
        while let Some(chunk) = std::future::poll_fn(|cx| payload.poll_recv(cx)).await {
            body.extend_from_slice(&chunk?);
        }
        Ok(body.to_vec())
    }
}

fn headers(response: &ClientResponse) -> Vec<Header> {
    let to_header =
        |(name, value): (&ntex::http::header::HeaderName, &ntex::http::header::HeaderValue)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            Header { name: name.as_str().to_owned(), value }
        };
    response.headers().iter().map(to_header).collect()
}

fn to_call_error(e: &ClientError) -> CallError {
    match e {
        ClientError::Connect(e) if is_before_send(e) => CallError::NotSent(e.to_string()),
        ClientError::Timeout => CallError::TimedOut,
        e => CallError::Cut(e.to_string()),
    }
}

/// Returns whether a connect error occurred before the request was sent.
///
/// ntex also reports a connection that was closed after the request was sent as
/// a connect error, without a cause.
fn is_before_send(e: &ConnectError) -> bool {
    match e {
        ConnectError::Disconnected(Some(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        ConnectError::Disconnected(None) => false,
        _ => true,
    }
}
