//! Generates a continuous load from several concurrent callers.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::{backend::Answer, thread::OwnedThread};

use super::{CallError, CallOutcome, Observation, Reply, Request, client::AsyncClient};

/// Minimum pause of a caller after a call without any answer, so that it doesn't
/// spin while no node is reachable.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(20);

/// One kind of request in the mix of a load.
#[derive(Debug, Clone)]
pub struct Template {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Size of the padding that the answer is to contain, in bytes.
    pub padding_bytes: usize,
    /// Whether each request carries an idempotency key of its own.
    pub keyed: bool,
}

impl Template {
    /// Returns a template without body and key for `GET`, and with a body of 64
    /// bytes and a key for other methods.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            body_bytes: if method == "GET" { 0 } else { 64 },
            padding_bytes: 0,
            keyed: method != "GET",
        }
    }
}

/// Description of a load: the callers, their requests and the nodes they use.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Addresses of the nodes that the calls are sent to, in rotation.
    pub entries: Vec<SocketAddr>,
    /// Kinds of requests, used in rotation.
    pub mix: Vec<Template>,
    /// Number of concurrent callers, each with one request at a time.
    pub callers: usize,
    /// Pause of each caller between two requests.
    pub pause: Duration,
    /// Prefix of the request tags, so that two loads don't use the same tag.
    pub name: String,
    /// Timeout of each request.
    pub timeout: Duration,
}

impl Plan {
    /// Returns a plan with 4 callers, a pause of 5 ms and a timeout of 30 s.
    pub fn new(name: &str, entries: Vec<SocketAddr>, mix: Vec<Template>) -> Self {
        Self {
            entries,
            mix,
            callers: 4,
            pause: Duration::from_millis(5),
            name: name.to_owned(),
            timeout: Duration::from_secs(30),
        }
    }
}

/// State shared by the load's thread and its owner. Lock order: `entries` before
/// `observations`.
struct Shared {
    entries: Mutex<Vec<SocketAddr>>,
    observations: Mutex<Vec<Observation>>,
    next: AtomicU64,
    started: Instant,
}

/// A running load. Dropping it abandons the requests in flight.
pub struct Load {
    shared: Arc<Shared>,
    finish: CancellationToken,
    thread: OwnedThread,
}

impl Load {
    /// Starts the callers on their own thread.
    pub fn start(plan: Plan) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            entries: Mutex::new(plan.entries.clone()),
            observations: Mutex::new(Vec::new()),
            next: AtomicU64::new(0),
            started: Instant::now(),
        });
        let finish = CancellationToken::new();
        let (thread_shared, finished) = (shared.clone(), finish.clone());
        let thread = OwnedThread::start("load", CancellationToken::new(), move |_| {
            run(plan, thread_shared, finished)
        })?;
        Ok(Self { shared, finish, thread })
    }

    /// Replaces the addresses of the nodes that the calls are sent to.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.shared.entries.lock() = entries;
    }

    /// Returns the time since the start, on the clock of [`Observation::at`].
    pub fn since_start(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Returns the number of calls that have ended so far.
    pub fn calls(&self) -> usize {
        self.shared.observations.lock().len()
    }

    /// Returns the observations of the calls that have ended so far.
    pub fn observations(&self) -> Vec<Observation> {
        self.shared.observations.lock().clone()
    }

    /// Waits until each caller has ended its current request and returns all
    /// observations.
    pub fn finish(mut self) -> Vec<Observation> {
        self.finish.cancel();
        self.thread.join();
        self.observations()
    }
}

async fn run(plan: Plan, shared: Arc<Shared>, finish: CancellationToken) {
    let Ok(client) = AsyncClient::new().await else { return };
    let plan = Rc::new(plan);
    let callers = (0..plan.callers).map(|_| {
        let caller =
            call_until_finished(client.clone(), plan.clone(), shared.clone(), finish.clone());
        ntex::rt::spawn(caller)
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        let _ = caller.await;
    }
}

async fn call_until_finished(
    client: AsyncClient,
    plan: Rc<Plan>,
    shared: Arc<Shared>,
    finish: CancellationToken,
) {
    while !finish.is_cancelled() {
        let n = shared.next.fetch_add(1, Ordering::Relaxed);
        let observation = call_once(&client, &plan, &shared, n).await;
        let unreachable = matches!(observation.outcome, CallOutcome::Lost { .. });
        shared.observations.lock().push(observation);
        let pause = if unreachable { UNREACHABLE_PAUSE.max(plan.pause) } else { plan.pause };
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

async fn call_once(client: &AsyncClient, plan: &Plan, shared: &Shared, n: u64) -> Observation {
    let template = &plan.mix[n as usize % plan.mix.len()];
    let tag = format!("{}-{n}", plan.name);
    let req = request(template, &tag, plan.timeout);
    let entries = shared.entries.lock().clone();
    let at = shared.started.elapsed();
    let started = Instant::now();
    let outcome = call_first_reachable(client, &entries, n as usize, &req, &tag).await;
    let latency = started.elapsed();
    Observation {
        tag,
        target: template.target.clone(),
        keyed: template.keyed,
        at,
        latency,
        outcome,
    }
}

fn request(template: &Template, tag: &str, timeout: Duration) -> Request {
    let mut req = Request::new(&template.method, &template.target).tag(tag).timeout(timeout);
    if template.keyed {
        req = req.key(tag);
    }
    if template.padding_bytes > 0 {
        req = req.header("X-Answer-Padding", template.padding_bytes.to_string());
    }
    // Each request has its own body, so that the hash reveals a swapped answer.
    req.body = tag.bytes().cycle().take(template.body_bytes).collect();
    req
}

/// Sends the request to the first node that accepts a connection, starting with
/// the node at index `first`.
async fn call_first_reachable(
    client: &AsyncClient,
    entries: &[SocketAddr],
    first: usize,
    req: &Request,
    tag: &str,
) -> CallOutcome {
    let mut problem = "no node to enter by".to_owned();
    for i in 0..entries.len() {
        let entry = entries[(first + i) % entries.len()];
        match client.call(entry, req).await {
            Ok(reply) => return classify_reply(&reply, req, tag),
            Err(CallError::Cut(problem)) => {
                return CallOutcome::Cut { problem: format!("{entry}: {problem}") };
            }
            Err(CallError::TimedOut) => {
                return CallOutcome::Lost { problem: format!("{entry}: no whole answer in time") };
            }
            Err(e) => problem = format!("{entry}: {e}"),
        }
    }
    CallOutcome::Lost { problem }
}

/// Returns how the call ended according to its complete answer.
fn classify_reply(reply: &Reply, req: &Request, tag: &str) -> CallOutcome {
    let code = reply.code().unwrap_or(0);
    match reply.outcome() {
        Some("not-run") => return CallOutcome::NotRun { code },
        Some("unknown") => return CallOutcome::Unknown { code },
        _ => {}
    }
    let Ok(answer) = reply.json::<Answer>() else {
        let problem = format!("status {} with {} bytes", reply.status, reply.body.len());
        return CallOutcome::Mismatched { problem };
    };
    if answer.tag.as_deref() != Some(tag) || answer.body_hash != Answer::hash_of(&req.body) {
        return CallOutcome::Mismatched { problem: format!("got the answer to {:?}", answer.tag) };
    }
    CallOutcome::Answered {
        status: reply.status,
        version: answer.version,
        instance: answer.instance,
    }
}
