//! Receives heartbeats of the local backend server in the platform's format.

use std::time::Duration;

use ntex::http::{Request, Response, StatusCode};
use savorykeel_platform::{MAX_HEARTBEAT_BYTES, decode_heartbeat};
use savorykeel_policy::code::Code;
use slog::warn;

use crate::{
    http::{code_response, read_body},
    state::NodeState,
};

use super::local_backend;

/// Maximum time for reading a heartbeat; its sender gives up after 1 second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a heartbeat, whose content is valid for `lease`.
///
/// Stale heartbeats and those of other backend servers are acknowledged without effect.
pub(crate) async fn handle(state: &NodeState, mut req: Request, lease: Duration) -> Response {
    let mut payload = req.take_payload();
    let mut memory = state.body_memory.reservation(MAX_HEARTBEAT_BYTES);
    let read = read_body(&mut payload, MAX_HEARTBEAT_BYTES, HEARTBEAT_TIMEOUT, &mut memory);
    let Ok(body) = read.await else {
        return code_response(Code::BadRequest, "the heartbeat can't be read");
    };
    match decode_heartbeat(req.method().as_str(), req.path(), &body, lease) {
        Ok(message) => {
            local_backend::handle_message(state, message);
            Response::build(StatusCode::OK).json(&serde_json::json!({}))
        }
        Err(e) => {
            warn!(state.log, "heartbeat refused"; "path" => req.path(), "problem" => %e);
            code_response(Code::BadRequest, format!("the heartbeat: {e}"))
        }
    }
}
