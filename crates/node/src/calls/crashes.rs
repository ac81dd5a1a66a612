//! Detects crashes of the local backend server and notifies the group of its service.
//!
//! A connection that is lost before the backend server has answered counts as a crash.
//! The group is notified so that every member treats the requests that were running as
//! suspects.

use std::{rc::Rc, sync::atomic::Ordering, time::Duration};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::{
        ledger_message::LedgerMessage,
        quarantine::{CrashId, Fingerprint, QuarantineStatus},
    },
    time::Tick,
};
use slog::warn;

use crate::{state::NodeState, worker::Worker};

use super::group;

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
        notify_group(worker, LedgerMessage::Cleared { fingerprint: self.fingerprint });
    }

    /// Records that the connection was lost before an answer arrived.
    pub(crate) fn record_connection_loss(self, worker: &Rc<Worker>) {
        let state = &worker.state;
        let now = state.now();
        let crash = state.calls.newest_crash.current(state, now);
        state.calls.quarantine.lock().record_crash(self.fingerprint, crash, now);
        warn!(state.log, "connection to the backend server was lost with a request";
            "crash" => crash.number, "was_suspect" => self.was_suspect);
        let running = vec![self.fingerprint];
        notify_group(worker, LedgerMessage::Crashed { crash, running });
    }
}

/// Sends a message to the other members of the group of this node's service.
fn notify_group(worker: &Rc<Worker>, message: LedgerMessage) {
    let Some(service) = worker.state.service() else { return };
    let view = group::view(&worker.state, &service);
    let own = &worker.state.settings.instance;
    for member in view.members().iter().filter(|member| member.identity.instance != *own) {
        let (worker, addr, message) = (worker.clone(), member.addr, message.clone());
        ntex::rt::spawn(async move { super::ledger_client::send(&worker, addr, &message).await })
            .detach();
    }
}
