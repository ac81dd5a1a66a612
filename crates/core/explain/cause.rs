//! Derives from the lines about a request why it ended as it did.

use std::fmt;

use jiff::{SignedDuration, Timestamp};

use super::line::{Attempt, ENDED, LogLine, REFUSED, SERVED};

/// Time around a lost connection within which the node next to the backend server says whether
/// it crashed.
const CRASH_SPAN: SignedDuration = SignedDuration::from_millis(500);

/// Time before a refusal in which the backend servers of the service may have left.
const DEPARTURE_SPAN: SignedDuration = SignedDuration::from_secs(10);

/// Messages of lines that say that a backend server can't be used any more.
const DEPARTURES: [&str; 3] =
    ["backend server withdrawn", "backend server leaves", "a node can't be reached"];

/// Why a request ended as it did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// No line says how it ended.
    Unknown,
    /// A call that its run made was the cause.
    Call {
        /// Id of the call.
        id: String,
        /// Why the call ended as it did.
        cause: Box<Cause>,
    },
    /// The backend server answered; the time it took by where it passed, in milliseconds.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Node next to the backend server.
        node: String,
        /// Time at that node, its wait for a slot included, if its log is there.
        beside_ms: Option<u64>,
        /// Whole time of the attempt.
        took_ms: u64,
    },
    /// Instances refused it for load.
    Overloaded(Vec<Refusal>),
    /// The backend server crashed while it ran the request.
    Crashed(String),
    /// The backend server runs on, and the answer was lost.
    AnswerLost(String),
    /// The connection was lost, and the log of the node says nothing more.
    ConnectionLost(String),
    /// The other node was lost.
    NodeLost(String),
    /// No backend server was there; what left before it.
    NoBackendServer(Vec<String>),
    /// The configuration in force had no route; the next one came later, if at all.
    NoRoute {
        /// Version in force.
        version: Option<u64>,
        /// Milliseconds until the node applied another one.
        next_after_ms: Option<i128>,
    },
    /// The node had no configuration; milliseconds since it started and until it had one.
    NoConfiguration {
        /// Milliseconds since the start of the node.
        started_before_ms: Option<i128>,
        /// Milliseconds until it applied a configuration.
        applied_after_ms: Option<i128>,
    },
    /// Another result code.
    Code(String),
}

/// An instance that refused a request for load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The instance.
    pub node: String,
    /// Requests that it ran or had waiting, if its log is there.
    pub load: Option<u64>,
}

impl Cause {
    /// Derives the cause for the request `id` from all lines, in order of time.
    pub fn of(id: &str, lines: &[LogLine]) -> Self {
        let is_end = |line: &&LogLine| {
            line.text("id") == id && (line.message == ENDED || line.message == REFUSED)
        };
        let Some(end) = lines.iter().rfind(is_end) else { return Self::Unknown };
        let attempts = end.attempts();
        let served = Served { id, lines };
        let last_node = || attempts.last().map(|last| last.node.clone()).unwrap_or_default();
        match end.text("outcome") {
            "overloaded" => Self::Overloaded(served.refusals(&attempts)),
            "backend-connection-lost" => lost_connection(last_node(), end.at, lines),
            "settle-failed" | "unreachable" => Self::NodeLost(last_node()),
            "no-backend-server" => Self::NoBackendServer(departures(end.at, lines)),
            "no-route" => Self::NoRoute {
                version: end.number("config"),
                next_after_ms: applied_after(end, lines),
            },
            "no-configuration" => Self::NoConfiguration {
                started_before_ms: started_before(end, lines),
                applied_after_ms: applied_after(end, lines),
            },
            outcome => match (outcome.parse(), attempts.last()) {
                (Ok(status), Some(last)) => served.answered(status, last),
                _ => Self::Code(outcome.to_owned()),
            },
        }
    }
}

/// The lines about one request beside backend servers.
struct Served<'a> {
    id: &'a str,
    lines: &'a [LogLine],
}

impl Served<'_> {
    fn line_at(&self, node: &str) -> Option<&LogLine> {
        let is_at = |line: &&LogLine| {
            line.message == SERVED && line.text("id") == self.id && &*line.node == node
        };
        self.lines.iter().rfind(is_at)
    }

    fn refusals(&self, attempts: &[Attempt]) -> Vec<Refusal> {
        let refusal = |attempt: &Attempt| Refusal {
            node: attempt.node.clone(),
            load: self.line_at(&attempt.node).and_then(|line| line.number("load")),
        };
        attempts.iter().map(refusal).collect()
    }

    /// Returns the cause of an answer: of a failure, a call that failed meanwhile.
    fn answered(&self, status: u16, last: &Attempt) -> Cause {
        if status >= 500
            && let Some(call) = self.failed_call()
        {
            let id = call.text("id").to_owned();
            return Cause::Call { cause: Box::new(Cause::of(&id, self.lines)), id };
        }
        let beside_ms = self.line_at(&last.node).and_then(|line| line.number("took_ms"));
        Cause::Answered { status, node: last.node.clone(), beside_ms, took_ms: last.took_ms }
    }

    /// Returns the last line about a call of the run that didn't end well.
    fn failed_call(&self) -> Option<&LogLine> {
        let is_failed = |line: &&LogLine| {
            let is_call = line.message == ENDED && line.text("id") != self.id;
            is_call && line.is_about(self.id) && !line.text("outcome").starts_with('2')
        };
        self.lines.iter().rfind(is_failed)
    }
}

fn lost_connection(node: String, at: Timestamp, lines: &[LogLine]) -> Cause {
    let is_near =
        |line: &&LogLine| *line.node == *node && line.at.duration_since(at).abs() < CRASH_SPAN;
    let says = |message| lines.iter().filter(is_near).any(|line| line.message == message);
    if says("connection to the backend server was lost with a request") {
        Cause::Crashed(node)
    } else if says("answer of the backend server was lost") {
        Cause::AnswerLost(node)
    } else {
        Cause::ConnectionLost(node)
    }
}

fn departures(at: Timestamp, lines: &[LogLine]) -> Vec<String> {
    let is_before = |line: &&LogLine| {
        let before = at.duration_since(line.at);
        !before.is_negative() && before < DEPARTURE_SPAN
    };
    let departures = lines.iter().filter(|line| DEPARTURES.contains(&line.message.as_str()));
    departures.filter(is_before).map(ToString::to_string).collect()
}

fn applied_after(end: &LogLine, lines: &[LogLine]) -> Option<i128> {
    let is_later = |line: &&LogLine| {
        line.node == end.node && line.message == "configuration applied" && line.at > end.at
    };
    lines.iter().find(is_later).map(|line| line.at.duration_since(end.at).as_millis())
}

fn started_before(end: &LogLine, lines: &[LogLine]) -> Option<i128> {
    let is_start = |line: &&LogLine| {
        line.node == end.node && line.message == "node started" && line.at <= end.at
    };
    lines.iter().rfind(is_start).map(|line| end.at.duration_since(line.at).as_millis())
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => {
                f.write_str("the node where it entered says nothing; is its log there?")
            }
            Self::Call { id, cause } => write!(f, "its call {id}: {cause}"),
            Self::Answered { status, node, beside_ms: Some(beside_ms), took_ms } => write!(
                f,
                "the backend server at {node} answered {status} after {took_ms} ms, \
                 {beside_ms} ms of them beside it and {} ms between the nodes",
                took_ms.saturating_sub(*beside_ms)
            ),
            Self::Answered { status, node, beside_ms: None, took_ms } => {
                write!(f, "the backend server at {node} answered {status} after {took_ms} ms")
            }
            Self::Overloaded(refusals) => {
                f.write_str("refused for load by")?;
                for (i, refusal) in refusals.iter().enumerate() {
                    let separator = if i == 0 { "" } else { "," };
                    write!(f, "{separator} {}", refusal.node)?;
                    if let Some(load) = refusal.load {
                        write!(f, " (load {load})")?;
                    }
                }
                Ok(())
            }
            Self::Crashed(node) => write!(f, "the backend server at {node} crashed"),
            Self::AnswerLost(node) => {
                write!(f, "the answer of the backend server at {node} was lost; it runs on")
            }
            Self::ConnectionLost(node) => {
                write!(f, "the connection to the backend server at {node} was lost")
            }
            Self::NodeLost(node) => write!(f, "the node {node} was lost or can't be reached"),
            Self::NoBackendServer(departures) => {
                write!(f, "no backend server of the service was known")?;
                departures.iter().try_for_each(|line| write!(f, "\n  before: {line}"))
            }
            Self::NoRoute { version, next_after_ms } => {
                write!(f, "the configuration in force ({}) has no route", or_none(*version))?;
                match next_after_ms {
                    Some(ms) => write!(f, "; the node applied another one {ms} ms later"),
                    None => f.write_str("; the node applied no other one later"),
                }
            }
            Self::NoConfiguration { started_before_ms, applied_after_ms } => write!(
                f,
                "the node had no configuration: it started {} ms before and applied one {} ms after",
                or_none(*started_before_ms),
                or_none(*applied_after_ms)
            ),
            Self::Code(code) => write!(f, "result code {code}; see docs/CODES.md"),
        }
    }
}

fn or_none<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "unknown".to_owned(), |value| value.to_string())
}
