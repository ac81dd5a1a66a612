//! Open-loop load generator: starts calls at a fixed rate, whether or not earlier
//! ones have ended.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use ntex::{
    SharedCfg,
    client::{Client, Connector},
    http::Method,
    rt::{DefaultRuntime, System},
    time::Millis,
    util::Bytes,
};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 4_096;

/// Time after which a call without any answer counts as failed.
const CALL_TIMEOUT: Millis = Millis(10_000);

/// Header with the number of the result code on a node's own answers.
const CODE_HEADER: &str = "savorykeel-code";

/// Longest wait for calls in flight after the last one was started.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(12);

/// One kind of call in the mix.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Name of the stream in the report.
    pub name: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path of the request.
    pub path: &'static str,
    /// Calls per second.
    pub rate: f64,
    /// Deadline sent with each call, from its start; no limit when absent.
    pub deadline: Option<Duration>,
    /// Whether each call carries a unique idempotency key.
    pub keyed: bool,
}

/// The result of one call.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    /// Index of its stream.
    pub stream: usize,
    /// Time from the start of the load to the start of the call.
    pub start_offset: Duration,
    /// Time from the start of the call to its end.
    pub latency: Duration,
    /// Whether a complete answer with status 200 arrived.
    pub is_good: bool,
    /// Result code, if a node answered by itself.
    pub code: Option<u16>,
}

struct Load {
    client: Client,
    entry: SocketAddr,
    streams: Vec<Stream>,
    started: Instant,
    results: RefCell<Vec<CallResult>>,
    started_calls: RefCell<usize>,
}

/// Calls `entry` for `duration` on a new runtime and returns the results of all
/// calls that ended.
pub fn run(
    entry: SocketAddr,
    streams: &[Stream],
    duration: Duration,
) -> anyhow::Result<Vec<CallResult>> {
    let streams = streams.to_vec();
    let system = System::build().name("load").testing().build(DefaultRuntime);
    system.block_on(async move { run_load(entry, streams, duration).await })
}

async fn run_load(
    entry: SocketAddr,
    streams: Vec<Stream>,
    duration: Duration,
) -> anyhow::Result<Vec<CallResult>> {
    let connector = Connector::new().limit(MAX_CONNECTIONS);
    let client = Client::builder()
        .connector::<Connector>(connector)
        .disable_timeout()
        .build(SharedCfg::default())
        .await
        .context("failed to create the HTTP client")?;
    let started = Instant::now();
    let load = Rc::new(Load {
        client,
        entry,
        streams,
        started,
        results: RefCell::default(),
        started_calls: RefCell::default(),
    });
    let mut due: Vec<Duration> = vec![Duration::ZERO; load.streams.len()];
    while started.elapsed() < duration {
        for (stream, due) in due.iter_mut().enumerate() {
            let interval = Duration::from_secs_f64(1.0 / load.streams[stream].rate);
            while *due <= started.elapsed() {
                *due += interval;
                *load.started_calls.borrow_mut() += 1;
                ntex::rt::spawn(call(load.clone(), stream)).detach();
            }
        }
        ntex::time::sleep(Millis(1)).await;
    }
    let drain_started = Instant::now();
    while load.results.borrow().len() < *load.started_calls.borrow()
        && drain_started.elapsed() < DRAIN_TIMEOUT
    {
        ntex::time::sleep(Millis(10)).await;
    }
    Ok(load.results.take())
}

async fn call(load: Rc<Load>, stream: usize) {
    let started_at = Instant::now();
    let outcome = ntex::time::timeout(CALL_TIMEOUT, exchange(&load, stream)).await;
    let (is_good, code) = outcome.unwrap_or((false, None));
    let start_offset = started_at - load.started;
    let result = CallResult { stream, start_offset, latency: started_at.elapsed(), is_good, code };
    load.results.borrow_mut().push(result);
}

/// Returns whether a complete answer with status 200 arrived, and the result code
/// if a node answered by itself.
async fn exchange(load: &Load, stream: usize) -> (bool, Option<u16>) {
    let stream = &load.streams[stream];
    let Ok(method) = Method::from_bytes(stream.method.as_bytes()) else { return (false, None) };
    let url = format!("http://{}{}", load.entry, stream.path);
    let mut req = load.client.request(method, url).timeout(CALL_TIMEOUT);
    if let Some(deadline) = stream.deadline {
        req = req.header("savorykeel-deadline-ms", deadline.as_millis().to_string());
    }
    if stream.keyed {
        req = req.header("idempotency-key", format!("{:032x}", rand::random::<u128>()));
    }
    let Ok(response) = req.send_body(Bytes::from_static(b"load")).await else {
        return (false, None);
    };
    let code = response.header(CODE_HEADER).and_then(|code| code.to_str().ok()?.parse().ok());
    let is_good = response.status().as_u16() == 200;
    (response.body().await.is_ok() && is_good, code)
}
