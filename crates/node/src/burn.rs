//! Records the results of calls that entered at this node, for the burn report and
//! for metrics.

use std::time::Duration;

use parking_lot::Mutex;
use savorykeel_adapters::metrics::{Counter, Tag, Timer};
use savorykeel_policy::{
    burn::{CallKey, Recorder, Snapshot, classify},
    code::Code,
    config::model::Route,
    ids::ServiceName,
    table::{Endpoint, Table},
};

use crate::state::NodeState;

/// Value of the metrics' tag `code` for a call that the backend server answered.
const ANSWERED: &str = "answered";

/// Results of the calls that entered at this node, shared by its worker threads.
///
/// Lock order: its lock is acquired after all others. It is held only to record one
/// call or to take a snapshot.
#[derive(Default)]
pub(crate) struct BurnState {
    recorder: Mutex<Recorder>,
}

/// A call that ended.
pub(crate) struct EndedCall<'a> {
    /// Routing table that the call used.
    pub(crate) table: &'a Table,
    /// Route that matched the request.
    pub(crate) route: &'a Route,
    /// Service to which the call was routed.
    pub(crate) service: &'a ServiceName,
    /// Backend server of the last attempt, or none when no attempt was made.
    pub(crate) endpoint: Option<&'a Endpoint>,
    /// HTTP status of the answer, or the result code of a call without one.
    pub(crate) result: Result<u16, Code>,
    /// Time from the receipt of the request's head to the end of the call.
    pub(crate) took: Duration,
}

/// Records a call that ended.
pub(crate) fn record_call(state: &NodeState, call: &EndedCall<'_>) {
    send_metrics(state, call);
    let Some(service) = call.table.services.get(call.service) else { return };
    let classification = classify(call.result, call.took, &service.service.objective);
    let key = CallKey {
        service: call.service.clone(),
        route: call.route.name.clone(),
        zone: call.endpoint.map(|endpoint| endpoint.zone.clone()),
        version: call.endpoint.map(|endpoint| endpoint.version.clone()),
    };
    state.burn.recorder.lock().record(&key, (state.clock.tick)(), classification);
}

/// Returns the counts of calls over all windows that end now.
pub(crate) fn snapshot(state: &NodeState) -> Snapshot {
    state.burn.recorder.lock().snapshot((state.clock.tick)())
}

/// Counts a retry, which is any attempt at a call after the first one, in the metrics.
pub(crate) fn count_retry(state: &NodeState, service: &ServiceName) {
    let tags = [Tag { key: "service", value: service.as_str() }];
    state.metrics.count(Counter::Retries, 1, &tags);
}

fn send_metrics(state: &NodeState, call: &EndedCall<'_>) {
    let code: &'static str = call.result.err().map_or(ANSWERED, Into::into);
    let tags = [
        Tag { key: "service", value: call.service.as_str() },
        Tag { key: "route", value: call.route.name.as_str() },
        Tag { key: "code", value: code },
    ];
    state.metrics.count(Counter::Calls, 1, &tags);
    state.metrics.time(Timer::CallMs, call.took, &tags[..2]);
}
