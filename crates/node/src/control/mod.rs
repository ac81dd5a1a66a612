//! The control side of a node: configuration, membership and recovery.
//!
//! [`run`] drives it on one thread; [`state::ControlState`] is what the other
//! threads read. The reasons are in `docs/design/0002-configuration.md` and
//! `docs/design/0003-membership.md`.

mod checkpoints;
mod context;
mod desired;
mod duty;
mod event;
mod exchange;
mod gossip;
mod handle;
mod heard;
pub mod journal;
mod maintain;
mod metrics;
mod presence;
mod probe;
mod reader;
mod start;
pub mod state;
pub(crate) mod topic;

pub use context::{ControlContext, ControlMode, ControlTimes};
pub(crate) use reader::{jittered, to_millis};
pub use start::start;

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use savorykeel_policy::distribution::message::MessageBody;
use savorykeel_ports::{desired::DesiredState, log::LogService, peer::PeerLinks};
use tokio_util::sync::CancellationToken;

/// Longest time that a stopping node waits for its neighbours to take its last word.
const FAREWELL: Duration = Duration::from_millis(300);

/// Runs the control loops until `cancel` is cancelled, then tells the neighbours
/// that this node is gone.
pub async fn run<L, P>(cx: ControlContext<L, P>, cancel: CancellationToken)
where
    L: LogService + DesiredState + 'static,
    P: PeerLinks + 'static,
{
    let cx = Rc::new(cx);
    let loops = async {
        tokio::join!(
            reader::read_on(&cx),
            gossip::spread(cx.clone()),
            presence::keep_known(cx.clone()),
            presence::recover(cx.clone()),
            probe::watch(cx.clone()),
            maintain::age(cx.clone()),
            maintain::revive(cx.clone()),
            maintain::clean_up(cx.clone()),
            checkpoints::write(cx.clone()),
            metrics::report(cx.clone()),
            crate::moves::run(cx.clone()),
        );
    };
    tokio::select! {
        () = loops => {}
        () = cancel.cancelled() => {}
    }
    say_farewell(&cx).await;
}

async fn say_farewell<L, P: PeerLinks>(cx: &ControlContext<L, P>) {
    cx.state.declare_gone();
    let entries = cx.state.entries_of(std::slice::from_ref(&cx.state.identity.instance));
    let neighbours = cx.neighbours().all();
    let tell =
        |addr| cx.exchange(addr, MessageBody::Updates { entries: entries.clone() }, FAREWELL);
    join_all(neighbours.iter().map(|neighbour| tell(neighbour.addr))).await;
}
