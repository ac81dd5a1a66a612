//! Moves between backend server versions, as one node takes part in them.
//!
//! The decisions are in [`savorykeel_policy::moves`]; here they meet the call
//! path, the other nodes and the log. See `docs/design/0009-moves-agreement.md`.

pub mod controller;
mod dissemination;
mod endings;
mod message;
pub(crate) mod observation;
mod statuses;

use std::{rc::Rc, sync::Arc};

use savorykeel_ports::{desired::DesiredState, log::LogService, peer::PeerLinks};

use crate::control::{ControlContext, state::TopicHandler};

use controller::MoveController;
use message::{MoveMessage, decode, encode};

/// Runs this node's part in moves for ever.
pub(crate) async fn run<L, P>(cx: Rc<ControlContext<L, P>>)
where
    L: LogService + DesiredState + 'static,
    P: PeerLinks + 'static,
{
    let persist = async {
        match cx.log.is_kept() {
            true => statuses::run(cx.clone()).await,
            false => endings::run(cx.clone()).await,
        }
    };
    tokio::join!(dissemination::run(cx.clone()), persist);
}

/// Returns what answers the messages of other nodes about moves.
pub(crate) fn handler(controller: Arc<MoveController>) -> TopicHandler {
    Arc::new(move |bytes| match decode(bytes) {
        Some(MoveMessage::Push(gossip)) => {
            controller.merge(gossip);
            Vec::new()
        }
        Some(MoveMessage::PullAll) => encode(&controller.full_gossip()),
        None => Vec::new(),
    })
}
