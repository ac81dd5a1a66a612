//! Announcements of the backend server on the same instance.

use std::{net::SocketAddr, time::Duration};

use ntex::http::{Method, Request, Response, StatusCode};
use savorykeel_policy::{
    code::Code,
    ids::{BackendVersion, ServiceName},
    membership::entry::BackendRecord,
    time::Tick,
};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use slog::info;

use crate::{
    http::{HttpResult, code_response, read_body},
    state::NodeState,
};

/// Path at which the backend server announces itself to its node.
pub(crate) const ANNOUNCEMENT_PATH: &str = "/savorykeel/v1/announcement";

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;

/// Longest time that an announcement may take to arrive.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Leases that may pass before a silent backend server counts as gone.
///
/// A backend server whose process is paused for a moment keeps its place; calls
/// route around it sooner by their own evidence.
const LEASE_GRACE: u32 = 2;

/// What a backend server says of itself.
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

/// A backend server's announcement with the time until which it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Announcement {
    /// What other nodes are told.
    pub(crate) record: BackendRecord,
    /// Address of the backend server.
    pub(crate) addr: SocketAddr,
    /// Connections that the backend server takes.
    pub(crate) connections: u32,
    /// When the lease ends.
    pub(crate) expires: Tick,
}

impl Announcement {
    fn new(raw: RawAnnouncement, now: Tick) -> Self {
        let record = BackendRecord {
            service: raw.service,
            version: raw.version,
            slots: raw.slots,
            draining: raw.draining,
        };
        Self {
            record,
            addr: raw.address,
            connections: raw.connections,
            expires: now + raw.lease * LEASE_GRACE,
        }
    }
}

/// The node's reply to an announcement.
#[derive(Serialize)]
struct Accepted {
    accepted: bool,
}

/// Answers a request on the announcement path.
pub(crate) async fn handle(state: &NodeState, mut req: Request) -> HttpResult {
    match *req.method() {
        Method::PUT => {
            let mut payload = req.take_payload();
            let read = read_body(&mut payload, MAX_ANNOUNCEMENT_BYTES, ANNOUNCEMENT_TIMEOUT);
            let Ok(body) = read.await else {
                return Ok(code_response(Code::BadRequest, "the announcement can't be read"));
            };
            match serde_json::from_slice(&body) {
                Ok(raw) => Ok(accept(state, raw)),
                Err(e) => Ok(code_response(Code::BadRequest, format!("the announcement: {e}"))),
            }
        }
        Method::DELETE => {
            withdraw(state, "announced");
            Ok(accepted())
        }
        _ => Ok(code_response(Code::BadRequest, "use PUT to announce and DELETE to leave")),
    }
}

fn accept(state: &NodeState, raw: RawAnnouncement) -> Response {
    let announcement = Announcement::new(raw, (state.clock.tick)());
    let mut backend = state.backend.lock();
    let is_new = backend.as_ref().is_none_or(|old| old.record != announcement.record);
    if is_new {
        let record = &announcement.record;
        info!(state.log, "backend server announced itself";
            "service" => %record.service, "version" => %record.version,
            "slots" => record.slots, "draining" => record.draining);
        state.control.set_backend(Some(record.clone()));
    }
    note_start(state, backend.as_ref(), &announcement);
    *backend = Some(announcement);
    accepted()
}

/// Tells the evidence on moves when another backend server than before runs.
fn note_start(state: &NodeState, before: Option<&Announcement>, announcement: &Announcement) {
    let is_same = |before: &Announcement| {
        before.addr == announcement.addr
            && before.record.service == announcement.record.service
            && before.record.version == announcement.record.version
    };
    if before.is_some_and(is_same) {
        return;
    }
    let is_restart =
        before.is_some_and(|before| before.record.version == announcement.record.version);
    if is_restart {
        state.control.moves.backend_crashed();
    }
    let identity = &state.control.identity;
    let incarnation = state.control.incarnation();
    let (record, now) = (&announcement.record, (state.clock.tick)());
    state.control.moves.backend_started(
        &identity.instance,
        incarnation,
        &identity.zone,
        record,
        now,
    );
}

fn accepted() -> Response {
    Response::build(StatusCode::OK).json(&Accepted { accepted: true })
}

fn withdraw(state: &NodeState, reason: &str) {
    let mut backend = state.backend.lock();
    if backend.take().is_some() {
        info!(state.log, "backend server left"; "reason" => reason);
        state.control.set_backend(None);
    }
}

/// Withdraws the backend server when its lease ended.
pub(crate) fn expire(state: &NodeState) {
    let now = (state.clock.tick)();
    let is_expired = state.backend.lock().as_ref().is_some_and(|backend| backend.expires < now);
    if is_expired {
        state.control.moves.backend_crashed();
        withdraw(state, "lease ended");
    }
}
