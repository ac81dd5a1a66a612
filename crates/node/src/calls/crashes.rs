//! Detects crashes of the local backend server and notifies the group of its service.
//!
//! A connection that is lost before the backend server has answered counts as a crash if the
//! backend server doesn't accept connections any more. The group is notified so that every
//! member treats the requests that were running as suspects.

use std::{rc::Rc, sync::atomic::Ordering, time::Duration};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::{
        crash_notice::{CrashNotice, NOTICE_BATCH_PERIOD, NoticeOutbox, NoticeRecipients},
        ledger_message::LedgerMessage,
        quarantine::{CrashId, Fingerprint, QuarantineStatus},
    },
    time::Tick,
};
use slog::warn;

use crate::{state::NodeState, worker::Worker};

use super::state::to_millis;

/// Time after a lost connection within which further lost connections belong to the same
/// crash.
const CRASH_MERGE_WINDOW: Duration = Duration::from_millis(200);

/// The newest crash of the backend server.
#[derive(Debug, Default)]
pub(crate) struct NewestCrash(Mutex<Option<(CrashId, Tick)>>);

impl NewestCrash {
    /// Returns the crash that a connection lost at `now` belongs to.
    fn current(&self, state: &NodeState, now: Tick) -> CrashId {
        let mut newest = self.0.lock();
        match &mut *newest {
            Some((crash, last_loss)) if now.since(*last_loss) < CRASH_MERGE_WINDOW => {
                *last_loss = now;
                *crash
            }
            _ => {
                let number = state.calls.crash_count.fetch_add(1, Ordering::Relaxed);
                let crash = CrashId { incarnation: state.calls.incarnation, number };
                *newest = Some((crash, now));
                crash
            }
        }
    }
}

/// Notices about crashes for the other nodes of the service.
#[derive(Debug, Default)]
pub(crate) struct CrashNotices {
    /// For the nodes of the own availability zone.
    own_zone: Mutex<NoticeOutbox>,
    /// For the relays of the other zones.
    other_zones: Mutex<NoticeOutbox>,
}

/// A request that was forwarded to the backend server and has not ended.
pub(crate) struct ForwardedRequest {
    fingerprint: Fingerprint,
    was_suspect: bool,
}

impl ForwardedRequest {
    /// Records that a request is about to be forwarded to the backend server.
    pub(crate) fn start(state: &NodeState, fingerprint: Fingerprint) -> Self {
        let status = state.calls.quarantine.lock().status(fingerprint, state.now());
        Self { fingerprint, was_suspect: status == QuarantineStatus::Suspect }
    }

    /// Records that the backend server answered, and clears a suspect in the whole group.
    pub(crate) fn record_success(self, worker: &Rc<Worker>) {
        if !self.was_suspect {
            return;
        }
        worker.state.calls.quarantine.lock().record_success(self.fingerprint);
        notify_group(worker, CrashNotice::Cleared { fingerprint: self.fingerprint });
    }

    /// Records that the connection was lost before an answer arrived, and a crash if the
    /// backend server doesn't accept connections any more.
    ///
    /// An answer may also be lost by a backend server that runs on. Its requests would become
    /// suspects, which run one at a time, and be refused after two such losses.
    pub(crate) fn record_connection_loss(self, worker: &Rc<Worker>, has_crashed: bool) {
        let state = &worker.state;
        if !has_crashed {
            warn!(state.log, "answer of the backend server was lost");
            return;
        }
        let now = state.now();
        let crash = state.calls.newest_crash.current(state, now);
        state.calls.quarantine.lock().record_crash(self.fingerprint, crash, now);
        warn!(state.log, "connection to the backend server was lost with a request";
            "crash" => crash.number, "was_suspect" => self.was_suspect);
        notify_group(worker, CrashNotice::Crashed { crash, fingerprint: self.fingerprint });
    }
}

/// Records what other nodes of the service noticed about requests.
pub(crate) fn record_notices(state: &NodeState, notices: &[CrashNotice]) {
    let now = state.now();
    let mut quarantine = state.calls.quarantine.lock();
    for notice in notices {
        match *notice {
            CrashNotice::Crashed { crash, fingerprint } => {
                quarantine.record_crash(fingerprint, crash, now);
            }
            CrashNotice::Cleared { fingerprint } => quarantine.record_success(fingerprint),
        }
    }
}

/// Sends a notice to the other nodes of this node's service.
fn notify_group(worker: &Rc<Worker>, notice: CrashNotice) {
    enqueue(worker, NoticeScope::OtherZones, &[notice]);
    enqueue(worker, NoticeScope::OwnZone, &[notice]);
}

/// Passes notices from another availability zone on to the other nodes of the service in the
/// own one.
pub(crate) fn notify_own_zone(worker: &Rc<Worker>, notices: &[CrashNotice]) {
    enqueue(worker, NoticeScope::OwnZone, notices);
}

/// Nodes to which a notice is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoticeScope {
    OwnZone,
    OtherZones,
}

/// Sends notices at once, because their requests may come again at once, or with others if some
/// were sent within [`NOTICE_BATCH_PERIOD`].
///
/// A relay receives the notices of all other zones: when many backend servers lose answers, it
/// would have to pass on thousands of messages a second one by one.
fn enqueue(worker: &Rc<Worker>, scope: NoticeScope, notices: &[CrashNotice]) {
    if !outbox(worker, scope).lock().push(notices) {
        return;
    }
    // The first notice is on its way before the caller can learn that its request failed.
    send_unsent(worker, scope);
    let worker = worker.clone();
    ntex::rt::spawn(async move {
        loop {
            ntex::time::sleep(to_millis(NOTICE_BATCH_PERIOD)).await;
            if !send_unsent(&worker, scope) {
                return;
            }
        }
    })
    .detach();
}

fn outbox(worker: &Worker, scope: NoticeScope) -> &Mutex<NoticeOutbox> {
    let notices = &worker.state.calls.crash_notices;
    match scope {
        NoticeScope::OwnZone => &notices.own_zone,
        NoticeScope::OtherZones => &notices.other_zones,
    }
}

/// Sends the notices that have not been sent; returns whether there were any.
fn send_unsent(worker: &Rc<Worker>, scope: NoticeScope) -> bool {
    let Some(notices) = outbox(worker, scope).lock().take() else { return false };
    let recipients = recipients(worker);
    let addrs = match scope {
        NoticeScope::OwnZone => recipients.own_zone,
        NoticeScope::OtherZones => recipients.relays,
    };
    let is_for_zone = scope == NoticeScope::OtherZones;
    for addr in addrs {
        let message = LedgerMessage::CrashNotices { notices: notices.clone(), is_for_zone };
        let worker = worker.clone();
        ntex::rt::spawn(async move { super::ledger_client::send(&worker, addr, &message).await })
            .detach();
    }
    true
}

fn recipients(worker: &Worker) -> NoticeRecipients {
    let Some(service) = worker.state.service() else { return NoticeRecipients::default() };
    let identity = &worker.state.control.identity;
    worker.state.control.with_members(|members| {
        NoticeRecipients::of(&identity.instance, &identity.zone, &service, members)
    })
}
