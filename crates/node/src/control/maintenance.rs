//! Ages the membership table and looks after nodes that nobody reaches.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use rand::seq::IteratorRandom;
use savorykeel_policy::{
    ids::InstanceName,
    membership::{entry::NodeRecord, rings::Contact},
};
use savorykeel_ports::peer::PeerLinks;
use slog::info;

use super::{
    context::ControlContext,
    event::Event,
    last_contact::LastContact,
    reader::{jittered, to_millis},
};

/// Time between two looks at the table.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a late look means that this process was paused, so that the
/// ages in the table say nothing of the other nodes.
const EXPIRY_STALL: Duration = Duration::from_millis(800);

/// Time between two attempts at a node that nobody reaches, before jitter.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two removals of what is kept of forgotten nodes.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(60);

/// Ages suspicions and tombstones for ever.
pub(super) async fn expire_members<L, P>(cx: Rc<ControlContext<L, P>>) {
    let mut last_run = cx.state.now();
    loop {
        sleep(to_millis(EXPIRY_INTERVAL)).await;
        let now = cx.state.now();
        let is_stalled = now.since(last_run) > EXPIRY_STALL;
        last_run = now;
        if is_stalled {
            continue;
        }
        let changed = cx.state.with_members(|members| members.expire(now));
        for instance in &changed {
            info!(cx.state.logger, "a node can't be reached"; "of" => instance.as_str());
        }
        if !changed.is_empty() {
            cx.state.emit(Event::MembersChanged { members: changed, source: None });
        }
    }
}

/// Tries nodes that nobody reaches, one at a time, for ever.
///
/// One answer heals a partition: comparing tables brings back word of the far
/// side, whose nodes then refute that they can't be reached.
pub(super) async fn reconnect_unreachable<L, P: PeerLinks>(cx: Rc<ControlContext<L, P>>) {
    loop {
        sleep(to_millis(jittered(RECONNECT_INTERVAL))).await;
        let Some(contact) = cx.state.with_members(|members| pick_random(members.unreachable()))
        else {
            continue;
        };
        if cx.probe_once(&contact).await {
            info!(cx.state.logger, "a node is reached again"; "of" => contact.instance.as_str());
            cx.compare_with(&contact).await;
        }
    }
}

/// Picks one node at random.
pub(super) fn pick_random<'a>(records: impl Iterator<Item = &'a NodeRecord>) -> Option<Contact> {
    let record = records.choose(&mut rand::rng())?;
    Some(Contact { instance: record.instance.clone(), addr: record.peer_addr })
}

/// Forgets what is kept of nodes that the table no longer holds, for ever.
pub(super) async fn remove_departed<L, P>(cx: Rc<ControlContext<L, P>>) {
    loop {
        sleep(to_millis(REMOVAL_INTERVAL)).await;
        let retained: std::collections::BTreeSet<InstanceName> = cx.state.with_members(|members| {
            members.entries().map(|entry| entry.record.instance.clone()).collect()
        });
        cx.state.with_floors(|floors| floors.retain(|instance| retained.contains(instance)));
        LastContact::retain(&cx.state.last_contact, |instance| retained.contains(instance));
    }
}
