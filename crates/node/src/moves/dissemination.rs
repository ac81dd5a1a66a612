//! Evaluates moves and sends changes to other nodes.
//!
//! Targets and states follow the spread targets of the control plane and are forwarded by
//! each node to which they are new, so that they reach every node in a few steps. Reports
//! of evidence are sent only to the evaluators of the service, which alone evaluate its
//! move. See `docs/design/0016-spread.md`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use ntex::time::{Millis, sleep};
use rand::seq::IteratorRandom;
use savorykeel_policy::{
    distribution::{
        floor::Recovery,
        message::{MessageBody, ReplyBody, Topic},
    },
    ids::InstanceName,
    membership::{
        entry::NodeRecord,
        quorum::{FleetView, Quorum, Standing},
        rings::Contact,
    },
    moves::{
        evaluators::{EvaluatorTerm, EvidencePlan, ReportScope},
        evidence::Report,
        gossip::MoveGossip,
        state::MoveKey,
        tracker::TrackerRevision,
    },
    table::Table,
    time::Tick,
};
use savorykeel_ports::peer::PeerLinks;
use slog::{debug, info};

use crate::control::ControlContext;

use super::{
    controller::ReportChanges,
    message::{AllMoves, MoveMessage, decode, encode},
};

/// Time between two rounds.
const ROUND_PERIOD: Millis = Millis(100);

/// Time between two rounds while the node recovers, which it can't before it knows the moves.
const START_ROUND_PERIOD: Millis = Millis(20);

/// Time between two evaluations of the evidence: a quarter of the time within which a
/// short move has to detect a fault.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);

/// Time between two looks of a node that isn't an evaluator at which versions carry traffic.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(1);

/// Shortest time between two messages with reports of evidence to the same node.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Longest time between two messages with reports of evidence to the same node. With
/// reports further apart, a fault of both versions would show on one of them first.
const MAX_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// Bytes a second that a node spends on reports of evidence to one other node. Reports of
/// many nodes or many routes are therefore sent less often.
const REPORT_BYTES_PER_SECOND: usize = 6_000;

/// Time after its start within which a node usually recovers.
const START_TIME: Duration = Duration::from_secs(2);

/// Time between two attempts to pull all targets and states from one node in [`START_TIME`].
const START_PULL_PERIOD: Duration = Duration::from_millis(40);

/// The same later, until one succeeds and the node has recovered; before jitter.
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
    reports: BTreeMap<InstanceName, Report>,
    /// Time before which no further reports are sent.
    next_report: Tick,
    /// Whether a push is in flight; each node gets one at a time.
    is_sending: bool,
}

/// State of the exchange with all other nodes.
#[derive(Default)]
struct Dissemination {
    peers: RefCell<BTreeMap<InstanceName, PeerState>>,
    last_evaluation: RefCell<Tick>,
    evaluator_term: RefCell<EvaluatorTerm>,
    quorum: RefCell<Quorum>,
    /// What was last logged of this node's standing.
    logged_standing: Cell<Option<Standing>>,
    last_pull: RefCell<Option<Tick>>,
    next_pull: RefCell<Tick>,
    /// Moves whose rollback has been logged.
    logged_rollbacks: RefCell<BTreeSet<MoveKey>>,
}

/// Runs rounds, without end.
pub(super) async fn run<L: 'static, P: PeerLinks + 'static>(cx: Rc<ControlContext<L, P>>) {
    let dissemination = Rc::new(Dissemination::default());
    loop {
        sleep(if cx.state.is_serving() { ROUND_PERIOD } else { START_ROUND_PERIOD }).await;
        pull_when_due(&cx, &dissemination);
        let Some(table) = cx.state.table() else { continue };
        if cx.state.moves.refresh(&table) {
            log_rollbacks(&cx, &dissemination, &table);
        }
        let plan = cx.state.evidence_plan();
        evaluate_when_due(&cx, &dissemination, &table, &plan);
        push(&cx, &dissemination, &table, &plan);
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

fn evaluate_when_due<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    dissemination: &Dissemination,
    table: &Table,
    plan: &EvidencePlan,
) {
    let (now, wall) = (cx.state.now(), (cx.state.clock.wall)());
    let is_evaluator = plan.position.is_some();
    let may_evaluate =
        dissemination.evaluator_term.borrow_mut().may_evaluate(is_evaluator, now, wall);
    let period = if is_evaluator { EVALUATION_PERIOD } else { OBSERVATION_PERIOD };
    if now.since(*dissemination.last_evaluation.borrow()) < period {
        return;
    }
    *dissemination.last_evaluation.borrow_mut() = now;
    let standing = update_standing(cx, dissemination, now);
    cx.state.moves.observe_incumbents(table, standing);
    if !may_evaluate || !cx.state.moves.evaluate(table, now, wall, standing) {
        return;
    }
    let Some(own) = cx.state.moves.own_report() else { return };
    let reports = cx.state.moves.reports(table);
    if let Some(report) = reports.iter().find(|report| report.service == own.service) {
        info!(cx.state.logger, "move state changed";
            "service" => %report.service, "move" => report.asked.0, "to" => %report.to,
            "from" => report.from.as_ref().map(|from| from.as_str()),
            "phase" => %report.phase, "share_permille" => report.share_permille.0,
            "reason" => report.reason.as_ref().map(|reason| reason.kind.to_string()));
    }
}

/// Updates what this node knows of its contact with the fleet, and returns what it may conclude.
fn update_standing<L, P: PeerLinks>(
    cx: &ControlContext<L, P>,
    dissemination: &Dissemination,
    now: Tick,
) -> Standing {
    let mut quorum = dissemination.quorum.borrow_mut();
    let silence = cx.silence();
    let unheard = cx.state.announced.unheard();
    cx.state.with_members(|members| {
        quorum.update(&FleetView { members, unheard: &unheard, silence }, now);
    });
    let standing = quorum.standing(now);
    if dissemination.logged_standing.replace(Some(standing)) != Some(standing) {
        let reach = quorum.reach();
        info!(cx.state.logger, "standing in the fleet changed"; "standing" => %standing,
            "reached" => reach.reached, "counted" => reach.counted, "silent" => %silence);
    }
    standing
}

/// Sends changed targets and states to the spread targets, and reports of evidence to their
/// recipients.
fn push<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    dissemination: &Rc<Dissemination>,
    table: &Table,
    plan: &EvidencePlan,
) {
    let mut scopes: BTreeMap<&Contact, Option<ReportScope>> = BTreeMap::new();
    let spread_targets = cx.state.spread_targets();
    scopes.extend(spread_targets.all().map(|contact| (contact, None)));
    if cx.state.moves.should_send_evidence(table) {
        let recipients = plan.recipients.iter();
        scopes.extend(recipients.map(|to| (&to.contact, Some(to.scope))));
    }
    for (contact, scope) in scopes {
        push_to(cx, dissemination, contact.clone(), scope);
    }
}

fn report_period(changes: &ReportChanges) -> Duration {
    let seconds = encode(&changes.deltas).len() as f64 / REPORT_BYTES_PER_SECOND as f64;
    Duration::from_secs_f64(seconds).clamp(MIN_REPORT_PERIOD, MAX_REPORT_PERIOD)
}

fn push_to<L: 'static, P: PeerLinks + 'static>(
    cx: &Rc<ControlContext<L, P>>,
    dissemination: &Rc<Dissemination>,
    to: Contact,
    scope: Option<ReportScope>,
) {
    let now = cx.state.now();
    let mut peers = dissemination.peers.borrow_mut();
    let peer = peers.entry(to.instance.clone()).or_default();
    if peer.is_sending {
        return;
    }
    let delta = cx.state.moves.delta_since(peer.revision);
    let due_scope = scope.filter(|_| now >= peer.next_report);
    let changes = due_scope.map(|scope| cx.state.moves.report_changes(scope, &peer.reports));
    let changes = changes.unwrap_or_default();
    let mut gossip: MoveGossip = delta.gossip;
    if !changes.reports.is_empty() {
        peer.next_report = now + report_period(&changes);
        gossip.reports = changes.deltas;
    }
    if gossip.is_empty() {
        return;
    }
    peer.is_sending = true;
    let (cx, dissemination) = (cx.clone(), dissemination.clone());
    ntex::rt::spawn(async move {
        let is_acknowledged = send(&cx, to.addr, &MoveMessage::Push(gossip)).await.is_some();
        let mut peers = dissemination.peers.borrow_mut();
        let peer = peers.entry(to.instance).or_default();
        peer.is_sending = false;
        if is_acknowledged {
            peer.revision = delta.revision;
            peer.reports.extend(changes.reports.into_iter().map(|r| (r.instance.clone(), r)));
        } else {
            // The other node may be a new process that has nothing, so send everything again.
            *peer = PeerState { next_report: peer.next_report, ..PeerState::default() };
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
    let has_pulled = dissemination.last_pull.borrow().is_some();
    let period = match (has_pulled, cx.state.is_serving()) {
        (true, true) => crate::control::jittered(PULL_PERIOD),
        (_, false) if cx.state.uptime() < START_TIME => START_PULL_PERIOD,
        _ => crate::control::jittered(FIRST_PULL_PERIOD),
    };
    *dissemination.next_pull.borrow_mut() = now + period;
    let Some(from) = random_member(cx) else { return };
    let (cx, dissemination) = (cx.clone(), dissemination.clone());
    ntex::rt::spawn(async move {
        let Some(reply) = send(&cx, from.addr, &MoveMessage::PullAll).await else { return };
        if let Some(AllMoves { gossip, is_complete }) = decode(&reply) {
            cx.state.moves.merge(gossip);
            if is_complete {
                cx.state.record_moves(Recovery::record_moves);
            }
            *dissemination.last_pull.borrow_mut() = Some(cx.state.now());
        }
    })
    .detach();
}

/// Returns a random other node, of the own availability zone if it has one, and one that has
/// answered as a recovered one while this node recovers.
fn random_member<L, P>(cx: &ControlContext<L, P>) -> Option<Contact> {
    let own = &cx.state.identity;
    let answered = match cx.state.is_serving() {
        true => BTreeSet::new(),
        false => cx.state.with_recovery(|recovery| recovery.answered().clone()),
    };
    cx.state.with_members(|members| {
        let others = || members.active().filter(|record| record.instance != own.instance);
        let in_own_zone = || others().filter(|record| record.zone == own.zone);
        let has_answered = |record: &&NodeRecord| answered.contains(&record.instance);
        let mut rng = rand::rng();
        let record = in_own_zone().filter(has_answered).choose(&mut rng);
        let record = record.or_else(|| others().filter(has_answered).choose(&mut rng));
        let record = record.or_else(|| in_own_zone().choose(&mut rng));
        record.or_else(|| others().choose(&mut rng)).map(Contact::of)
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
