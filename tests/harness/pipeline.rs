//! A caller that pipelines: it sends requests at a steady pace on one connection, whether or
//! not earlier ones have been answered.
//!
//! The HTTP client of the stand-ins can't do this, and it doesn't tell how a connection ended.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a connection was refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// How a caller pipelines.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Path of the requests.
    pub path: String,
    /// Prefix of the tags of the requests; a number follows.
    pub tag: String,
    /// Time between two requests.
    pub spacing: Duration,
    /// Whether no request is sent after an answer with `Connection: close`.
    pub respects_close: bool,
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The caller stopped first.
    Stopped,
    /// The node closed it in order.
    Closed,
    /// The node reset it, or the system did for it.
    Reset,
}

/// What was sent and received on one connection.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Tags of the requests in the order in which they were sent.
    pub sent: Vec<String>,
    /// Statuses of the answers in the order in which they arrived.
    pub statuses: Vec<u16>,
    /// Whether an answer asked to close the connection.
    pub was_asked_to_close: bool,
    /// How the connection ended.
    pub end: End,
}

impl Connection {
    /// Returns the tags of the requests that got no answer.
    pub fn unanswered(&self) -> &[String] {
        &self.sent[self.statuses.len()..]
    }
}

/// A caller that pipelines on a thread of its own, on one connection after the other.
pub struct Pipeliner {
    stop: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
    thread: JoinHandle<Vec<Connection>>,
}

impl Pipeliner {
    /// Starts a caller of the node at `addr`.
    pub fn start(addr: SocketAddr, plan: Plan) -> Self {
        let (stop, answers) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let (thread_stop, thread_answers) = (stop.clone(), answers.clone());
        let thread = thread::spawn(move || {
            let mut connections = Vec::new();
            let mut next_tag = 0;
            while !thread_stop.load(Ordering::Relaxed) {
                let Ok(stream) = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) else {
                    thread::sleep(RECONNECT_PAUSE);
                    continue;
                };
                let mut exchange = Exchange::new(stream, &plan, &mut next_tag);
                connections.push(exchange.run(&thread_stop, &thread_answers));
            }
            connections
        });
        Self { stop, answers, thread }
    }

    /// Returns the number of answers so far.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::Relaxed)
    }

    /// Stops the caller and returns what it saw on each connection.
    pub fn finish(self) -> Vec<Connection> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the caller's thread ends")
    }
}

/// One connection in use.
struct Exchange<'a> {
    stream: TcpStream,
    plan: &'a Plan,
    next_tag: &'a mut usize,
    received: Vec<u8>,
    seen: Connection,
}

impl<'a> Exchange<'a> {
    fn new(stream: TcpStream, plan: &'a Plan, next_tag: &'a mut usize) -> Self {
        stream.set_nodelay(true).expect("the option is set");
        let seen = Connection {
            sent: Vec::new(),
            statuses: Vec::new(),
            was_asked_to_close: false,
            end: End::Stopped,
        };
        Self { stream, plan, next_tag, received: Vec::new(), seen }
    }

    fn run(&mut self, stop: &AtomicBool, answers: &AtomicUsize) -> Connection {
        let mut next_send = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let may_send = !(self.seen.was_asked_to_close && self.plan.respects_close);
            if may_send && Instant::now() >= next_send {
                next_send += self.plan.spacing;
                self.send();
            }
            match self.receive(self.plan.spacing) {
                Ok(()) => answers.fetch_add(self.take_answers(), Ordering::Relaxed),
                Err(end) => {
                    self.seen.end = end;
                    break;
                }
            };
        }
        self.seen.clone()
    }

    /// Sends a request. A connection that was reset is noticed by the next read, which first
    /// returns the answers that arrived before.
    fn send(&mut self) {
        let tag = format!("{}-{}", self.plan.tag, self.next_tag);
        *self.next_tag += 1;
        let head =
            format!("GET {} HTTP/1.1\r\nHost: a\r\nX-Request-Tag: {tag}\r\n\r\n", self.plan.path);
        if self.stream.write_all(head.as_bytes()).is_ok() {
            self.seen.sent.push(tag);
        }
    }

    fn receive(&mut self, wait: Duration) -> Result<(), End> {
        self.stream.set_read_timeout(Some(wait)).expect("the option is set");
        let mut buf = [0; 16 << 10];
        match self.stream.read(&mut buf) {
            Ok(0) => Err(End::Closed),
            Ok(n) => {
                self.received.extend_from_slice(&buf[..n]);
                Ok(())
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(()),
            Err(_) => Err(End::Reset),
        }
    }

    /// Takes the complete answers from the bytes received and returns their number.
    fn take_answers(&mut self) -> usize {
        let before = self.seen.statuses.len();
        while let Some((status, closes, length)) = parse_answer(&self.received) {
            self.received.drain(..length);
            self.seen.statuses.push(status);
            self.seen.was_asked_to_close |= closes;
        }
        self.seen.statuses.len() - before
    }
}

/// Returns the status of the answer at the front of `received`, whether it asks to close the
/// connection, and its length; none if it isn't complete.
fn parse_answer(received: &[u8]) -> Option<(u16, bool, usize)> {
    let head_length = received.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..head_length]).to_ascii_lowercase();
    let header = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':').map(str::trim))
    };
    let status = head.split(' ').nth(1)?.parse().expect("the status is a number");
    let body_length: usize =
        header("content-length").map_or(0, |value| value.parse().expect("a length in bytes"));
    let length = head_length + body_length;
    (received.len() >= length).then_some((status, header("connection") == Some("close"), length))
}
