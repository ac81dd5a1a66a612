//! Load generator that times each call.

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

/// Request path of each call.
const PROBE_PATH: &str = "/probe";

/// Time at the start of a round whose calls aren't counted, because connections
/// are still being opened.
const WARM_UP: Duration = Duration::from_millis(300);

/// Largest number of open connections; 0 would not mean "no limit" to ntex's pool.
const MAX_CONNECTIONS: usize = 4_096;

/// Time after which a call counts as failed.
const CALL_TIMEOUT: Millis = Millis(10_000);

/// When calls start.
#[derive(Debug, Clone, Copy)]
pub enum Pattern {
    /// This number of callers, each making one call at a time without a pause.
    Concurrent(usize),
    /// This number of calls per second at even intervals, whether or not earlier
    /// calls have ended.
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

/// Results of a round.
#[derive(Debug, Default)]
pub struct Round {
    /// Latencies of calls that received a complete answer with status 200.
    pub latencies: Vec<Duration>,
    /// Calls that received no such answer.
    pub failures: u64,
    /// Time in which the counted calls started.
    pub duration: Duration,
}

/// State shared by the callers of a round.
struct Callers {
    client: Client,
    url: String,
    body: Bytes,
    counted_from: Instant,
    ends_at: Instant,
    round: RefCell<Round>,
}

/// Calls `addr` in the pattern for the warm-up and `duration`, on a separate runtime.
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
        let callers =
            Rc::into_inner(callers).context("a caller task is still running after its round")?;
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

/// Returns whether a complete answer with status 200 arrived.
async fn send_request(callers: &Callers) -> bool {
    let req = callers.client.post(&callers.url);
    let Ok(response) = req.send_body(callers.body.clone()).await else { return false };
    response.status() == StatusCode::OK && response.body().await.is_ok()
}
