//! Collects the attempts of a request for the single log line about it.

use std::time::{Duration, Instant};

use savorykeel_policy::{code::Code, ids::InstanceName};
use savorykeel_ports::peer::PeerReply;
use slog::{info, warn};

use crate::state::NodeState;

use super::context::CallContext;

/// One attempt at a backend server.
#[derive(Debug)]
struct Entry {
    instance: InstanceName,
    outcome: String,
    took: Duration,
}

/// The attempts of one request in order.
#[derive(Debug, Default)]
pub(crate) struct AttemptLog {
    entries: Vec<Entry>,
}

impl AttemptLog {
    /// Records how an attempt ended.
    pub(crate) fn record(&mut self, instance: &InstanceName, reply: &PeerReply, started: Instant) {
        let (instance, took) = (instance.clone(), started.elapsed());
        self.entries.push(Entry { instance, outcome: outcome(reply), took });
    }

    /// Formats the attempts as instance, outcome and duration in milliseconds.
    fn to_text(&self) -> String {
        let format_entry =
            |e: &Entry| format!("{}:{}:{}", e.instance, e.outcome, e.took.as_millis());
        self.entries.iter().map(format_entry).collect::<Vec<_>>().join(" ")
    }
}

fn outcome(reply: &PeerReply) -> String {
    match reply {
        PeerReply::Answered(answer) => answer.status.to_string(),
        PeerReply::Failed(code) => code.to_string(),
    }
}

/// Logs how a request that entered at this node ended, with the decisions behind it.
pub(crate) fn log_request_end(
    state: &NodeState,
    context: &CallContext,
    reply: &PeerReply,
    took: Duration,
) {
    if !state.request_log_limit.allow(state.now(), &state.log) {
        return;
    }
    let versions = context.versions.as_ref();
    let version = versions.and_then(|choice| choice.version.as_ref()).map(|v| v.as_str());
    info!(state.log, "request ended"; "id" => &context.id, "route" => %context.route.name,
        "service" => %context.service, "config" => context.table.version.0,
        "version" => version, "rank" => context.priority(), "may_go" => versions.is_some(),
        "outcome" => outcome(reply), "tries" => context.attempt_log.borrow().to_text(),
        "took_ms" => took.as_millis() as u64);
}

/// Logs a request that was refused before a backend server was chosen.
pub(crate) fn log_request_refusal(state: &NodeState, id: &str, path: &str, code: Code) {
    if state.request_log_limit.allow(state.now(), &state.log) {
        warn!(state.log, "request refused"; "id" => id, "path" => path, "outcome" => %code,
            "config" => state.control.table().map(|table| table.version.0));
    }
}
