//! What a request met on its way, for the one line that is logged about it.

use std::time::{Duration, Instant};

use savorykeel_policy::{code::Code, ids::InstanceName};
use savorykeel_ports::peer::PeerReply;
use slog::{info, warn};

use crate::state::NodeState;

use super::journey::Journey;

/// One try at a backend server.
#[derive(Debug)]
struct Step {
    instance: InstanceName,
    outcome: String,
    took: Duration,
}

/// The tries of one request in order.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    steps: Vec<Step>,
}

impl Trail {
    /// Notes how a try ended.
    pub(crate) fn note(&mut self, instance: &InstanceName, reply: &PeerReply, started: Instant) {
        let (instance, took) = (instance.clone(), started.elapsed());
        self.steps.push(Step { instance, outcome: outcome(reply), took });
    }

    /// Returns the tries as text: instance, outcome and milliseconds of each.
    fn to_text(&self) -> String {
        let step =
            |step: &Step| format!("{}:{}:{}", step.instance, step.outcome, step.took.as_millis());
        self.steps.iter().map(step).collect::<Vec<_>>().join(" ")
    }
}

fn outcome(reply: &PeerReply) -> String {
    match reply {
        PeerReply::Answered(answer) => answer.status.to_string(),
        PeerReply::Failed(code) => code.to_string(),
    }
}

/// Logs how a request that entered here ended, and by what it was decided.
pub(crate) fn log_end(state: &NodeState, journey: &Journey, reply: &PeerReply, took: Duration) {
    if !state.request_log_limit.allow(state.now(), &state.log) {
        return;
    }
    let versions = journey.versions.as_ref();
    let version = versions.and_then(|choice| choice.version.as_ref()).map(|v| v.as_str());
    info!(state.log, "request ended"; "id" => &journey.id, "route" => %journey.route.name,
        "service" => %journey.service, "config" => journey.table.version.0,
        "version" => version, "rank" => journey.priority(), "may_go" => versions.is_some(),
        "outcome" => outcome(reply), "tries" => journey.trail.borrow().to_text(),
        "took_ms" => took.as_millis() as u64);
}

/// Logs a request that was answered before any backend server was looked for.
pub(crate) fn log_refused(state: &NodeState, id: &str, path: &str, code: Code) {
    if state.request_log_limit.allow(state.now(), &state.log) {
        warn!(state.log, "request refused"; "id" => id, "path" => path, "outcome" => %code,
            "config" => state.control.table().map(|table| table.version.0));
    }
}
