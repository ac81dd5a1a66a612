//! The HTTP server that the stand-ins share, built on ntex.

use std::{cell::Cell, future::Future, io, net, rc::Rc, time::Duration};

use ntex::{
    SharedCfg,
    http::{HttpService, HttpServiceConfig, Method, Payload, Request, Response, StatusCode},
    http::{error::PayloadError, header::HeaderMap},
    io::IoRef,
    service::{Pipeline, ServiceFactory, fn_service},
    time::Seconds,
    util::BytesMut,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio_util::sync::CancellationToken;

/// Time after which an idle keep-alive connection is closed.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Pause after a failed accept, for instance when file descriptors run out, so
/// that the accept loop doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A received request with its complete body.
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Query string without the `?`; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Vec<u8>,
    io: Option<IoRef>,
}

impl Call {
    /// Returns a header's value, or `None` if the header is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Closes the connection immediately, so that the caller gets no answer.
    pub fn close_connection(&self) {
        if let Some(io) = &self.io {
            io.terminate();
        }
    }

    /// Parses the body as JSON. The error is a 400 response that names the path
    /// of the invalid value.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response> {
        let mut de = serde_json::Deserializer::from_slice(&self.body);
        serde_path_to_error::deserialize(&mut de).map_err(|e| {
            let problem = format!("{}: {}\n", e.path(), e.inner());
            Response::build(StatusCode::BAD_REQUEST).body(problem)
        })
    }

    /// Returns the value of a query parameter. Percent-encoding isn't decoded.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    Response::build(status).json(value)
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response {
    Response::build(status).finish()
}

/// Serves HTTP/1.1 on a listener until the token is cancelled, then closes every
/// connection.
///
/// A connection above `max_connections` is closed immediately, as by a server
/// that has reached its connection limit.
pub async fn serve<H, F>(
    listener: net::TcpListener,
    stop: CancellationToken,
    max_connections: usize,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    // Dropped after the listener: a process that ends accepts nothing once its connections are
    // closed.
    let connections = CancellationToken::new();
    let _close_connections = connections.clone().drop_guard();
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service = fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { respond(req, handler).await }
    });
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE).set_client_timeout(Seconds::ZERO);
    let cfg: SharedCfg = SharedCfg::new("standin").add(http).into();
    let factory = HttpService::h1(service);
    let service = factory
        .create(cfg.clone())
        .await
        .map_err(|()| io::Error::other("failed to create the HTTP service"))?;
    let service = Pipeline::new(service);
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= max_connections {
            continue;
        }
        open.set(open.get() + 1);
        let io = ntex::rt::from_tcp_stream(stream.into_std()?, cfg.clone())?;
        let (service, connections, open) = (service.clone(), connections.clone(), open.clone());
        ntex::rt::spawn(async move {
            let io_ref = io.get_ref();
            tokio::select! {
                _ = service.call(io) => {}
                () = connections.cancelled() => io_ref.terminate(),
            }
            open.set(open.get() - 1);
        });
    }
}

async fn respond<H, F>(mut req: Request, handler: H) -> Result<Response, io::Error>
where
    H: Fn(Call) -> F,
    F: Future<Output = Response>,
{
    let Ok(body) = read_body(req.take_payload()).await else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let call = Call {
        method: req.method().clone(),
        path: req.path().to_owned(),
        query: req.uri().query().unwrap_or("").to_owned(),
        headers: req.headers().clone(),
        body,
        io: req.io().cloned(),
    };
    Ok(handler(call).await)
}

async fn read_body(mut payload: Payload) -> Result<Vec<u8>, PayloadError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = std::future::poll_fn(|cx| payload.poll_recv(cx)).await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body.to_vec())
}
