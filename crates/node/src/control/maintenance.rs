//! Expires entries of the membership table and reconnects to unreachable nodes.

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

/// Time between two checks of the table for expired entries.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two checks above which this process is taken to have been paused,
/// so that the ages of entries are no evidence about the other nodes.
const EXPIRY_STALL: Duration = Duration::from_millis(800);

/// Time between two attempts to reach an unreachable node, before jitter.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two removals of the state of nodes that have left the table.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(60);

/// Periodically degrades nodes whose suspicion has expired, removes expired tombstones and
/// uses backend servers again that were withheld after a restart of their node.
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
        if cx.state.with_members(|members| members.release_withheld(now)) {
            cx.state.rebuild();
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

/// Periodically probes one unreachable node, chosen at random.
///
/// One answer is enough to heal a partition: comparing the tables spreads the
/// entries of the other side, whose nodes then refute that they are unreachable.
pub(super) async fn reconnect_unreachable<L, P: PeerLinks>(cx: Rc<ControlContext<L, P>>) {
    loop {
        sleep(to_millis(jittered(RECONNECT_INTERVAL))).await;
        let Some(contact) = cx.state.with_members(|members| pick_random(members.unreachable()))
        else {
            continue;
        };
        if cx.probe_once(&contact).await {
            info!(cx.state.logger, "node is reachable again"; "of" => contact.instance.as_str());
            cx.compare_with(&contact).await;
        }
    }
}

/// Returns the contact of a random node, or `None` if there is none.
pub(super) fn pick_random<'a>(records: impl Iterator<Item = &'a NodeRecord>) -> Option<Contact> {
    records.choose(&mut rand::rng()).map(Contact::of)
}

/// Periodically removes the floors and last contacts of nodes that are no longer in
/// the table.
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
