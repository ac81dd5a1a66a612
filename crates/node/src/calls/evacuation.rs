//! What an evacuation of its availability zone means for the calls that a node runs.
//!
//! See `docs/design/0020-evacuation.md`.

use std::time::Duration;

use savorykeel_policy::code::Code;

use crate::state::NodeState;

use super::state::to_millis;

/// Time between two checks of whether this node knows the evacuations after a pause.
const CERTAINTY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits, after a pause of this node, until it knows the evacuations of that time, for at most
/// [`savorykeel_policy::evacuation::MAX_UNCERTAINTY`].
pub(super) async fn await_certainty(state: &NodeState) {
    while !state.control.is_certain_of_evacuations() {
        ntex::time::sleep(to_millis(CERTAINTY_POLL_INTERVAL)).await;
    }
}

/// Refuses work while the availability zone of this node is evacuated. This node is the only
/// path to its backend server, so no request reaches that one whatever other nodes know.
pub(super) fn refuse_if_evacuated(state: &NodeState) -> Result<(), Code> {
    match state.control.is_own_zone_evacuated() {
        true => Err(Code::Evacuated),
        false => Ok(()),
    }
}
