//! The backend server beside the node: what it announces and what is told of it.

use std::{net::SocketAddr, time::Duration};

use savorykeel_policy::{
    ids::ServiceName,
    membership::entry::BackendRecord,
    server::{
        announcement::{Announcement, ServerIncarnation, ServerMessage},
        tracker::{AnnouncementOutcome, CurrentServer},
    },
};
use slog::{info, warn};

use crate::state::NodeState;

/// Connections that a backend server takes when neither it nor the configuration
/// states them.
const USUAL_CONNECTIONS: u32 = 64;

/// The backend server as a call uses it.
#[derive(Debug, Clone)]
pub(crate) struct Backend {
    /// What other nodes are told.
    pub(crate) record: BackendRecord,
    /// Life that alone may run requests.
    pub(crate) life: ServerIncarnation,
    /// Address of the backend server.
    pub(crate) addr: SocketAddr,
    /// Connections that it takes.
    pub(crate) connections: u32,
}

/// Takes in what the backend server says of itself.
pub(crate) fn take(state: &NodeState, message: ServerMessage) -> AnnouncementOutcome {
    match message {
        ServerMessage::Announced(announcement) => announced(state, announcement),
        ServerMessage::Leaving(id) => leaving(state, &id),
    }
}

fn announced(state: &NodeState, announcement: Announcement) -> AnnouncementOutcome {
    let expected = state.expected_server();
    let mut book = state.backend.lock();
    let before = book.current().map(|known| known.announcement.clone());
    let noted = book.record_announcement(announcement.clone(), expected.as_ref(), state.now());
    match noted {
        AnnouncementOutcome::Started | AnnouncementOutcome::Changed => {
            log_announcement(state, &announcement, noted);
            tell_others(state, book.current());
        }
        AnnouncementOutcome::Renewed => {}
        AnnouncementOutcome::Stale | AnnouncementOutcome::Foreign => {
            warn!(state.log, "announcement not used"; "noted" => %noted,
                "server" => &announcement.incarnation.id, "service" => %announcement.service,
                "addr" => %announcement.addr, "sequence" => announcement.sequence);
        }
    }
    if noted == AnnouncementOutcome::Started {
        note_start(state, before.as_ref(), &announcement);
    }
    noted
}

fn log_announcement(state: &NodeState, announcement: &Announcement, noted: AnnouncementOutcome) {
    info!(state.log, "backend server announced itself"; "noted" => %noted,
        "server" => &announcement.incarnation.id, "started_ms" => announcement.incarnation.started_ms,
        "sequence" => announcement.sequence, "service" => %announcement.service,
        "version" => %announcement.version, "slots" => announcement.slots,
        "draining" => announcement.draining);
}

fn leaving(state: &NodeState, id: &str) -> AnnouncementOutcome {
    let mut book = state.backend.lock();
    if !book.record_leaving(id, state.now(), (state.clock.wall)().0) {
        return AnnouncementOutcome::Stale;
    }
    info!(state.log, "backend server leaves"; "server" => id);
    tell_others(state, book.current());
    AnnouncementOutcome::Changed
}

/// Tells the evidence on moves when another life than before runs.
fn note_start(state: &NodeState, before: Option<&Announcement>, announcement: &Announcement) {
    let is_restart =
        before.is_some_and(|before| before.version == announcement.version && !before.draining);
    if is_restart {
        state.control.moves.record_backend_crash();
    }
    let identity = &state.control.identity;
    state.control.moves.record_backend_start(
        &identity.instance,
        state.control.incarnation(),
        &identity.zone,
        &record_of(announcement, announcement.draining),
        announcement.cold_left,
        state.now(),
    );
}

fn tell_others(state: &NodeState, known: Option<&CurrentServer>) {
    let record = known.map(|k| record_of(&k.announcement, k.leaving_since.is_some()));
    state.control.set_backend(record);
}

fn record_of(announcement: &Announcement, draining: bool) -> BackendRecord {
    BackendRecord {
        service: announcement.service.clone(),
        version: announcement.version.clone(),
        slots: announcement.slots,
        draining,
    }
}

/// Returns the backend server if it may be given new work within `grace` after it
/// said that it leaves.
pub(crate) fn taking_work(state: &NodeState, grace: Duration) -> Option<Backend> {
    let book = state.backend.lock();
    let known = book.current().filter(|known| known.accepts_work(state.now(), grace))?;
    let announcement = &known.announcement;
    let configured = || {
        let table = state.control.table()?;
        table.configuration.services.get(&announcement.service)?.connections
    };
    Some(Backend {
        record: record_of(announcement, known.leaving_since.is_some()),
        life: announcement.incarnation.clone(),
        addr: announcement.addr,
        connections: announcement.connections.or_else(configured).unwrap_or(USUAL_CONNECTIONS),
    })
}

/// Tells whether the backend server of a service is here and leaves.
pub(crate) fn is_leaving(state: &NodeState, service: &ServiceName) -> bool {
    let book = state.backend.lock();
    book.current().is_some_and(|known| {
        known.announcement.service == *service && known.leaving_since.is_some()
    })
}

/// Withdraws the backend server because it left or can't be reached.
pub(crate) fn withdraw(state: &NodeState, reason: &str) {
    let mut book = state.backend.lock();
    let Some(known) = book.withdraw() else { return };
    info!(state.log, "backend server withdrawn"; "reason" => reason,
        "server" => &known.announcement.incarnation.id);
    tell_others(state, None);
}

/// Withdraws the backend server when its lease ended.
pub(crate) fn expire(state: &NodeState) {
    if !state.backend.lock().is_expired(state.now()) {
        return;
    }
    state.control.moves.record_backend_crash();
    withdraw(state, "lease ended");
}
