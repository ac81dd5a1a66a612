//! Heartbeats of the backend server in the platform's form.

use std::time::Duration;

use ntex::http::{Request, Response, StatusCode};
use savorykeel_platform::{MAX_HEARTBEAT_BYTES, decode_heartbeat};
use savorykeel_policy::code::Code;
use slog::warn;

use crate::{
    http::{HttpResult, code_response, read_body},
    state::NodeState,
};

use super::local_backend;

/// Longest time that a heartbeat may take to arrive; its sender gives up after a
/// second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes in a heartbeat; one that is late or foreign is acknowledged and changes
/// nothing.
pub(crate) async fn handle(state: &NodeState, mut req: Request, lease: Duration) -> HttpResult {
    let mut payload = req.take_payload();
    let read = read_body(&mut payload, MAX_HEARTBEAT_BYTES, HEARTBEAT_TIMEOUT);
    let Ok(body) = read.await else {
        return Ok(code_response(Code::BadRequest, "the heartbeat can't be read"));
    };
    match decode_heartbeat(req.method().as_str(), req.path(), &body, lease) {
        Ok(message) => {
            local_backend::handle_message(state, message);
            Ok(Response::build(StatusCode::OK).json(&serde_json::json!({})))
        }
        Err(e) => {
            warn!(state.log, "heartbeat refused"; "path" => req.path(), "problem" => %e);
            Ok(code_response(Code::BadRequest, format!("the heartbeat: {e}")))
        }
    }
}
