//! What each reply to another node tells about the load of this one.

use std::time::Duration;

use savorykeel_adapters::metrics::Counter;
use savorykeel_ports::peer::LoadHint;
use slog::info;

use crate::state::NodeState;

/// Returns the load of this node; `own_time` is the time since the call arrived.
pub(super) fn load_hint(state: &NodeState, own_time: Duration) -> LoadHint {
    log_limit_change(state);
    let slots = &state.calls.slots;
    LoadHint {
        in_flight: slots.load(),
        own_time,
        run_time: slots.run_time(),
        rate_wait: slots.rate_wait(),
        link_wait: state.calls.outgoing.link_wait(),
        concurrency_limit: slots.concurrency_limit(),
    }
}

/// Logs and counts a change of the learned limit. It changes at most twice a second.
fn log_limit_change(state: &NodeState) {
    let Some(change) = state.calls.slots.take_limit_change() else { return };
    info!(state.log, "learned concurrency limit changed"; "from" => change.from,
        "to" => change.to, "slots" => change.slots);
    state.metrics.count(Counter::ConcurrencyLimitChanges, 1, &[]);
}
