//! The control plane of a node: configuration, membership and recovery.
//!
//! [`run`] runs its loops on one thread; the other threads read
//! [`state::ControlState`]. The design and its reasons are described in
//! `docs/design/0002-configuration.md` and `docs/design/0003-membership.md`.

mod announced;
mod checkpoints;
pub mod contact;
mod context;
mod derived;
mod desired;
mod era;
mod evacuation;
mod evacuation_log;
mod event;
mod exchange;
mod gossip;
mod handle;
pub mod journal;
mod last_contact;
mod maintenance;
mod metrics;
mod presence;
mod probe;
mod pull;
mod reader;
mod restore;
mod roles;
pub mod snapshot;
mod start;
pub mod state;
pub(crate) mod topic;
mod traffic;

pub(crate) use era::CheckedEra;

pub use context::{ControlContext, ControlMode, ControlTimes};
pub(crate) use reader::{jittered, to_millis};
pub use start::start;
pub(crate) use traffic::LinkPurpose;

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use savorykeel_policy::distribution::message::MessageBody;
use savorykeel_ports::{desired::DesiredState, log::LogService, peer::PeerLinks};
use tokio_util::sync::CancellationToken;

/// Longest time for which a stopping node waits until its neighbours have
/// acknowledged that it is gone.
const GONE_NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs the control loops until `cancel` is cancelled, then notifies the neighbours
/// that this node is gone.
pub async fn run<L, P>(cx: ControlContext<L, P>, cancel: CancellationToken)
where
    L: LogService + DesiredState + 'static,
    P: PeerLinks + 'static,
{
    let cx = Rc::new(cx);
    cx.state.with_recovery(|recovery| match cx.log.is_stored_by_platform() {
        true => recovery.await_moves(),
        false => recovery.await_evacuations(),
    });
    let loops = async {
        tokio::join!(
            reader::read_while_needed(&cx),
            gossip::handle_events(cx.clone()),
            presence::maintain_presence(cx.clone()),
            presence::restore_presence(cx.clone()),
            presence::recover(cx.clone()),
            probe::probe_watched(cx.clone()),
            maintenance::expire_members(cx.clone()),
            maintenance::reconnect_unreachable(cx.clone()),
            maintenance::remove_departed(cx.clone()),
            checkpoints::write_when_due(cx.clone()),
            metrics::report_periodically(cx.clone()),
            era::watch(cx.clone()),
            evacuation::watch_pauses(cx.clone()),
            evacuation_log::read_while_needed(cx.clone()),
            crate::moves::run(cx.clone()),
        );
    };
    tokio::select! {
        () = loops => {}
        () = cancel.cancelled() => {}
    }
    announce_gone(&cx).await;
}

async fn announce_gone<L, P: PeerLinks>(cx: &ControlContext<L, P>) {
    cx.state.declare_gone();
    let entries = cx.state.entries_of(std::slice::from_ref(&cx.state.identity.instance));
    let spread_targets = cx.state.spread_targets();
    let mut recipients = cx.neighbours().all();
    recipients.extend(spread_targets.all().cloned());
    recipients.sort();
    recipients.dedup();
    let notify = |addr| {
        cx.exchange(addr, MessageBody::Updates { entries: entries.clone() }, GONE_NOTICE_TIMEOUT)
    };
    join_all(recipients.iter().map(|recipient| notify(recipient.addr))).await;
}
