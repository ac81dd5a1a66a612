//! Moves between backend server versions, as one node takes part in them.
//!
//! The decisions are in [`savorykeel_policy::moves`]; here they meet the call
//! path, the other nodes and the log. See `docs/design/0009-moves-agreement.md`.

mod endings;
pub mod hub;
mod message;
pub(crate) mod observe;
mod spread;
mod statuses;

use std::{rc::Rc, sync::Arc};

use savorykeel_ports::{desired::DesiredState, log::LogService, peer::PeerLinks};

use crate::control::{ControlContext, state::TopicHandler};

use hub::MoveHub;
use message::{MoveMessage, decode, encode};

/// Runs this node's part in moves for ever.
pub(crate) async fn run<L, P>(cx: Rc<ControlContext<L, P>>)
where
    L: LogService + DesiredState + 'static,
    P: PeerLinks + 'static,
{
    let keep = async {
        match cx.log.is_stored_by_platform() {
            true => statuses::keep(cx.clone()).await,
            false => endings::keep(cx.clone()).await,
        }
    };
    tokio::join!(spread::run(cx.clone()), keep);
}

/// Returns what answers the messages of other nodes about moves.
pub(crate) fn handler(hub: Arc<MoveHub>) -> TopicHandler {
    Arc::new(move |bytes| match decode(bytes) {
        Some(MoveMessage::Push(gossip)) => {
            hub.merge(gossip);
            Vec::new()
        }
        Some(MoveMessage::PullAll) => encode(&hub.everything()),
        None => Vec::new(),
    })
}
