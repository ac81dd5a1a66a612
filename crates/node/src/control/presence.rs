//! Discovers other nodes through the log and maintains the presence records of the
//! availability zone there.

use std::{collections::BTreeMap, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use futures_util::future::join_all;
use ntex::time::{sleep, timeout};
use rand::{RngExt, seq::SliceRandom};
use savorykeel_policy::{
    distribution::{
        floor::Recovery,
        presence::{PresenceRecord, fresh_in_zone},
        zone_rank::PRESENCE_WRITERS_PER_ZONE,
    },
    ids::{InstanceName, ZoneName},
    membership::{entry::NodeRecord, rings::Contact},
};
use savorykeel_ports::{
    log::{LogError, LogService, PRESENCE_STREAM},
    peer::PeerLinks,
};
use slog::{debug, info, warn};

use super::{
    contact::{ContactLimits, contact_enough},
    context::ControlContext,
    era::CheckedEra,
    maintenance::pick_random,
    reader::{jittered, to_millis},
    roles,
    state::Counters,
};

/// Number of newest presence records that are read.
const PRESENCE_TAIL: u64 = 200;

/// Number of answers after which a node contacts no more unknown nodes of its own
/// availability zone, and the time for which it waits for one of them.
const CONTACT_LIMITS: ContactLimits =
    ContactLimits { wanted: 3, hedge_delay: Duration::from_millis(100) };

/// Time for which a node expects to learn the nodes of other availability zones from its
/// own one before it contacts them itself.
const OWN_ZONE_HEAD_START: Duration = Duration::from_millis(100);

/// Longest time for which a node contacts unknown nodes before it takes up its roles.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two reads of the presence stream by a node that appends presence records,
/// while an availability zone of the stream is missing in its table, before jitter.
const MISSING_ZONE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two reads of the presence stream by a node whose membership
/// table has no other active node.
const ISOLATED_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two reads of the presence stream by a node that appends
/// presence records, before jitter.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two checks of whether this node has that role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two checks of whether the store has come back from an older copy.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Wait before presence records are stored again, for each node of the zone with a lower rank.
const RESTORE_DELAY: Duration = Duration::from_millis(500);

/// Wait after a failed attempt to store presence records again, before jitter.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time within which neighbours that run answer a node that recovers. Those that are lost must
/// not keep it from serving what the store confirms.
const NEIGHBOUR_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Time between two checks of whether a node that has not recovered yet has joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two rounds of probes by a node that has not recovered yet.
const RECOVERY_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Discovers other nodes, then maintains the presence records of the availability
/// zone.
pub(super) async fn maintain_presence<L: LogService, P: PeerLinks>(cx: Rc<ControlContext<L, P>>) {
    sleep(to_millis(cx.times.start_jitter.mul_f64(rand::rng().random_range(0.0..1.0)))).await;
    loop {
        let has_missing_zone = check_and_append(&cx).await.unwrap_or_else(|e| {
            debug!(cx.state.logger, "failed to maintain the presence records"; "problem" => %e);
            true
        });
        cx.state.set_joined();
        wait_until_due(&cx, has_missing_zone).await;
    }
}

/// Stores the presence records of the availability zone again that the store lacks since it came
/// back from an older copy.
///
/// The nodes with the role of writers do so for the whole zone, each after a wait that grows with
/// its rank, so that usually one of them writes each record once.
pub(super) async fn restore_presence<L: LogService, P: PeerLinks>(cx: Rc<ControlContext<L, P>>) {
    let mut checked_era = CheckedEra::default();
    loop {
        sleep(to_millis(RETURN_CHECK_INTERVAL)).await;
        if !checked_era.has_returned(&cx.state) {
            continue;
        }
        let rank = cx.state.with_members(|members| roles::rank_of(members, &cx.state.identity));
        let Some(rank) = rank.filter(|rank| *rank < PRESENCE_WRITERS_PER_ZONE) else { continue };
        sleep(to_millis(RESTORE_DELAY * rank as u32)).await;
        while let Err(e) = restore_once(&cx).await {
            warn!(cx.state.logger, "failed to store presence records again"; "problem" => %e);
            sleep(to_millis(jittered(RESTORE_RETRY_INTERVAL))).await;
        }
    }
}

async fn restore_once<L: LogService, P: PeerLinks>(
    cx: &ControlContext<L, P>,
) -> Result<(), LogError> {
    match cx.log.retains_newest() {
        true => store_missing(cx).await,
        // Few nodes of a zone have a record there, each its own.
        false => check_and_append(cx).await.map(|_| ()),
    }
}

/// Stores the records of the nodes of this availability zone that the presence stream lacks.
async fn store_missing<L: LogService, P>(cx: &ControlContext<L, P>) -> Result<(), LogError> {
    let records = read_presence(cx).await?;
    let own_zone = &cx.state.identity.zone;
    let missing: Vec<NodeRecord> = cx.state.with_members(|members| {
        let missing = members
            .alive_in(own_zone)
            .filter(|node| !is_record_stored(&records, &node.instance, node.peer_addr));
        missing.cloned().collect()
    });
    for node in missing {
        let instance = node.instance.clone();
        store_record(cx, node).await?;
        info!(cx.state.logger, "presence record stored again"; "of" => instance.as_str());
    }
    Ok(())
}

/// Waits until this node has to read the presence stream again.
///
/// Nodes without the role never read it again while their table has other active
/// nodes, so that the load on the log doesn't grow with the number of nodes. Those with
/// the role do while an availability zone of the stream is missing in the table.
async fn wait_until_due<L: LogService, P>(cx: &ControlContext<L, P>, has_missing_zone: bool) {
    loop {
        let (is_isolated, writes_presence) = cx.state.with_members(|members| {
            let is_isolated = members.active().count() <= 1;
            (is_isolated, roles::writes_presence(members, &cx.state.identity))
        });
        if is_isolated {
            return sleep(to_millis(jittered(ISOLATED_CHECK_INTERVAL))).await;
        }
        if writes_presence && has_missing_zone {
            return sleep(to_millis(jittered(MISSING_ZONE_CHECK_INTERVAL))).await;
        }
        if writes_presence && !cx.log.retains_newest() {
            return sleep(to_millis(jittered(cx.times.presence.min(PRESENCE_CHECK_INTERVAL))))
                .await;
        }
        sleep(to_millis(jittered(ROLE_CHECK_INTERVAL))).await;
    }
}

/// Appends this node's own record if it is due and contacts unknown nodes of the presence
/// stream. Returns whether the stream has an availability zone of which no node is known.
///
/// The append comes first: the later it is, the more nodes that start at the same time read
/// the stream without it and append too.
async fn check_and_append<L: LogService, P: PeerLinks>(
    cx: &ControlContext<L, P>,
) -> Result<bool, LogError> {
    let records = read_presence(cx).await?;
    record_announced(cx, &records);
    let identity = &cx.state.identity;
    let is_due = match cx.log.retains_newest() {
        true => !is_record_stored(&records, &identity.instance, identity.peer_addr),
        false => is_append_due(cx, &records),
    };
    let appended = if is_due { append(cx).await } else { Ok(()) };
    if timeout(to_millis(CONTACT_TIMEOUT), contact_unknown(cx, &records)).await.is_err() {
        debug!(cx.state.logger, "nodes of the presence stream did not answer in time");
    }
    appended?;
    let is_missing = |record: &PresenceRecord| !is_zone_known(cx, &record.node.zone);
    Ok(records.iter().any(is_missing))
}

async fn read_presence<L: LogService, P>(
    cx: &ControlContext<L, P>,
) -> Result<Vec<PresenceRecord>, LogError> {
    Counters::add(&cx.state.counters.log_reads, 1);
    let records = cx.log.read_stored(PRESENCE_STREAM, PRESENCE_TAIL).await?;
    Ok(records.iter().filter_map(|record| PresenceRecord::parse(record).ok()).collect())
}

/// Records which nodes exist according to the stream. Where it retains records for a time only,
/// those that are too old say nothing.
fn record_announced<L: LogService, P>(cx: &ControlContext<L, P>, records: &[PresenceRecord]) {
    let oldest = match cx.log.retains_newest() {
        true => None,
        false => Some((cx.state.clock.wall)()),
    };
    let is_fresh =
        |record: &&PresenceRecord| oldest.is_none_or(|now| record.at + cx.times.presence > now);
    let fresh = records.iter().filter(is_fresh);
    cx.state.announced.record(fresh.map(|record| record.node.instance.clone()).collect());
}

/// Compares tables with nodes of the stream that aren't in this node's table yet.
///
/// It stops in the own availability zone once enough nodes have answered ([`CONTACT_LIMITS`]), and in
/// every other zone once the table has a node of it: the relays of the zones send on what
/// one of their nodes learns. The zones are contacted side by side, because records of nodes
/// that are gone remain in the stream and each of them costs a time-out.
async fn contact_unknown<L, P: PeerLinks>(cx: &ControlContext<L, P>, records: &[PresenceRecord]) {
    let mut by_zone: BTreeMap<&ZoneName, Vec<&NodeRecord>> = BTreeMap::new();
    for record in records {
        by_zone.entry(&record.node.zone).or_default().push(&record.node);
    }
    join_all(by_zone.into_iter().map(|(zone, mut records)| async move {
        records.shuffle(&mut rand::rng());
        match *zone == cx.state.identity.zone {
            true => contact_own_zone(cx, &records).await,
            false => contact_other_zone(cx, zone, &records).await,
        }
    }))
    .await;
}

async fn contact_own_zone<L, P: PeerLinks>(cx: &ControlContext<L, P>, records: &[&NodeRecord]) {
    let unknown = records.iter().filter(|record| !is_known(cx, &record.instance));
    let contacts: Vec<Contact> = unknown.map(|record| Contact::of(record)).collect();
    contact_enough(
        contacts,
        CONTACT_LIMITS,
        |contact| async move { cx.compare_with(&contact).await },
    )
    .await;
}

async fn contact_other_zone<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    zone: &ZoneName,
    records: &[&NodeRecord],
) {
    sleep(to_millis(OWN_ZONE_HEAD_START)).await;
    for record in records {
        if is_zone_known(cx, zone) {
            return;
        }
        cx.compare_with(&Contact::of(record)).await;
    }
}

fn is_known<L, P>(cx: &ControlContext<L, P>, instance: &InstanceName) -> bool {
    cx.state.with_members(|members| members.get(instance).is_some())
}

fn is_zone_known<L, P>(cx: &ControlContext<L, P>, zone: &ZoneName) -> bool {
    cx.state.with_members(|members| members.active().any(|record| record.zone == *zone))
}

/// Returns whether the stream has a record of a node with its current address.
fn is_record_stored(
    records: &[PresenceRecord],
    instance: &InstanceName,
    peer_addr: SocketAddr,
) -> bool {
    let mut nodes = records.iter().map(|record| &record.node);
    nodes.any(|node| node.instance == *instance && node.peer_addr == peer_addr)
}

/// Returns whether this node has to append a record: it has no fresh one, and the
/// availability zone has fewer than [`PRESENCE_WRITERS_PER_ZONE`] fresh records.
fn is_append_due<L, P>(cx: &ControlContext<L, P>, records: &[PresenceRecord]) -> bool {
    let identity = &cx.state.identity;
    let now = (cx.state.clock.wall)();
    let fresh = fresh_in_zone(records, &identity.zone, now, cx.times.presence);
    let has_own = fresh.iter().any(|record| {
        record.node.instance == identity.instance && record.node.peer_addr == identity.peer_addr
    });
    !has_own && fresh.len() < PRESENCE_WRITERS_PER_ZONE
}

async fn append<L: LogService, P>(cx: &ControlContext<L, P>) -> Result<(), LogError> {
    let node = cx.state.with_members(|members| NodeRecord::clone(&members.own().record));
    if node.leaving {
        return Ok(());
    }
    match store_record(cx, node).await {
        Ok(()) => {
            info!(cx.state.logger, "presence record appended");
            Ok(())
        }
        Err(e) => {
            warn!(cx.state.logger, "failed to append the presence record"; "problem" => %e);
            Err(e)
        }
    }
}

async fn store_record<L: LogService, P>(
    cx: &ControlContext<L, P>,
    node: NodeRecord,
) -> Result<(), LogError> {
    let instance = node.instance.clone();
    let record = PresenceRecord::new(node, (cx.state.clock.wall)());
    Counters::add(&cx.state.counters.log_appends, 1);
    let result = cx.log.store(PRESENCE_STREAM, instance.as_str(), record.to_bytes()).await;
    if result.is_err() {
        Counters::add(&cx.state.counters.log_failures, 1);
    }
    result
}

/// Waits until the next round of probes is due, which is at once when the node has just joined.
async fn pause_between_rounds<L, P>(cx: &ControlContext<L, P>, has_joined: bool) {
    let until = cx.state.now() + jittered(RECOVERY_PROBE_INTERVAL);
    while cx.state.now() < until && cx.state.has_joined() == has_joined {
        sleep(to_millis(JOIN_CHECK_INTERVAL)).await;
    }
}

/// Probes other nodes until this one has recovered, that is, until it has learned
/// the position that it may have served before.
///
/// The neighbours have recorded that position; random nodes of other availability
/// zones compensate for neighbours that are new or partitioned.
pub(super) async fn recover<L, P: PeerLinks>(cx: Rc<ControlContext<L, P>>) {
    let mut last_progress = None;
    while !cx.state.is_serving() {
        let progress = cx.state.with_recovery(|recovery| recovery.progress());
        if last_progress.replace(progress) != Some(progress) {
            info!(cx.state.logger, "recovering"; "answered" => progress.answered,
                "zones" => progress.zones, "floor" => progress.floor.0,
                "log_end" => progress.is_log_end_confirmed,
                "store_returned" => progress.has_store_returned, "moves" => progress.knows_moves);
        }
        let has_joined = cx.state.has_joined();
        let mut contacts = cx.neighbours().all();
        let own_zone = &cx.state.identity.zone;
        let other_zone_contact = cx.state.with_members(|members| {
            pick_random(members.active().filter(|record| record.zone != *own_zone))
        });
        contacts.extend(other_zone_contact);
        let mut round = pin!(join_all(contacts.iter().map(|contact| cx.probe_once(contact))));
        let answers = timeout(to_millis(NEIGHBOUR_ANSWER_TIME), round.as_mut()).await;
        if has_joined {
            // Neighbours that answer later raise the floor all the same.
            cx.state.with_recovery(|recovery| recovery.record_round());
            cx.state.rebuild();
        }
        if answers.is_err() {
            round.await;
        }
        if cx.state.uptime() > cx.times.isolation_timeout {
            cx.state.record_moves(Recovery::give_up_moves);
        }
        cx.state.rebuild();
        pause_between_rounds(&cx, has_joined).await;
    }
    info!(cx.state.logger, "recovered"; "position" => cx.state.held_position().0);
}
