//! The node's own backend server: handles its announcements and publishes its state
//! to other nodes.

use std::{net::SocketAddr, time::Duration};

use savorykeel_policy::{
    ids::ServiceName,
    membership::entry::BackendRecord,
    server::{
        announcement::{Announcement, ServerIncarnation, ServerMessage},
        rate::RequestRate,
        tracker::{AnnouncementOutcome, CurrentServer, RateStatement},
        warm_up::WarmUp,
    },
    time::Tick,
};
use savorykeel_ports::backend::{RateNotice, ServerNotice};
use slog::{info, warn};

use crate::state::NodeState;

/// Limit of connections to a backend server when neither its announcement nor the
/// configuration states one.
const DEFAULT_CONNECTIONS: u32 = 64;

/// The local backend server as a call needs it.
#[derive(Debug, Clone)]
pub(crate) struct LocalBackend {
    /// Record that is published to other nodes.
    pub(crate) record: BackendRecord,
    /// The only incarnation that may run requests.
    pub(crate) incarnation: ServerIncarnation,
    /// Address at which it accepts requests.
    pub(crate) addr: SocketAddr,
    /// Largest number of connections that the node opens to it.
    pub(crate) connections: u32,
    /// Requests a second that it takes, if its answers state a rate or it is cold.
    pub(crate) rate: Option<RequestRate>,
}

/// Handles a message of the backend server about itself.
pub(crate) fn handle_message(state: &NodeState, message: ServerMessage) -> AnnouncementOutcome {
    match message {
        ServerMessage::Announced(announcement) => handle_announcement(state, announcement),
        ServerMessage::Leaving(id) => handle_leaving(state, &id),
    }
}

fn handle_announcement(state: &NodeState, announcement: Announcement) -> AnnouncementOutcome {
    let expected = state.expected_server();
    let mut tracker = state.backend.lock();
    let previous = tracker.current().map(|current| current.announcement.clone());
    let outcome = tracker.record_announcement(announcement.clone(), expected.as_ref(), state.now());
    match outcome {
        AnnouncementOutcome::Started | AnnouncementOutcome::Changed => {
            log_announcement(state, &announcement, outcome);
            publish(state, tracker.current());
        }
        AnnouncementOutcome::Renewed => {}
        AnnouncementOutcome::Stale | AnnouncementOutcome::Foreign => {
            warn!(state.log, "announcement ignored"; "noted" => %outcome,
                "server" => &announcement.incarnation.id, "service" => %announcement.service,
                "addr" => %announcement.addr, "sequence" => announcement.sequence);
        }
    }
    if outcome == AnnouncementOutcome::Started {
        record_start(state, previous.as_ref(), &announcement);
    }
    drop(tracker);
    if !matches!(outcome, AnnouncementOutcome::Stale | AnnouncementOutcome::Foreign) {
        let wall = (state.clock.wall)();
        state.calls.warm_up.tracker().record_announcement(&announcement, state.now(), wall);
        apply_rate(state);
    }
    outcome
}

/// Applies the present rate of the backend server to requests that wait. Requests that arrive
/// apply it themselves.
fn apply_rate(state: &NodeState) {
    let grace = state.settings.limits.leave_grace;
    let Some(backend) = available(state, grace) else { return };
    if warm_up_of(state, &backend.record.service).is_some() {
        state.calls.slots.set_rate(backend.rate);
    }
}

/// Returns the limit that the configuration states for cold backend servers of a service.
fn warm_up_of(state: &NodeState, service: &ServiceName) -> Option<WarmUp> {
    state.control.table()?.configuration.services.get(service)?.warm_up
}

fn log_announcement(state: &NodeState, announcement: &Announcement, outcome: AnnouncementOutcome) {
    info!(state.log, "backend server announced itself"; "noted" => %outcome,
        "server" => &announcement.incarnation.id,
        "started_ms" => announcement.incarnation.started_ms, "sequence" => announcement.sequence,
        "service" => %announcement.service,
        "version" => %announcement.version, "slots" => announcement.slots,
        "draining" => announcement.draining);
}

fn handle_leaving(state: &NodeState, id: &str) -> AnnouncementOutcome {
    let mut tracker = state.backend.lock();
    if !tracker.record_leaving(id, state.now(), (state.clock.wall)().0) {
        return AnnouncementOutcome::Stale;
    }
    info!(state.log, "backend server leaves"; "server" => id, "said_in" => "announcement");
    publish(state, tracker.current());
    AnnouncementOutcome::Changed
}

/// Records in the evidence on moves that a new incarnation runs.
///
/// A new incarnation of the same version counts as a crash of the previous one, unless
/// that one was draining.
fn record_start(state: &NodeState, previous: Option<&Announcement>, announcement: &Announcement) {
    state.calls.slots.forget_server();
    let is_restart = previous
        .is_some_and(|previous| previous.version == announcement.version && !previous.draining);
    if is_restart {
        state.control.moves.record_backend_crash();
    }
    let identity = &state.control.identity;
    state.control.moves.record_backend_start(
        &identity.instance,
        state.control.incarnation(),
        &identity.zone,
        &backend_record(announcement, announcement.draining),
        announcement.cold_left,
        state.now(),
    );
}

/// Publishes the record of the backend server to other nodes; `None` withdraws it.
fn publish(state: &NodeState, current: Option<&CurrentServer>) {
    let record = current
        .map(|current| backend_record(&current.announcement, current.leaving_since.is_some()));
    state.control.set_backend(record);
}

fn backend_record(announcement: &Announcement, draining: bool) -> BackendRecord {
    BackendRecord {
        service: announcement.service.clone(),
        version: announcement.version.clone(),
        slots: announcement.slots,
        draining,
    }
}

/// Returns the backend server if it may be given new work.
///
/// A leaving one may be given new work for `grace` after it reported its leaving.
pub(crate) fn available(state: &NodeState, grace: Duration) -> Option<LocalBackend> {
    let tracker = state.backend.lock();
    let current = tracker.current().filter(|current| current.accepts_work(state.now(), grace))?;
    let announcement = &current.announcement;
    let configured_connections = || {
        let table = state.control.table()?;
        table.configuration.services.get(&announcement.service)?.connections
    };
    let stated_rate = current.stated_rate.map(|stated| stated.rate);
    let warm_up = warm_up_of(state, &announcement.service);
    state
        .calls
        .warm_up
        .tracker()
        .record_ended_evacuations(state.control.ended_evacuations(), state.now());
    let cold_rate = state.calls.warm_up.rate(warm_up.as_ref(), state.now(), &state.log);
    Some(LocalBackend {
        record: backend_record(announcement, current.leaving_since.is_some()),
        incarnation: announcement.incarnation.clone(),
        addr: announcement.addr,
        connections: announcement
            .connections
            .or_else(configured_connections)
            .unwrap_or(DEFAULT_CONNECTIONS),
        rate: [stated_rate, cold_rate].into_iter().flatten().reduce(RequestRate::smaller),
    })
}

/// Records what the answer to a request that was sent at `sent_at` tells about the backend
/// server.
pub(crate) fn record_notice(
    state: &NodeState,
    incarnation: &ServerIncarnation,
    notice: ServerNotice,
    sent_at: Tick,
) {
    if notice.is_leaving {
        record_leaving_answer(state, incarnation);
    }
    record_rate(state, incarnation, notice.rate, sent_at);
}

/// Records that the backend server said in an answer that it is leaving. Its announcements may
/// arrive later or not at all.
fn record_leaving_answer(state: &NodeState, incarnation: &ServerIncarnation) {
    let mut tracker = state.backend.lock();
    if tracker.current().is_none_or(|c| c.announcement.incarnation != *incarnation) {
        return;
    }
    if tracker.record_leaving(&incarnation.id, state.now(), (state.clock.wall)().0) {
        info!(state.log, "backend server leaves"; "server" => &incarnation.id, "said_in" => "answer");
        publish(state, tracker.current());
    }
}

fn record_rate(
    state: &NodeState,
    incarnation: &ServerIncarnation,
    notice: RateNotice,
    sent_at: Tick,
) {
    let rate = match notice {
        RateNotice::Unlimited => None,
        RateNotice::Limited(rate) => Some(rate),
        RateNotice::Unreadable => return log_unreadable_rate(state, incarnation),
    };
    let (now, statement) = (state.now(), RateStatement { rate, sent_at });
    if !state.backend.lock().record_rate(incarnation, statement, now) {
        return;
    }
    if state.request_log_limit.allow(now, &state.log) {
        info!(state.log, "backend server changed its stated rate"; "server" => &incarnation.id,
            "per_second" => rate.map(RequestRate::per_second));
    }
}

fn log_unreadable_rate(state: &NodeState, incarnation: &ServerIncarnation) {
    if state.request_log_limit.allow(state.now(), &state.log) {
        warn!(state.log, "stated rate of the backend server ignored: it isn't a number";
            "server" => &incarnation.id);
    }
}

/// Returns whether the local backend server belongs to `service` and is leaving.
pub(crate) fn is_leaving(state: &NodeState, service: &ServiceName) -> bool {
    let tracker = state.backend.lock();
    tracker.current().is_some_and(|current| {
        current.announcement.service == *service && current.leaving_since.is_some()
    })
}

/// Withdraws the backend server, which has left or no longer renews its lease.
///
/// `reason` is written to the log.
pub(crate) fn withdraw(state: &NodeState, reason: &str) {
    let mut tracker = state.backend.lock();
    let Some(current) = tracker.withdraw() else { return };
    info!(state.log, "backend server withdrawn"; "reason" => reason,
        "server" => &current.announcement.incarnation.id);
    publish(state, None);
}

/// Withdraws the backend server if its lease has ended; this counts as a crash.
pub(crate) fn expire(state: &NodeState) {
    apply_rate(state);
    if !state.backend.lock().is_expired(state.now()) {
        return;
    }
    state.control.moves.record_backend_crash();
    withdraw(state, "lease ended");
}
