//! Evaluates moves and sends changes to other nodes.
//!
//! Targets and states are sent to the ring neighbours and to the nodes of the same
//! service, and forwarded by each node to which they are new, so that they reach every
//! node in a few steps. Reports of evidence are sent only to the nodes of the same
//! service.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use ntex::time::{Millis, sleep};
use rand::seq::IteratorRandom;
use savorykeel_policy::{
    distribution::message::{MessageBody, ReplyBody, Topic},
    ids::{InstanceName, ServiceName},
    membership::{entry::NodeRecord, rings::Contact},
    moves::{evidence::Report, gossip::MoveGossip, state::MoveKey, tracker::TrackerRevision},
    table::Table,
    time::Tick,
};
use savorykeel_ports::peer::PeerLinks;
use slog::{debug, info};

use crate::control::ControlContext;

use super::message::{MoveMessage, decode, encode};

/// Time between two rounds.
const ROUND_PERIOD: Millis = Millis(100);

/// Time between two evaluations of the evidence: a quarter of the time within which a
/// short move has to detect a fault.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);

/// Shortest time between two reports of evidence to the same node.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Longest time between two reports of evidence to the same node. With reports further
/// apart, a fault of both versions would show on one of them first.
const MAX_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// Bytes a second that a node may spend on reports of evidence. Services with many
/// nodes or many routes therefore get reports less often.
const REPORT_BYTES_PER_SECOND: usize = 1_500;

/// Time between two attempts to pull all targets and states from one node, until one
/// succeeds; before jitter.
const FIRST_PULL_PERIOD: Duration = Duration::from_millis(300);

/// Time between two pulls afterwards, before jitter. They repair what pushes may have
/// missed.
const PULL_PERIOD: Duration = Duration::from_secs(30);

/// Longest time to wait for the reply of a node.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// What another node has acknowledged.
#[derive(Default)]
struct PeerState {
    revision: TrackerRevision,
    report: Option<Report>,
    /// When the last report was sent, acknowledged or not.
    reported_at: Option<Tick>,
    /// Whether a push is in flight; each node gets one at a time.
    is_sending: bool,
}

/// State of the exchange with all other nodes.
#[derive(Default)]
struct Dissemination {
    peers: RefCell<BTreeMap<InstanceName, PeerState>>,
    last_evaluation: RefCell<Tick>,
    last_pull: RefCell<Option<Tick>>,
    next_pull: RefCell<Tick>,
    /// Moves whose rollback has been logged.
    logged_rollbacks: RefCell<BTreeSet<MoveKey>>,
}

/// Runs rounds, without end.
pub(super) async fn run<L: 'static, P: PeerLinks + 'static>(cx: Rc<ControlContext<L, P>>) {
    let dissemination = Rc::new(Dissemination::default());
    loop {
        sleep(ROUND_PERIOD).await;
        pull_when_due(&cx, &dissemination);
        let Some(table) = cx.state.table() else { continue };
        if cx.state.moves.refresh(&table) {
            log_rollbacks(&cx, &dissemination, &table);
        }
        evaluate_when_due(&cx, &dissemination, &table);
        push(&cx, &dissemination, &table);
    }
}

/// Logs the moves that were rolled back since the last call. Every node does so, not
/// only the nodes of the service.
fn log_rollbacks<L, P>(cx: &ControlContext<L, P>, dissemination: &Dissemination, table: &Table) {
    for report in cx.state.moves.reports(table) {
        let Some(reason) = &report.reason else { continue };
        let key = MoveKey { service: report.service.clone(), asked: report.asked };
        if dissemination.logged_rollbacks.borrow_mut().insert(key) {
            info!(cx.state.logger, "version taken back";
                "service" => %report.service, "move" => report.asked.0, "version" => %report.to,
                "reason" => %reason.kind, "at_ms" => (cx.state.clock.wall)().0);
        }
    }
}

fn evaluate_when_due<L, P>(
    cx: &ControlContext<L, P>,
    dissemination: &Dissemination,
    table: &Table,
) {
    let now = cx.state.now();
    if now.since(*dissemination.last_evaluation.borrow()) < EVALUATION_PERIOD {
        return;
    }
    *dissemination.last_evaluation.borrow_mut() = now;
    if !cx.state.moves.evaluate(table, now, (cx.state.clock.wall)()) {
        return;
    }
    let Some(own) = cx.state.moves.own_report() else { return };
    let reports = cx.state.moves.reports(table);
    if let Some(report) = reports.iter().find(|report| report.service == own.service) {
        info!(cx.state.logger, "move state changed";
            "service" => %report.service, "move" => report.asked.0, "to" => %report.to,
            "phase" => %report.phase, "share_permille" => report.share_permille.0,
            "reason" => report.reason.as_ref().map(|reason| reason.kind.to_string()));
    }
}

/// A node to which changes are pushed.
struct PushTarget {
    contact: Contact,
    /// Whether it is a node of the same service, which gets reports of evidence too.
    is_in_group: bool,
}

fn push<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    dissemination: &Rc<Dissemination>,
    table: &Table,
) {
    let own = cx.state.moves.own_report();
    let own = own.filter(|_| cx.state.moves.should_send_evidence(table));
    let group = own.as_ref().map(|own| own.service.clone());
    let targets = targets(cx, group.as_ref());
    let recipients = targets.iter().filter(|target| target.is_in_group).count();
    let period = own.as_ref().map_or(MIN_REPORT_PERIOD, |own| report_period(own, recipients));
    for target in targets {
        let report = own.as_ref().filter(|_| target.is_in_group);
        push_to(cx, dissemination, target.contact, report, period);
    }
}

fn report_period(report: &Report, recipients: usize) -> Duration {
    let bytes = encode(report).len() * recipients;
    let seconds = bytes as f64 / REPORT_BYTES_PER_SECOND as f64;
    Duration::from_secs_f64(seconds).clamp(MIN_REPORT_PERIOD, MAX_REPORT_PERIOD)
}

fn targets<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    group: Option<&ServiceName>,
) -> Vec<PushTarget> {
    let own = &cx.state.identity.instance;
    let is_in_group = |record: &NodeRecord| {
        let service = record.backend.as_ref().map(|backend| &backend.service);
        record.instance != *own && group.is_some() && service == group
    };
    let in_group: Vec<Contact> = cx.state.with_members(|members| {
        let records = members.active().filter(|record| is_in_group(record));
        records.map(|r| Contact { instance: r.instance.clone(), addr: r.peer_addr }).collect()
    });
    let neighbours = cx.neighbours().all().into_iter().filter(|c| !in_group.contains(c));
    let neighbours = neighbours.map(|contact| PushTarget { contact, is_in_group: false });
    let in_group = in_group.iter().cloned();
    neighbours.chain(in_group.map(|contact| PushTarget { contact, is_in_group: true })).collect()
}

fn push_to<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    dissemination: &Rc<Dissemination>,
    to: Contact,
    report: Option<&Report>,
    period: Duration,
) {
    let now = cx.state.now();
    let mut peers = dissemination.peers.borrow_mut();
    let peer = peers.entry(to.instance.clone()).or_default();
    if peer.is_sending {
        return;
    }
    let delta = cx.state.moves.delta_since(peer.revision);
    let is_report_due = peer.reported_at.is_none_or(|at| now.since(at) >= period);
    let is_new = |report: &&Report| peer.report.as_ref().is_none_or(|t| t.stamp < report.stamp);
    let report = report.filter(|_| is_report_due).filter(is_new).cloned();
    let mut gossip: MoveGossip = delta.gossip;
    gossip.reports.extend(report.as_ref().map(|r| r.changes_since(peer.report.as_ref())));
    if gossip.is_empty() {
        return;
    }
    peer.is_sending = true;
    peer.reported_at = report.as_ref().map(|_| now).or(peer.reported_at);
    let (cx, dissemination) = (cx.clone(), dissemination.clone());
    ntex::rt::spawn(async move {
        let is_acknowledged = send(&cx, to.addr, &MoveMessage::Push(gossip)).await.is_some();
        let mut peers = dissemination.peers.borrow_mut();
        let peer = peers.entry(to.instance).or_default();
        peer.is_sending = false;
        if is_acknowledged {
            peer.revision = delta.revision;
            peer.report = report.or(peer.report.take());
        } else {
            // The other node may be a new process that has nothing, so send everything again.
            *peer = PeerState { reported_at: peer.reported_at, ..PeerState::default() };
        }
    })
    .detach();
}

fn pull_when_due<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    dissemination: &Rc<Dissemination>,
) {
    let now = cx.state.now();
    if now < *dissemination.next_pull.borrow() {
        return;
    }
    let period =
        if dissemination.last_pull.borrow().is_some() { PULL_PERIOD } else { FIRST_PULL_PERIOD };
    *dissemination.next_pull.borrow_mut() = now + crate::control::jittered(period);
    let Some(from) = random_member(cx) else { return };
    let (cx, dissemination) = (cx.clone(), dissemination.clone());
    ntex::rt::spawn(async move {
        let Some(reply) = send(&cx, from.addr, &MoveMessage::PullAll).await else { return };
        if let Some(gossip) = decode(&reply) {
            cx.state.moves.merge(gossip);
            *dissemination.last_pull.borrow_mut() = Some(cx.state.now());
        }
    })
    .detach();
}

fn random_member<L, P>(cx: &ControlContext<L, P>) -> Option<Contact> {
    let own = &cx.state.identity.instance;
    cx.state.with_members(|members| {
        let others = members.active().filter(|record| record.instance != *own);
        let record = others.choose(&mut rand::rng())?;
        Some(Contact { instance: record.instance.clone(), addr: record.peer_addr })
    })
}

/// Sends a message and returns the reply, or none when the exchange failed.
async fn send<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    addr: SocketAddr,
    message: &MoveMessage,
) -> Option<Vec<u8>> {
    let body = MessageBody::Topic { topic: Topic::Moves, body: encode(message) };
    match cx.exchange(addr, body, REPLY_TIMEOUT).await {
        Ok(ReplyBody::Topic(reply)) => Some(reply),
        Ok(_) => None,
        Err(e) => {
            debug!(cx.state.logger, "exchange about moves failed"; "addr" => %addr, "problem" => %e);
            None
        }
    }
}
