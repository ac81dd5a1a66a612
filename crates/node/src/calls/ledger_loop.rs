//! Keeps this node's replica in step with its group.
//!
//! A stream of the log service says which member founded a group, because only
//! the founder may answer for keys that nobody told it of. Every other member
//! fetches the claims first. See `docs/design/0005-ledger.md`.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures_util::future::join_all;
use savorykeel_adapters::log::HttpLog;
use savorykeel_policy::{
    calls::{
        ledger_message::{LedgerMessage, LedgerReply},
        ledger_sync::Origin,
        ledger_view::{Identity, LedgerMember},
    },
    ids::ServiceName,
    time::Tick,
};
use savorykeel_ports::log::{LogError, LogService, Offset};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::{settings::StoreChoice, state::NodeState, worker::Worker};

use super::{group, ledger_client, state::to_millis};

/// Stream in which the founders of groups make themselves known.
const FOUNDER_STREAM: &str = "ledger";

/// Time between two looks at the group.
const PERIOD: Duration = Duration::from_millis(100);

/// Pause before the log service is asked again.
const LOG_PAUSE: Duration = Duration::from_millis(500);

/// Records of a group within the time for which claims are kept.
const RECORDS_PER_KEEP: u32 = 4;

/// Says that a group has members.
#[derive(Debug, Serialize, Deserialize)]
struct GroupRecord {
    service: ServiceName,
    member: Identity,
}

/// Runs until `cancel` is cancelled.
///
/// Without a log service nobody can tell who founded a group, so keyed requests
/// are then told that their key is uncertain.
pub(crate) async fn run(worker: Rc<Worker>, cancel: CancellationToken) {
    let StoreChoice::LogService(base) = worker.state.settings.store.clone() else { return };
    let work = async {
        let log = open_log(&worker.state, base).await;
        let mut recorded = worker.state.now();
        loop {
            ntex::time::sleep(to_millis(PERIOD)).await;
            join_group(&worker.state, &log).await;
            follow_group(&worker).await;
            recorded = record_again(&worker.state, &log, recorded).await;
            expire(&worker.state);
        }
    };
    tokio::select! {
        () = work => {}
        () = cancel.cancelled() => {}
    }
}

async fn open_log(state: &NodeState, base: Arc<str>) -> HttpLog {
    loop {
        match HttpLog::new(base.clone()).await {
            Ok(log) => return log,
            Err(e) => warn!(state.log, "no client for the log service"; "problem" => %e),
        }
        ntex::time::sleep(to_millis(LOG_PAUSE)).await;
    }
}

/// Joins the group of the node's service, once there is one.
async fn join_group(state: &NodeState, log: &HttpLog) {
    let Some(service) = state.service() else { return };
    let Some(own) = own_member(state) else { return };
    if state.calls.ledger.is_member(&own.identity) {
        return;
    }
    let origin = match state.calls.ledger.has_joined() {
        true => Origin::Joiner,
        false => match origin(log, &service, &own.identity).await {
            Ok(origin) => origin,
            Err(e) => {
                warn!(state.log, "the log doesn't say who founded the group"; "problem" => %e);
                ntex::time::sleep(to_millis(LOG_PAUSE)).await;
                return;
            }
        },
    };
    info!(state.log, "joining the ledger"; "service" => %service, "origin" => ?origin);
    state.calls.ledger.join(service, own, origin, state.now());
}

fn own_member(state: &NodeState) -> Option<LedgerMember> {
    let own = &state.settings.instance;
    let members = state.control.members();
    let entry = members.iter().find(|entry| entry.record.instance == *own)?;
    Some(group::member(&entry.record))
}

/// Asks the log who founded a group; it is this node if nobody did.
async fn origin(log: &HttpLog, service: &ServiceName, own: &Identity) -> Result<Origin, LogError> {
    let founder = match first_record(log, service).await? {
        Some(founder) => founder,
        None => {
            append(log, service, own).await?;
            first_record(log, service).await?.unwrap_or_else(|| own.clone())
        }
    };
    Ok(if founder == *own { Origin::Founder } else { Origin::Joiner })
}

async fn append(log: &HttpLog, service: &ServiceName, own: &Identity) -> Result<(), LogError> {
    let record = GroupRecord { service: service.clone(), member: own.clone() };
    let body = serde_json::to_vec(&record).map_err(|e| LogError::Malformed(e.to_string()))?;
    log.append(FOUNDER_STREAM, body).await?;
    Ok(())
}

/// Returns the member that the oldest kept record of a group names.
async fn first_record(log: &HttpLog, service: &ServiceName) -> Result<Option<Identity>, LogError> {
    let mut from = Offset(0);
    loop {
        let page = match log.read(FOUNDER_STREAM, from, Duration::ZERO).await {
            Err(LogError::Expired { earliest }) => {
                from = earliest;
                continue;
            }
            other => other?,
        };
        let records = page.records.iter();
        let parsed = records.filter_map(|r| serde_json::from_slice::<GroupRecord>(&r.body).ok());
        if let Some(record) = parsed.into_iter().find(|record| record.service == *service) {
            return Ok(Some(record.member));
        }
        match page.records.last() {
            Some(last) if last.offset.0 + 1 < page.next.0 => from = Offset(last.offset.0 + 1),
            _ => return Ok(None),
        }
    }
}

/// Takes in the group as it looks now and fetches what is missing.
async fn follow_group(worker: &Rc<Worker>) {
    let state = &worker.state;
    let Some(service) = state.calls.ledger.service() else { return };
    let view = group::view(state, &service);
    let wanted = state.calls.ledger.adopt(&view, state.now());
    join_all(wanted.iter().map(|member| fetch(worker, member))).await;
}

/// Fetches all claims of a member that sees the same group.
async fn fetch(worker: &Rc<Worker>, member: &LedgerMember) {
    let ledger = &worker.state.calls.ledger;
    let Some(view) = ledger.view_digest() else { return };
    let mut after = None;
    loop {
        let message = LedgerMessage::Fetch { view, after };
        let reply = ledger_client::send(worker, member.addr, &message).await;
        let Some(LedgerReply::Claims { claims, handover }) = reply else { return };
        after = claims.last().map(|kept| kept.key);
        ledger.merge(claims, worker.state.now());
        if let Some(handover) = handover {
            if handover.from == member.identity && ledger.view_digest() == Some(view) {
                ledger.fetched(&handover);
            }
            return;
        }
    }
}

/// Appends a record of the group before the last one may be gone from the log.
async fn record_again(state: &NodeState, log: &HttpLog, recorded: Tick) -> Tick {
    let now = state.now();
    if now.since(recorded) < state.settings.limits.key_retention / RECORDS_PER_KEEP {
        return recorded;
    }
    let (Some(service), Some(own)) = (state.calls.ledger.service(), own_member(state)) else {
        return now;
    };
    let view = group::view(state, &service);
    let is_first = view.members().first().is_some_and(|first| first.identity == own.identity);
    if is_first && let Err(e) = append(log, &service, &own.identity).await {
        warn!(state.log, "the group can't be recorded in the log"; "problem" => %e);
    }
    now
}

fn expire(state: &NodeState) {
    let now = state.now();
    state.calls.ledger.expire(now);
    state.calls.quarantine.lock().expire(now);
    state.calls.settle.lock().expire(now);
}
