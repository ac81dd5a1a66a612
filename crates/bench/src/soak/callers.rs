//! Callers that verify each answer and send unanswered requests again.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use savorykeel_standins::{
    backend::Answer,
    caller::{CallError, Client, Reply, Request},
};

use super::Options;

/// Time that a caller waits for the answer to one send.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Time from the first send during which a caller sends a request again.
///
/// Together with the duration of the last send it is shorter than the retention
/// of idempotency keys, so that no key expires while its request is re-sent.
const RESEND_WINDOW: Duration = Duration::from_secs(6);

/// Pause before a request is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// Pause of a caller between two requests, and before it tries another node
/// when one can't be reached.
const REQUEST_PAUSE: Duration = Duration::from_millis(4);

/// The kind of a request, which decides whether it is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Not idempotent, with an idempotency key.
    Keyed,
    /// Not idempotent, without a key.
    Plain,
    /// Idempotent.
    Idempotent,
    /// Not idempotent, with a key; crashes the backend server that runs it.
    Crashing,
}

/// The result of one send, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The complete answer to the request arrived.
    Answered,
    /// The node reported, with this result code, that the request did not run.
    NotRun(u16),
    /// The node reported, with this result code, that the request may have run.
    Unknown(u16),
    /// The connection to the entry node ended without an answer.
    Cut,
    /// No answer arrived within `SEND_TIMEOUT`.
    TimedOut,
    /// The answer doesn't belong to the request; the text says why.
    Wrong(String),
}

/// One send of a request to an entry node.
#[derive(Debug, Clone)]
pub(super) struct SendRecord {
    pub(super) entry: SocketAddr,
    pub(super) started_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) outcome: Outcome,
}

/// A request with all its sends.
#[derive(Debug, Clone)]
pub(super) struct SentRequest {
    pub(super) tag: String,
    pub(super) kind: Kind,
    pub(super) sends: Vec<SendRecord>,
}

struct Shared {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    next_request: AtomicUsize,
    sent: Mutex<Vec<SentRequest>>,
}

/// The running callers, each on a thread of its own.
pub(super) struct Callers {
    shared: Arc<Shared>,
    requests: usize,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub(super) fn start(
        options: &Options,
        entries: Arc<Mutex<Vec<SocketAddr>>>,
    ) -> anyhow::Result<Self> {
        let shared =
            Arc::new(Shared { entries, next_request: AtomicUsize::new(0), sent: Mutex::default() });
        let mut threads = Vec::new();
        for i in 0..options.callers {
            let caller = Caller {
                shared: shared.clone(),
                options: options.clone(),
                client: Client::start()?,
                rng: StdRng::seed_from_u64(options.seed ^ ((i as u64 + 1) << 32)),
            };
            threads.push(thread::spawn(move || caller.run()));
        }
        Ok(Self { shared, requests: options.requests, threads })
    }

    /// Returns the number of requests that were started.
    pub(super) fn started_requests(&self) -> usize {
        self.shared.next_request.load(Ordering::Relaxed).min(self.requests)
    }

    /// Returns whether every request was started.
    pub(super) fn all_started(&self) -> bool {
        self.shared.next_request.load(Ordering::Relaxed) >= self.requests
    }

    /// Waits until every request has ended and returns them all.
    pub(super) fn finish(self) -> Vec<SentRequest> {
        for thread in self.threads {
            // The requests of a caller that panicked are reported as missing.
            let _ = thread.join();
        }
        std::mem::take(&mut self.shared.sent.lock())
    }
}

struct Caller {
    shared: Arc<Shared>,
    options: Options,
    client: Client,
    rng: StdRng,
}

impl Caller {
    fn run(mut self) {
        loop {
            let n = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
            if n >= self.options.requests {
                return;
            }
            let sent = self.request(n);
            self.shared.sent.lock().push(sent);
            thread::sleep(REQUEST_PAUSE);
        }
    }

    fn request(&mut self, n: usize) -> SentRequest {
        let kind = match n % 10 {
            _ if n % self.options.requests_per_crash == self.options.requests_per_crash - 1 => {
                Kind::Crashing
            }
            0..=4 => Kind::Keyed,
            5..=7 => Kind::Plain,
            _ => Kind::Idempotent,
        };
        let tag = format!("soak-{}-{n}", self.options.seed);
        let req = request(kind, &tag);
        let mut sends: Vec<SendRecord> = Vec::new();
        let started_at = Instant::now();
        while started_at.elapsed() < RESEND_WINDOW {
            let send = self.send(&req, &tag);
            let is_last = match &send.outcome {
                Outcome::Answered | Outcome::Wrong(_) => true,
                Outcome::NotRun(_) => kind == Kind::Plain || self.rng.random_bool(0.5),
                Outcome::Unknown(_) | Outcome::Cut | Outcome::TimedOut => kind == Kind::Plain,
            };
            sends.push(send);
            if is_last {
                break;
            }
            thread::sleep(RESEND_PAUSE);
        }
        SentRequest { tag, kind, sends }
    }

    /// Sends a request through a random node, and through another one while the
    /// node can't be reached.
    fn send(&mut self, req: &Request, tag: &str) -> SendRecord {
        let started_at = Instant::now();
        loop {
            let entry = self.entry();
            let outcome = match self.client.call(entry, req.clone()) {
                Ok(reply) => classify_reply(&reply, req, tag),
                Err(CallError::Cut(_)) => Outcome::Cut,
                Err(CallError::TimedOut) => Outcome::TimedOut,
                Err(_) if started_at.elapsed() < SEND_TIMEOUT => {
                    thread::sleep(REQUEST_PAUSE);
                    continue;
                }
                Err(_) => Outcome::TimedOut,
            };
            return SendRecord { entry, started_at, ended_at: Instant::now(), outcome };
        }
    }

    fn entry(&mut self) -> SocketAddr {
        let entries = self.shared.entries.lock();
        entries[self.rng.random_range(0..entries.len())]
    }
}

fn request(kind: Kind, tag: &str) -> Request {
    let req = match kind {
        Kind::Idempotent => Request::get("/gate/state"),
        _ => Request::post("/gate/change", tag),
    };
    let req = req.tag(tag).timeout(SEND_TIMEOUT).close();
    match kind {
        Kind::Keyed => req.key(tag),
        Kind::Crashing => req.key(tag).header("X-Crash", "1"),
        Kind::Plain | Kind::Idempotent => req,
    }
}

fn classify_reply(reply: &Reply, req: &Request, tag: &str) -> Outcome {
    let code = reply.code().unwrap_or(0);
    match reply.outcome() {
        Some("not-run") => return Outcome::NotRun(code),
        Some("unknown") => return Outcome::Unknown(code),
        _ => {}
    }
    match reply.json::<Answer>() {
        Ok(answer)
            if answer.tag.as_deref() == Some(tag)
                && answer.body_hash == Answer::hash_of(&req.body) =>
        {
            Outcome::Answered
        }
        Ok(answer) => Outcome::Wrong(format!("the answer to {:?}", answer.tag)),
        Err(e) => Outcome::Wrong(format!("status {}: {e}", reply.status)),
    }
}
