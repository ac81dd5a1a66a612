//! Lines of nodes' logs.

use std::{fmt, sync::Arc};

use jiff::Timestamp;
use serde_json::{Map, Value};

/// Message of the line about a request at the node where it entered.
pub const ENDED: &str = "request ended";

/// Message of the line about a request that was refused before a backend server was chosen.
pub const REFUSED: &str = "request refused";

/// Message of the line about a request beside the backend server.
pub const SERVED: &str = "request served";

/// Fields that are printed for each line; the others are the same for all or printed apart.
const UNPRINTED_FIELDS: [&str; 3] = ["msg", "level", "ts"];

/// A line of a node's log.
#[derive(Debug, Clone)]
pub struct LogLine {
    /// Name of the node.
    pub node: Arc<str>,
    /// Time by the clock of the node.
    pub at: Timestamp,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` if it isn't a structured one, such as the addresses that a node
    /// prints when it starts.
    ///
    /// Collected logs often have the node's name before each line; otherwise the node is
    /// `default_node`.
    pub fn parse(text: &str, default_node: &Arc<str>) -> Option<Self> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let node = prefix.split_whitespace().last().map_or(default_node.clone(), Arc::from);
        let at = fields.get("ts")?.as_str()?.parse().ok()?;
        let message = fields.get("msg")?.as_str()?.to_owned();
        Some(Self { node, at, message, fields })
    }

    /// Returns a text field; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field with a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns whether the line is about the request or a call that its run made.
    pub fn is_about(&self, id: &str) -> bool {
        let rest = self.text("id").strip_prefix(id);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// Returns the attempts that the line lists.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.text("tries").split_whitespace().filter_map(Attempt::parse).collect()
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} {} {}", self.at, self.node, self.message)?;
        let is_printed = |(name, _): &(&String, &Value)| !UNPRINTED_FIELDS.contains(&name.as_str());
        for (name, value) in self.fields.iter().filter(is_printed) {
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                value => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// An attempt at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Node next to the backend server.
    pub node: String,
    /// Status of the answer or name of the result code.
    pub outcome: String,
    /// Time that it took at the node where the request entered, in milliseconds.
    pub took_ms: u64,
}

impl Attempt {
    fn parse(text: &str) -> Option<Self> {
        let (rest, took_ms) = text.rsplit_once(':')?;
        let (node, outcome) = rest.rsplit_once(':')?;
        let took_ms = took_ms.parse().ok()?;
        Some(Self { node: node.to_owned(), outcome: outcome.to_owned(), took_ms })
    }
}
