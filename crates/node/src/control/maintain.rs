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
    heard::Heard,
    reader::{jittered, to_millis},
};

/// Time between two looks at the table.
const AGEING_PERIOD: Duration = Duration::from_millis(200);

/// Time after which a late look means that this process was paused, so that the
/// ages in the table say nothing of the other nodes.
const AGEING_STALL: Duration = Duration::from_millis(800);

/// Time between two attempts at a node that nobody reaches, before jitter.
const REVIVAL_PERIOD: Duration = Duration::from_secs(2);

/// Time between two removals of what is kept of forgotten nodes.
const CLEAN_UP_PERIOD: Duration = Duration::from_secs(60);

/// Ages suspicions and tombstones for ever.
pub(super) async fn age<L, P>(cx: Rc<ControlContext<L, P>>) {
    let mut last = cx.state.now();
    loop {
        sleep(to_millis(AGEING_PERIOD)).await;
        let now = cx.state.now();
        let is_stalled = now.since(last) > AGEING_STALL;
        last = now;
        if is_stalled {
            continue;
        }
        let changed = cx.state.with_members(|members| members.expire(now));
        for instance in &changed {
            info!(cx.state.logger, "a node can't be reached"; "of" => instance.as_str());
        }
        if !changed.is_empty() {
            cx.state.emit(Event::Changed { members: changed, source: None });
        }
    }
}

/// Tries nodes that nobody reaches, one at a time, for ever.
///
/// One answer heals a partition: comparing tables brings back word of the far
/// side, whose nodes then refute that they can't be reached.
pub(super) async fn revive<L, P: PeerLinks>(cx: Rc<ControlContext<L, P>>) {
    loop {
        sleep(to_millis(jittered(REVIVAL_PERIOD))).await;
        let Some(contact) = cx.state.with_members(|members| pick(members.unreachable())) else {
            continue;
        };
        if cx.probe_once(&contact).await {
            info!(cx.state.logger, "a node is reached again"; "of" => contact.instance.as_str());
            cx.compare_with(&contact).await;
        }
    }
}

/// Picks one node at random.
pub(super) fn pick<'a>(records: impl Iterator<Item = &'a NodeRecord>) -> Option<Contact> {
    let record = records.choose(&mut rand::rng())?;
    Some(Contact { instance: record.instance.clone(), addr: record.peer_addr })
}

/// Forgets what is kept of nodes that the table no longer holds, for ever.
pub(super) async fn clean_up<L, P>(cx: Rc<ControlContext<L, P>>) {
    loop {
        sleep(to_millis(CLEAN_UP_PERIOD)).await;
        let known: std::collections::BTreeSet<InstanceName> = cx.state.with_members(|members| {
            members.entries().map(|entry| entry.record.instance.clone()).collect()
        });
        cx.state.with_floors(|floors| floors.retain(|instance| known.contains(instance)));
        Heard::retain(&cx.state.heard, |instance| known.contains(instance));
    }
}
