//! Keeps this node's ledger replica synchronized with its group.
//!
//! A stream of the log service records which member founded a group. Only the
//! founder may decide on keys without having fetched claims from other members;
//! every other member fetches the claims first. See `docs/design/0005-ledger.md`.

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

use crate::{control::CheckedEra, settings::StoreChoice, state::NodeState, worker::Worker};

use super::{group, ledger_client, state::to_millis};

/// Stream of the log service that records the members of groups.
const FOUNDER_STREAM: &str = "ledger";

/// Time between two synchronizations with the group.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before a failed request to the log service is retried.
const LOG_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Number of records of a group that are appended within the retention of claims.
const RECORDS_PER_RETENTION: u32 = 4;

/// Record of a group in the log: it had a member when the record was appended.
#[derive(Debug, Serialize, Deserialize)]
struct GroupRecord {
    service: ServiceName,
    member: Identity,
}

/// Synchronizes the replica until `cancel` is cancelled.
///
/// Returns at once without a log service. No node joins a group then, because its
/// founder can't be determined, and keyed requests fail with
/// [`Code::LedgerUncertain`](savorykeel_policy::code::Code::LedgerUncertain).
pub(crate) async fn run(worker: Rc<Worker>, cancel: CancellationToken) {
    let StoreChoice::LogService(base) = worker.state.settings.store.clone() else { return };
    let work = async {
        let log = open_log(&worker.state, base).await;
        let mut recorded_at = worker.state.now();
        let mut checked_era = CheckedEra::default();
        loop {
            ntex::time::sleep(to_millis(POLL_INTERVAL)).await;
            join_group(&worker.state, &log).await;
            sync_with_group(&worker).await;
            // A log that came back from an older copy may lack the record.
            let is_due = checked_era.has_returned(&worker.state.control)
                || is_record_due(&worker.state, recorded_at);
            if is_due {
                recorded_at = worker.state.now();
                renew_group_record(&worker.state, &log).await;
            }
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
        ntex::time::sleep(to_millis(LOG_RETRY_PAUSE)).await;
    }
}

/// Joins the group of the node's service, once the service is known, and joins again
/// when the identity of the node has changed.
async fn join_group(state: &NodeState, log: &HttpLog) {
    let Some(service) = state.service() else { return };
    let Some(own) = own_member(state) else { return };
    if state.calls.ledger.is_member(&own.identity) {
        return;
    }
    let origin = match state.calls.ledger.has_joined() {
        true => Origin::Joiner,
        false => match find_origin(log, &service, &own.identity).await {
            Ok(origin) => origin,
            Err(e) => {
                warn!(state.log, "can't read the group's founder from the log"; "problem" => %e);
                ntex::time::sleep(to_millis(LOG_RETRY_PAUSE)).await;
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

/// Determines from the log whether this node founded the group.
///
/// If the log has no record of the group, the node appends one. When several nodes
/// do so at the same time, the one with the oldest record is the founder.
async fn find_origin(
    log: &HttpLog,
    service: &ServiceName,
    own: &Identity,
) -> Result<Origin, LogError> {
    let founder = match oldest_recorded_member(log, service).await? {
        Some(founder) => founder,
        None => {
            append_group_record(log, service, own).await?;
            oldest_recorded_member(log, service).await?.unwrap_or_else(|| own.clone())
        }
    };
    Ok(if founder == *own { Origin::Founder } else { Origin::Joiner })
}

async fn append_group_record(
    log: &HttpLog,
    service: &ServiceName,
    own: &Identity,
) -> Result<(), LogError> {
    let record = GroupRecord { service: service.clone(), member: own.clone() };
    let body = serde_json::to_vec(&record).map_err(|e| LogError::Malformed(e.to_string()))?;
    log.append(FOUNDER_STREAM, body).await?;
    Ok(())
}

/// Returns the member that the oldest record of a group in the log names.
async fn oldest_recorded_member(
    log: &HttpLog,
    service: &ServiceName,
) -> Result<Option<Identity>, LogError> {
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

/// Updates the view of the group and fetches claims from members that have not handed
/// them over yet.
async fn sync_with_group(worker: &Rc<Worker>) {
    let state = &worker.state;
    let Some(service) = state.calls.ledger.service() else { return };
    let view = group::view(state, &service);
    let members = state.calls.ledger.update_view(&view, state.now());
    join_all(members.iter().map(|member| fetch_claims(worker, member))).await;
}

/// Fetches all claims of a member, page by page.
///
/// The handover counts only if it comes from the expected incarnation and the view is
/// still the one that the claims were requested for.
async fn fetch_claims(worker: &Rc<Worker>, member: &LedgerMember) {
    let ledger = &worker.state.calls.ledger;
    let Some(view) = ledger.view_digest() else { return };
    let mut after = None;
    loop {
        let message = LedgerMessage::Fetch { view, after };
        let reply = ledger_client::send(worker, member.addr, &message).await;
        let Some(LedgerReply::Claims { claims, handover }) = reply else { return };
        after = claims.last().map(|claim| claim.key);
        ledger.merge(claims, worker.state.now());
        if let Some(handover) = handover {
            if handover.from == member.identity && ledger.view_digest() == Some(view) {
                ledger.record_handover(&handover);
            }
            return;
        }
    }
}

/// Appends a record of the group before the last one may have expired from the log.
///
/// Only the first member of the group appends it. Without a record in the log, a new
/// member would take itself for the founder.
async fn renew_group_record(state: &NodeState, log: &HttpLog) {
    let (Some(service), Some(own)) = (state.calls.ledger.service(), own_member(state)) else {
        return;
    };
    let view = group::view(state, &service);
    let is_first = view.members().first().is_some_and(|first| first.identity == own.identity);
    if is_first && let Err(e) = append_group_record(log, &service, &own.identity).await {
        warn!(state.log, "can't append the group's record to the log"; "problem" => %e);
    }
}

fn is_record_due(state: &NodeState, recorded_at: Tick) -> bool {
    let period = state.settings.limits.key_retention / RECORDS_PER_RETENTION;
    state.now().since(recorded_at) >= period
}

fn expire(state: &NodeState) {
    let now = state.now();
    state.calls.ledger.expire(now);
    state.calls.quarantine.lock().expire(now);
    state.calls.settle.lock().expire(now);
}
