//! Serves accepted connections on a worker thread.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use async_channel::Receiver;
use ntex::{
    Pipeline, Service, ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, Request, Response},
    io::Io,
    time::Seconds,
};
use savorykeel_adapters::{
    metrics::{Counter, Tag},
    peer::{PeerHandler, serve_connection},
};
use savorykeel_policy::calls::caller_progress::ProgressBounds;
use slog::{debug, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    calls::{announce, context::Caller, entry, heartbeat},
    http::HttpResult,
    settings::Limits,
    state::NodeState,
    telemetry,
    worker::Worker,
};

use super::{
    Accepted, Origin,
    connection::{self, ConnectionSettings},
    intake::CallerBounds,
    protocol,
};

/// Path of the page with the node's metrics.
const METRICS_PATH: &str = "/metrics";

/// Time after which an idle HTTP connection is closed; the configuration may set
/// another one for connections of callers.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);

/// Serves the connections that arrive on `accepted` until the channel is closed.
pub(crate) async fn serve(
    worker: Rc<Worker>,
    handler: PeerHandler,
    accepted: Receiver<Accepted>,
    cancel: CancellationToken,
) {
    let limits = worker.state.settings.limits;
    let readiness_worker = worker.clone();
    let readiness = move |req| handle_readiness(readiness_worker.clone(), req);
    let readiness = http_service(&limits, readiness).await;
    let metrics_worker = worker.clone();
    let metrics = move |req| handle_metrics(metrics_worker.clone(), req);
    let metrics = http_service(&limits, metrics).await;
    let (Some(readiness), Some(metrics)) = (readiness, metrics) else { return };
    while let Ok(accepted) = accepted.recv().await {
        match accepted.origin {
            Origin::Caller => serve_caller(&worker, accepted),
            Origin::Backend => serve_backend(&worker, accepted),
            Origin::Readiness => serve_http(readiness.clone(), accepted),
            Origin::Metrics => serve_http(metrics.clone(), accepted),
            Origin::Peer => serve_peer(&worker, handler.clone(), accepted, cancel.clone()),
        }
    }
}

/// Returns the configuration of the HTTP services: idle timeout and buffer size.
pub(crate) fn http_config(limits: &Limits) -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_keepalive_timeout(KEEP_ALIVE_TIMEOUT)
        .set_max_buf_size(limits.header_bytes)
}

async fn http_service<F, R>(
    limits: &Limits,
    handle: F,
) -> Option<Pipeline<impl Service<Io, Response = ()> + use<F, R>>>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = HttpResult> + 'static,
{
    let service = HttpService::h1(fn_service(move |req: Request| handle(req)))
        .control(fn_service(protocol::handle_control));
    service.pipeline(SharedCfg::new("http").add(http_config(limits)).into()).await.ok()
}

fn serve_caller(worker: &Rc<Worker>, accepted: Accepted) {
    let addr = accepted.stream.peer_addr().ok();
    let idle_timeout = worker.state.control.table().map(|table| table.configuration.limits.idle);
    let state = worker.state.clone();
    let settings = ConnectionSettings {
        idle_timeout: idle_timeout.unwrap_or(KEEP_ALIVE_TIMEOUT.into()),
        closing: worker.state.closing.clone(),
        link: worker.state.calls.outgoing.link(),
        should_close: Rc::new(move || state.is_closing_callers()),
        bounds: caller_bounds(&worker.state),
    };
    let limits = worker.state.settings.limits;
    let worker = worker.clone();
    serve_calls(&limits, accepted, settings, move |req| handle_caller(worker.clone(), req, addr));
}

fn serve_backend(worker: &Rc<Worker>, accepted: Accepted) {
    let closing = worker.state.closing_backend.clone();
    let settings = ConnectionSettings {
        idle_timeout: KEEP_ALIVE_TIMEOUT.into(),
        closing: closing.clone(),
        link: None,
        should_close: Rc::new(move || closing.is_cancelled()),
        bounds: caller_bounds(&worker.state),
    };
    let limits = worker.state.settings.limits;
    let worker = worker.clone();
    serve_calls(&limits, accepted, settings, move |req| handle_backend(worker.clone(), req));
}

fn caller_bounds(state: &Arc<NodeState>) -> CallerBounds {
    let limits = &state.settings.limits;
    let observer = state.clone();
    CallerBounds {
        header: limits.header,
        progress: ProgressBounds { stall: limits.stall, busy_stall: limits.busy_stall },
        load: state.caller_load.clone(),
        on_slow: Rc::new(move |cause| {
            let cause: &'static str = cause.into();
            let tags = [Tag { key: "cause", value: cause }];
            observer.metrics.count(Counter::SlowCallers, 1, &tags);
            if observer.request_log_limit.allow(observer.now(), &observer.log) {
                warn!(observer.log, "slow caller given up"; "cause" => cause);
            }
        }),
    }
}

/// Serves a connection that carries calls, which a stop of the node must not cut.
fn serve_calls<H, R>(limits: &Limits, accepted: Accepted, settings: ConnectionSettings, handle: H)
where
    H: Fn(Request) -> R + 'static,
    R: Future<Output = Response> + 'static,
{
    let config = SharedCfg::new("calls").add(http_config(limits));
    let Ok(io) = ntex::rt::from_tcp_stream(accepted.stream, config.into()) else { return };
    let guard = accepted.guard;
    ntex::rt::spawn(async move {
        connection::serve(io, settings, handle).await;
        drop(guard);
    })
    .detach();
}

fn serve_http<S>(service: Pipeline<S>, accepted: Accepted)
where
    S: Service<Io, Response = ()> + 'static,
{
    let Ok(io) = ntex::rt::from_tcp_stream(accepted.stream, SharedCfg::new("http").into()) else {
        return;
    };
    let guard = accepted.guard;
    ntex::rt::spawn(async move {
        // The connection is closed, so its error can't be reported to the other end.
        let _ = service.call(io).await;
        drop(guard);
    })
    .detach();
}

fn serve_peer(
    worker: &Worker,
    handler: PeerHandler,
    accepted: Accepted,
    cancel: CancellationToken,
) {
    let log = worker.state.log.clone();
    ntex::rt::spawn(async move {
        if let Err(e) = serve_connection(accepted.stream, handler, cancel).await {
            debug!(log, "connection of another node failed"; "error" => %e);
        }
        drop(accepted.guard);
    })
    .detach();
}

async fn handle_caller(worker: Rc<Worker>, req: Request, addr: Option<SocketAddr>) -> Response {
    let caller = Caller { name: caller_name(&worker, addr), is_local_backend: false };
    entry::handle(worker, req, caller).await
}

/// Returns the caller's name for fair queueing, and for backend servers that request
/// it.
///
/// If the settings name the service on the instance, every caller at this listener is
/// that service; otherwise callers are distinguished by IP address.
fn caller_name(worker: &Worker, addr: Option<SocketAddr>) -> String {
    let by_addr = || addr.map_or_else(String::new, |addr| addr.ip().to_string());
    let expected = worker.state.expected_server();
    expected.map_or_else(by_addr, |expected| expected.service.as_str().to_owned())
}

/// Answers a readiness probe: success if the node accepts new requests from callers.
async fn handle_readiness(worker: Rc<Worker>, req: Request) -> HttpResult {
    if req.path() != savorykeel_platform::READINESS_PATH {
        return Ok(Response::NotFound().finish());
    }
    let state = &worker.state;
    let is_ready = state.control.table().is_some() && !state.is_closing_callers();
    let mut response = match is_ready {
        true => Response::Ok(),
        false => Response::ServiceUnavailable(),
    };
    Ok(response.finish())
}

/// Serves the node's metrics in their text format.
async fn handle_metrics(worker: Rc<Worker>, req: Request) -> HttpResult {
    if req.path() != METRICS_PATH {
        return Ok(Response::NotFound().finish());
    }
    let state = &worker.state;
    telemetry::report(state);
    let page = state.metrics.page(state.settings.instance.as_str());
    Ok(Response::Ok().content_type("text/plain; charset=utf-8").body(page))
}

/// Handles a request of the local backend server: an announcement, a heartbeat or a
/// call.
async fn handle_backend(worker: Rc<Worker>, req: Request) -> Response {
    if req.path() == announce::ANNOUNCEMENT_PATH {
        return announce::handle(&worker.state, req).await;
    }
    if savorykeel_platform::is_heartbeat_path(req.path())
        && let Some(backend) = &worker.state.settings.backend
    {
        return heartbeat::handle(&worker.state, req, backend.lease).await;
    }
    let caller = worker.state.service();
    let name = caller.map_or_else(String::new, |service| service.as_str().to_owned());
    entry::handle(worker, req, Caller { name, is_local_backend: true }).await
}
