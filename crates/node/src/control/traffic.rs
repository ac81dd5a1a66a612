//! Counts the bytes between nodes by purpose and by whether they stay in the availability zone.
//!
//! Traffic between availability zones is the dearest resource of a deployment; see
//! `docs/METRICS.md`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use parking_lot::Mutex;
use savorykeel_adapters::peer::ByteCounterOf;
use savorykeel_policy::distribution::message::MessageBody;

use super::state::ControlState;

/// Whether two nodes that exchange bytes are in the same availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reach {
    /// Both are in the same availability zone, as far as this node knows.
    OwnZone,
    /// They are in different availability zones.
    OtherZone,
}

/// Set of links between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LinkPurpose {
    /// Callers' requests and their settlement.
    Calls,
    /// Messages of the control loops.
    Control,
}

/// Bytes exchanged over the links that this node opened, in both directions.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    by_link: Mutex<BTreeMap<(LinkPurpose, Reach), Arc<AtomicU64>>>,
    by_message: Mutex<BTreeMap<(&'static str, Reach), u64>>,
}

impl Traffic {
    fn link_counter(&self, purpose: LinkPurpose, reach: Reach) -> Arc<AtomicU64> {
        self.by_link.lock().entry((purpose, reach)).or_default().clone()
    }

    /// Adds the size of a control message and of its reply, before compression.
    pub(super) fn add_message(&self, kind: &'static str, reach: Reach, bytes: usize) {
        *self.by_message.lock().entry((kind, reach)).or_default() += bytes as u64;
    }

    /// Returns the compressed bytes on links.
    pub(super) fn link_bytes(&self) -> BTreeMap<(LinkPurpose, Reach), u64> {
        let counters = self.by_link.lock();
        counters.iter().map(|(key, bytes)| (*key, bytes.load(Ordering::Relaxed))).collect()
    }

    /// Returns the bytes of control messages and their replies by kind.
    pub(super) fn message_bytes(&self) -> BTreeMap<(&'static str, Reach), u64> {
        self.by_message.lock().clone()
    }
}

/// Returns the name of the kind of a message in metrics.
pub(super) fn message_kind(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::Topic { topic, .. } => topic.into(),
        body => body.into(),
    }
}

impl ControlState {
    /// Returns whether the node at `addr` is in the availability zone of this one. A node
    /// that isn't known counts as such.
    pub(super) fn reach_of(&self, addr: SocketAddr) -> Reach {
        let is_elsewhere = self.with_members(|members| {
            let mut known = members.active().filter(|record| record.peer_addr == addr);
            known.any(|record| record.zone != self.identity.zone)
        });
        if is_elsewhere { Reach::OtherZone } else { Reach::OwnZone }
    }

    /// Returns the counters for links with a purpose.
    pub(crate) fn byte_counter_of(self: &Arc<Self>, purpose: LinkPurpose) -> ByteCounterOf {
        let state = self.clone();
        Rc::new(move |addr| state.traffic.link_counter(purpose, state.reach_of(addr)))
    }
}
