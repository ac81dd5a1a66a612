//! Sends changes to the neighbours and compares membership tables with other nodes.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use ntex::time::sleep;
use savorykeel_policy::{
    config::fold::Position,
    distribution::{
        floor::Witnesses,
        hold::ApplyHold,
        message::{MAX_ENTRIES, MessageBody, ReplyBody},
        pull::Source,
        spread::SpreadChange,
    },
    ids::InstanceName,
    membership::{
        entry::Liveness,
        members::Comparison,
        rings::{Contact, Neighbours},
    },
    time::Tick,
};
use savorykeel_ports::peer::PeerLinks;
use slog::{debug, info};

use super::{
    context::{ControlContext, ControlMode},
    event::Event,
    exchange::ExchangeError,
    pull::{PendingPulls, pull_after_head_start, pull_from},
    reader::{jittered, to_millis},
};

/// Time for which changes of members are collected into one message.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Time within which a neighbour has to acknowledge an update.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time within which a node has to send its members.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time after which a node compares tables with a relay that is new to it. While many nodes
/// start together, most of them are relays only until they know each other.
const NEW_RELAY_DELAY: Duration = Duration::from_millis(500);

/// Time for which two membership tables may differ because updates are in transit.
const DIFFERENCE_TOLERANCE: Duration = Duration::from_millis(1_500);

/// Time after which a recorded difference has expired and counts as a new one.
const DIFFERENCE_EXPIRY: Duration = Duration::from_secs(5);

/// Work that the gossip loop has still to do.
#[derive(Default)]
struct Pending {
    /// Members that changed, with the node that sent the change.
    changed: RefCell<BTreeMap<InstanceName, Option<InstanceName>>>,
    is_batching: Cell<bool>,
    /// Fetches of newer configurations.
    pulls: Rc<PendingPulls>,
    /// Wait of the newer configurations that are held and not applied.
    hold: RefCell<ApplyHold>,
    /// Time at which a difference from a node was first recorded.
    differing_since: RefCell<BTreeMap<InstanceName, Tick>>,
    /// Relays of other availability zones with which this node has compared tables, or is
    /// about to.
    compared_relays: RefCell<BTreeSet<Contact>>,
    /// Whether this node, while it starts, compares its table with another one.
    is_comparing_at_start: Cell<bool>,
}

/// Processes events until the event queue is closed.
pub(super) async fn handle_events<L: 'static, P: PeerLinks + 'static>(
    cx: Rc<ControlContext<L, P>>,
) {
    let pending = Rc::new(Pending::default());
    let events = cx.state.events().clone();
    while let Ok(event) = events.recv().await {
        match event {
            Event::MembersChanged { members, source } => {
                queue_changes(&cx, &pending, members, source)
            }
            Event::FoldAdvanced => announce_and_apply(&cx, &pending),
            Event::StoreReturned | Event::EvacuationsChanged | Event::Resumed => push_state(&cx),
            Event::NewerConfiguration { holder, position, in_own_zone } => {
                let source = Source { holder, position };
                match in_own_zone {
                    true => pull_from(&cx, &pending.pulls, source),
                    false => pull_after_head_start(&cx, &pending.pulls, source),
                }
            }
            Event::MembersDiffer(contact) => record_difference(&cx, &pending, contact),
        }
    }
}

fn queue_changes<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<Pending>,
    members: Vec<InstanceName>,
    source: Option<InstanceName>,
) {
    let with_source = members.into_iter().map(|name| (name, source.clone()));
    pending.changed.borrow_mut().extend(with_source);
    if pending.is_batching.replace(true) {
        return;
    }
    let (cx, pending) = (cx.clone(), pending.clone());
    ntex::rt::spawn(async move {
        sleep(to_millis(BATCH_DELAY)).await;
        pending.is_batching.set(false);
        let changed = pending.changed.take();
        cx.state.rebuild();
        push_updates(&cx, &changed);
        compare_with_new_relays(&cx, &pending);
    })
    .detach();
}

/// Sends changed entries to the spread targets of this node, except to the node that sent
/// the change.
fn push_updates<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    changed: &BTreeMap<InstanceName, Option<InstanceName>>,
) {
    let spread_targets = cx.state.spread_targets();
    let own_zone = &cx.state.identity.zone;
    let mut names_by_target: BTreeMap<Contact, Vec<InstanceName>> = BTreeMap::new();
    cx.state.with_members(|members| {
        for (name, source) in changed {
            let Some(entry) = members.get(name) else { continue };
            let is_suspect = entry.liveness == Liveness::Suspect;
            let zone = &entry.record.zone;
            let change = SpreadChange { zone, is_own_suspicion: is_suspect && source.is_none() };
            for target in spread_targets.for_change(&change, own_zone, members) {
                if source.as_ref() != Some(&target.instance) {
                    names_by_target.entry(target).or_default().push(name.clone());
                }
            }
        }
    });
    for (target, names) in names_by_target {
        for names in names.chunks(MAX_ENTRIES) {
            let entries = cx.state.entries_of(names);
            send(cx, &target, MessageBody::Updates { entries });
        }
    }
}

/// Tells the spread targets of this node's state, for instance the store's era and evacuations,
/// which every message carries. Their replies carry theirs.
fn push_state<L: 'static, P: PeerLinks + 'static>(cx: &Rc<ControlContext<L, P>>) {
    for target in cx.state.spread_targets().all() {
        send(cx, target, MessageBody::Updates { entries: Vec::new() });
    }
}

/// Compares tables with relays of other availability zones to which this node has not
/// forwarded changes before, unless the members change once more within
/// [`NEW_RELAY_DELAY`] so that it no longer does.
///
/// Changes that this node learned before it knew the relay were not forwarded to it.
fn compare_with_new_relays<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<Pending>,
) {
    let current: BTreeSet<Contact> =
        cx.state.spread_targets().other_zones.iter().cloned().collect();
    let mut compared = pending.compared_relays.borrow_mut();
    compared.retain(|relay| current.contains(relay));
    for relay in current {
        if !compared.insert(relay.clone()) {
            continue;
        }
        let (cx, pending) = (cx.clone(), pending.clone());
        ntex::rt::spawn(async move {
            sleep(to_millis(jittered(NEW_RELAY_DELAY))).await;
            if pending.compared_relays.borrow().contains(&relay) && !cx.compare_with(&relay).await {
                pending.compared_relays.borrow_mut().remove(&relay);
            }
        })
        .detach();
    }
}

/// Notifies the neighbours of the position of this node and applies the state once
/// enough of them have recorded it to report the position after a crash of this node.
///
/// A neighbour that already reported the position itself isn't notified. Neighbours
/// that don't answer delay the node only as long as [`ApplyHold`] allows.
fn announce_and_apply<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<Pending>,
) {
    let position = cx.state.held_position();
    let held_since = cx.state.now();
    let max_wait = pending.hold.borrow_mut().start(held_since);
    let (cx, pending) = (cx.clone(), pending.clone());
    ntex::rt::spawn(async move {
        let mut allowed = position;
        if cx.mode == ControlMode::Gossip {
            let notification = notify_witnesses(&cx, position);
            let result = ntex::time::timeout(to_millis(max_wait), notification).await;
            let held = cx.state.held_position();
            info!(cx.state.logger, "configuration may be applied"; "position" => position.0,
                "held" => held.0, "acknowledged" => result.is_ok(),
                "waited_ms" => cx.state.now().since(held_since).as_millis() as u64);
            if result.is_err() {
                // Serving the newest accepted version takes precedence over waiting.
                allowed = held;
            }
        }
        cx.state.allow_applying(allowed);
        cx.state.rebuild();
        pending.hold.borrow_mut().record_applied(allowed, cx.state.held_position());
    })
    .detach();
}

/// Returns once enough neighbours have recorded the position; see [`Witnesses`].
async fn notify_witnesses<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    position: Position,
) {
    let neighbours = cx.neighbours();
    let witnesses = Witnesses::of(&neighbours);
    let (ack_sender, ack_receiver) = async_channel::bounded(witnesses.all.len().max(1));
    let mut recorded = BTreeSet::new();
    for neighbour in neighbours.all() {
        if cx.state.with_floors(|floors| floors.position_of(&neighbour.instance)) >= position {
            recorded.insert(neighbour.instance);
            continue;
        }
        let (cx, ack_sender) = (cx.clone(), ack_sender.clone());
        ntex::rt::spawn(async move {
            // Every message carries the position, so this one has no entries.
            let update = MessageBody::Updates { entries: Vec::new() };
            if cx.exchange(neighbour.addr, update, UPDATE_TIMEOUT).await.is_ok() {
                let _ = ack_sender.try_send(neighbour.instance);
            }
        })
        .detach();
    }
    drop(ack_sender);
    while !witnesses.suffice_to_apply(|name| recorded.contains(name)) {
        let Ok(name) = ack_receiver.recv().await else { return };
        recorded.insert(name);
    }
}

fn send<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    to: &Contact,
    body: MessageBody,
) {
    let (cx, to) = (cx.clone(), to.clone());
    ntex::rt::spawn(async move {
        if let Err(e) = cx.exchange(to.addr, body, UPDATE_TIMEOUT).await {
            debug!(cx.state.logger, "failed to send an update"; "instance" => to.instance.as_str(), "problem" => %e);
        }
    })
    .detach();
}

/// Compares membership tables once a difference has lasted longer than updates take
/// to arrive.
fn record_difference<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<Pending>,
    contact: Contact,
) {
    // A node that hasn't recovered compares at once, because its table may lack members.
    if !cx.state.is_serving() {
        return compare_at_start(cx, pending, contact);
    }
    let now = cx.state.now();
    let mut differing_since = pending.differing_since.borrow_mut();
    let since = *differing_since.entry(contact.instance.clone()).or_insert(now);
    let age = now.since(since);
    if age < DIFFERENCE_TOLERANCE {
        return;
    }
    differing_since.remove(&contact.instance);
    if age > DIFFERENCE_EXPIRY {
        differing_since.insert(contact.instance.clone(), now);
        return;
    }
    let cx = cx.clone();
    ntex::rt::spawn(async move {
        cx.compare_with(&contact).await;
    })
    .detach();
}

/// Compares tables with one node at a time, in the own availability zone unless this is
/// its only node.
///
/// While many nodes start together, each table differs from most others, and comparing with
/// each node that differs would send the whole membership between zones many times.
fn compare_at_start<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    pending: &Rc<Pending>,
    contact: Contact,
) {
    let own_zone = &cx.state.identity.zone;
    let in_own_zone = cx.state.zone_of(&contact.instance).is_none_or(|zone| zone == *own_zone);
    let has_zone_mates = !cx.state.spread_targets().own_zone.is_empty();
    if (has_zone_mates && !in_own_zone) || pending.is_comparing_at_start.replace(true) {
        return;
    }
    let (cx, pending) = (cx.clone(), pending.clone());
    ntex::rt::spawn(async move {
        cx.compare_with(&contact).await;
        pending.is_comparing_at_start.set(false);
    })
    .detach();
}

impl<L, P: PeerLinks> ControlContext<L, P> {
    /// Returns the neighbours of this node according to the current members.
    pub(crate) fn neighbours(&self) -> Neighbours {
        let own = &self.state.identity.instance;
        self.state.with_members(|members| Neighbours::of(own, members))
    }

    /// Synchronizes the membership tables of both nodes; returns whether the other
    /// node answered.
    pub(super) async fn compare_with(&self, contact: &Contact) -> bool {
        match self.try_compare(contact).await {
            Ok(()) => true,
            Err(e) => {
                debug!(self.state.logger, "failed to compare membership tables"; "instance" => contact.instance.as_str(), "problem" => %e);
                false
            }
        }
    }

    async fn try_compare(&self, contact: &Contact) -> Result<(), ExchangeError> {
        let digests = self.state.with_members(|members| members.digests().to_vec());
        let compare = MessageBody::Compare { digests };
        let reply = self.exchange(contact.addr, compare, COMPARE_TIMEOUT).await?;
        let ReplyBody::Statements { buckets, statements } = reply else { return Ok(()) };
        let Comparison { mut to_request, mut to_send } =
            self.state.with_members(|members| members.compare(&buckets, &statements));
        while !to_request.is_empty() || !to_send.is_empty() {
            let requested = split_front(&mut to_request);
            let entries = self.state.entries_of(&split_front(&mut to_send));
            let exchange = MessageBody::Exchange { wanted: requested, entries };
            let reply = self.exchange(contact.addr, exchange, COMPARE_TIMEOUT).await?;
            let ReplyBody::Entries(entries) = reply else { return Ok(()) };
            self.state.merge_entries(entries, &contact.instance);
        }
        Ok(())
    }
}

fn split_front(names: &mut Vec<InstanceName>) -> Vec<InstanceName> {
    let rest = names.split_off(names.len().min(MAX_ENTRIES));
    std::mem::replace(names, rest)
}
