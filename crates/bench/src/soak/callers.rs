//! Callers that check their answers and re-send keyed requests.

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

/// Time after which a caller gives up on one send.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller sends a request no more. Together with the time of
/// the last send it is shorter than the time for which keys are kept.
const GIVE_UP: Duration = Duration::from_secs(6);

/// Pause before a request is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(4);

/// What kind of request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Not idempotent, with an idempotency key.
    Keyed,
    /// Not idempotent, without a key.
    Plain,
    /// Idempotent.
    Idempotent,
    /// Not idempotent, and it crashes what runs it.
    Crashing,
}

/// What came of one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Seen {
    /// The whole answer to the request.
    Answered,
    /// The node said that it did not run.
    NotRun(u16),
    /// The node said that it may have run.
    Unknown(u16),
    /// The connection to the entry node ended without an answer.
    Cut,
    /// No answer came in time.
    TimedOut,
    /// An answer that isn't the one to the request.
    Wrong(String),
}

/// One send of a request.
#[derive(Debug, Clone)]
pub(super) struct Send {
    pub(super) entry: SocketAddr,
    pub(super) begun: Instant,
    pub(super) ended: Instant,
    pub(super) seen: Seen,
}

/// A request with all its sends.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    pub(super) tag: String,
    pub(super) kind: Kind,
    pub(super) sends: Vec<Send>,
}

struct Shared {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    next: AtomicUsize,
    sent: Mutex<Vec<Sent>>,
}

/// Callers at work.
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
            Arc::new(Shared { entries, next: AtomicUsize::new(0), sent: Mutex::default() });
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

    /// Returns the number of requests that were begun.
    pub(super) fn begun(&self) -> usize {
        self.shared.next.load(Ordering::Relaxed).min(self.requests)
    }

    /// Tells whether every request was begun.
    pub(super) fn are_done(&self) -> bool {
        self.shared.next.load(Ordering::Relaxed) >= self.requests
    }

    /// Waits until every request has ended.
    pub(super) fn finish(self) -> Vec<Sent> {
        for thread in self.threads {
            // A caller that panicked shows up as missing requests.
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
            let n = self.shared.next.fetch_add(1, Ordering::Relaxed);
            if n >= self.options.requests {
                return;
            }
            let sent = self.request(n);
            self.shared.sent.lock().push(sent);
            thread::sleep(PAUSE);
        }
    }

    fn request(&mut self, n: usize) -> Sent {
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
        let mut sends: Vec<Send> = Vec::new();
        let begun = Instant::now();
        while begun.elapsed() < GIVE_UP {
            let send = self.send(&req, &tag);
            let is_last = match &send.seen {
                Seen::Answered | Seen::Wrong(_) => true,
                Seen::NotRun(_) => kind == Kind::Plain || self.rng.random_bool(0.5),
                Seen::Unknown(_) | Seen::Cut | Seen::TimedOut => kind == Kind::Plain,
            };
            sends.push(send);
            if is_last {
                break;
            }
            thread::sleep(RESEND_PAUSE);
        }
        Sent { tag, kind, sends }
    }

    /// Sends a request by a random node; one that can't be reached doesn't count.
    fn send(&mut self, req: &Request, tag: &str) -> Send {
        let begun = Instant::now();
        loop {
            let entry = self.entry();
            let seen = match self.client.call(entry, req.clone()) {
                Ok(reply) => judge(&reply, req, tag),
                Err(CallError::Cut(_)) => Seen::Cut,
                Err(CallError::TimedOut) => Seen::TimedOut,
                Err(_) if begun.elapsed() < SEND_TIMEOUT => {
                    thread::sleep(PAUSE);
                    continue;
                }
                Err(_) => Seen::TimedOut,
            };
            return Send { entry, begun, ended: Instant::now(), seen };
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

fn judge(reply: &Reply, req: &Request, tag: &str) -> Seen {
    let code = reply.code().unwrap_or(0);
    match reply.outcome() {
        Some("not-run") => return Seen::NotRun(code),
        Some("unknown") => return Seen::Unknown(code),
        _ => {}
    }
    match reply.json::<Answer>() {
        Ok(answer)
            if answer.tag.as_deref() == Some(tag)
                && answer.body_hash == Answer::hash_of(&req.body) =>
        {
            Seen::Answered
        }
        Ok(answer) => Seen::Wrong(format!("the answer to {:?}", answer.tag)),
        Err(e) => Seen::Wrong(format!("status {}: {e}", reply.status)),
    }
}
