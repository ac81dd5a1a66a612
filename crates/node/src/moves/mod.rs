//! A node's part in moving a service's traffic between backend server versions.
//!
//! The decisions are made in [`savorykeel_policy::moves`]. This module connects them
//! with the call path, the other nodes and the log or the platform's store. See
//! `docs/design/0009-moves-agreement.md`.

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
use message::{AllMoves, MoveMessage, decode, encode};

/// Runs the tasks of moves, without end: the exchange with other nodes, and storing the
/// status of a move on the platform or its end in the log.
pub(crate) async fn run<L, P>(cx: Rc<ControlContext<L, P>>)
where
    L: LogService + DesiredState + 'static,
    P: PeerLinks + 'static,
{
    let persist = async {
        match cx.log.is_stored_by_platform() {
            true => statuses::run(cx.clone()).await,
            false => endings::run(cx.clone()).await,
        }
    };
    tokio::join!(dissemination::run(cx.clone()), persist);
}

/// Returns the handler for messages of other nodes about moves.
pub(crate) fn handler(controller: Arc<MoveController>) -> TopicHandler {
    Arc::new(move |bytes| match decode(bytes) {
        Some(MoveMessage::Push(gossip)) => {
            controller.merge(gossip);
            Vec::new()
        }
        Some(MoveMessage::PullAll) => {
            let (gossip, is_complete) = (controller.full_gossip(), controller.is_complete());
            encode(&AllMoves { gossip, is_complete })
        }
        None => Vec::new(),
    })
}
