//! Calls in a pattern, timed one by one.

use std::{
    cell::RefCell,
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use ntex::{
    SharedCfg,
    client::{Client, Connector},
    http::StatusCode,
    rt::{DefaultRuntime, System},
    time::Millis,
    util::Bytes,
};

/// Path of each call.
const PROBE_PATH: &str = "/probe";

/// Time at the start of a round that isn't counted, in which connections open.
const WARM_UP: Duration = Duration::from_millis(300);

/// Connections open at once; 0 would not mean "no limit" to ntex's pool.
const MAX_CONNECTIONS: usize = 4_096;

/// Time after which a call counts as failed.
const CALL_TIMEOUT: Millis = Millis(10_000);

/// When calls are made.
#[derive(Debug, Clone, Copy)]
pub enum Pattern {
    /// So many callers, each with one call at a time and no pause.
    Concurrent(usize),
    /// So many calls a second at even intervals, whether or not earlier ones
    /// have ended.
    Rate(u32),
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Pattern::Concurrent(callers) => write!(f, "{callers} at once"),
            Pattern::Rate(rate) => write!(f, "{rate} calls/s"),
        }
    }
}

/// What a round saw.
#[derive(Debug, Default)]
pub struct Round {
    /// Latencies of calls that got the whole answer.
    pub latencies: Vec<Duration>,
    /// Calls that got none.
    pub failures: u64,
    /// Time that the counted calls took.
    pub duration: Duration,
}

/// What the callers of a round share.
struct Callers {
    client: Client,
    url: String,
    body: Bytes,
    counted_from: Instant,
    ends_at: Instant,
    round: RefCell<Round>,
}

/// Calls an address for a time on a runtime of its own.
pub fn run(
    addr: SocketAddr,
    pattern: Pattern,
    duration: Duration,
    body_bytes: usize,
) -> anyhow::Result<Round> {
    let system = System::build().name("load").testing().build(DefaultRuntime);
    system.block_on(async move {
        let counted_from = Instant::now() + WARM_UP;
        let callers = Rc::new(Callers {
            client: client().await?,
            url: format!("http://{addr}{PROBE_PATH}"),
            body: Bytes::from(vec![b'x'; body_bytes]),
            counted_from,
            ends_at: counted_from + duration,
            round: RefCell::new(Round { duration, ..Round::default() }),
        });
        match pattern {
            Pattern::Concurrent(count) => call_concurrently(&callers, count).await,
            Pattern::Rate(rate) => call_at_rate(&callers, rate).await,
        }
        let callers = Rc::into_inner(callers).context("a caller outlived its round")?;
        Ok(callers.round.into_inner())
    })
}

async fn client() -> anyhow::Result<Client> {
    let cfg: SharedCfg = SharedCfg::new("load").into();
    let connector = Connector::new().limit(MAX_CONNECTIONS);
    let builder = Client::builder().connector::<()>(connector).response_timeout(CALL_TIMEOUT);
    Ok(builder.no_default_headers().build(cfg).await?)
}

async fn call_concurrently(callers: &Rc<Callers>, count: usize) {
    let spawn_caller = |_| {
        let callers = callers.clone();
        ntex::rt::spawn(async move {
            while Instant::now() < callers.ends_at {
                call(&callers).await;
            }
        })
    };
    let tasks: Vec<_> = (0..count).map(spawn_caller).collect();
    for task in tasks {
        let _ = task.await;
    }
}

async fn call_at_rate(callers: &Rc<Callers>, rate: u32) {
    let interval = Duration::from_secs(1) / rate;
    let mut ticks = tokio::time::interval(interval);
    let mut tasks = Vec::new();
    while Instant::now() < callers.ends_at {
        ticks.tick().await;
        let callers = callers.clone();
        tasks.push(ntex::rt::spawn(async move { call(&callers).await }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn call(callers: &Callers) {
    let started = Instant::now();
    let is_answered = send_request(callers).await;
    if started < callers.counted_from {
        return;
    }
    let mut round = callers.round.borrow_mut();
    if is_answered {
        round.latencies.push(started.elapsed());
    } else {
        round.failures += 1;
    }
}

/// Tells whether the whole answer came.
async fn send_request(callers: &Callers) -> bool {
    let req = callers.client.post(&callers.url);
    let Ok(response) = req.send_body(callers.body.clone()).await else { return false };
    response.status() == StatusCode::OK && response.body().await.is_ok()
}
