//! Announcements of the local backend server in savorykeel's own HTTP format.

use std::{net::SocketAddr, time::Duration};

use ntex::http::{Method, Request, Response, StatusCode};
use savorykeel_policy::{
    code::Code,
    ids::{BackendVersion, ServiceName},
    server::announcement::{Announcement, ServerIncarnation, ServerMessage},
};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    http::{code_response, read_body},
    state::NodeState,
};

use super::local_backend;

/// Path at which the backend server announces itself to its node.
pub(crate) const ANNOUNCEMENT_PATH: &str = "/savorykeel/v1/announcement";

/// Largest body of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;

/// Longest time that an announcement may take to arrive.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of an announcement: how a backend server describes itself.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawAnnouncement {
    service: ServiceName,
    version: BackendVersion,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    #[serde(default)]
    draining: bool,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    lease: Duration,
}

impl From<RawAnnouncement> for Announcement {
    fn from(raw: RawAnnouncement) -> Self {
        Self {
            incarnation: ServerIncarnation::default(),
            sequence: 0,
            service: raw.service,
            version: raw.version,
            addr: raw.address,
            slots: raw.slots,
            connections: Some(raw.connections),
            draining: raw.draining,
            lease: raw.lease,
            cold_left: None,
        }
    }
}

/// Body of the node's reply to an announcement.
#[derive(Serialize)]
struct Accepted {
    accepted: bool,
}

/// Handles a request to [`ANNOUNCEMENT_PATH`]: PUT announces the backend server and
/// DELETE withdraws it.
pub(crate) async fn handle(state: &NodeState, mut req: Request) -> Response {
    match *req.method() {
        Method::PUT => {
            let mut payload = req.take_payload();
            let mut memory = state.body_memory.reservation(MAX_ANNOUNCEMENT_BYTES);
            let timeout = ANNOUNCEMENT_TIMEOUT;
            let read = read_body(&mut payload, MAX_ANNOUNCEMENT_BYTES, timeout, &mut memory);
            let Ok(body) = read.await else {
                return code_response(Code::BadRequest, "the announcement can't be read");
            };
            match serde_json::from_slice::<RawAnnouncement>(&body) {
                Ok(raw) => {
                    local_backend::handle_message(state, ServerMessage::Announced(raw.into()));
                    accepted_response()
                }
                Err(e) => code_response(Code::BadRequest, format!("the announcement: {e}")),
            }
        }
        Method::DELETE => {
            local_backend::withdraw(state, "announced");
            accepted_response()
        }
        _ => code_response(Code::BadRequest, "use PUT to announce and DELETE to leave"),
    }
}

fn accepted_response() -> Response {
    Response::build(StatusCode::OK).json(&Accepted { accepted: true })
}
