//! Admits requests at the entry node and asks quota owners for tokens.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_adapters::metrics::{Counter, Tag};
use savorykeel_policy::{
    accounts::Account,
    distribution::message::{Topic, decode, encode},
    ids::{AccountName, InstanceName},
    quota::{
        LEASE_TIME,
        lease::Admission,
        message::{Ask, Asks, Grant, Grants, MAX_ASKS},
    },
    time::Tick,
};
use tokio::sync::oneshot;

use crate::{control::topic, worker::Worker};

/// Time for which requests for tokens of one owner are gathered into one message.
const BATCH_TIME: Duration = Duration::from_millis(2);

/// Part of the latency objective for which a request may wait for a token, as a divisor. An owner
/// at a tenth of a core may be stopped for most of a tenth of a second.
const WAIT_DIVISOR: u32 = 2;

/// Shortest time after which a refused caller is told to return: its next attempt would else
/// find the same bucket.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The account has used up its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaExceeded {
    /// Time until there is room.
    pub(crate) retry_after: Duration,
}

impl QuotaExceeded {
    fn new(room_in: Duration) -> Self {
        Self { retry_after: room_in.max(MIN_RETRY_AFTER) }
    }
}

type Decision = Result<(), QuotaExceeded>;

/// Requests that wait for tokens, by account.
type Batch = BTreeMap<AccountName, Vec<oneshot::Sender<Decision>>>;

/// Requests of one worker that wait for tokens, by quota owner.
#[derive(Default)]
pub(crate) struct WaitingRequests(RefCell<BTreeMap<InstanceName, Batch>>);

/// Admits a request of an account, or refuses it if the quota is used up.
///
/// Sends no message if the account has no quota or the node holds a token.
pub(crate) async fn admit(worker: &Rc<Worker>, account: &Account, objective: Duration) -> Decision {
    let Some(quota) = account.quota else { return Ok(()) };
    let (quotas, name) = (&worker.state.quota, &account.name);
    match quotas.admit(name, quota, worker.state.now()) {
        Admission::Admitted => return Ok(()),
        Admission::Refused { room_in } => return Err(QuotaExceeded::new(room_in)),
        Admission::Ask => {}
    }
    let owner = quotas.view.lock().owner_of(name);
    if owner == worker.state.settings.instance {
        return ask_own(worker, name);
    }
    let decision = wait_for_token(worker, owner, name);
    let limit = (objective / WAIT_DIVISOR).min(LEASE_TIME);
    let late = Err(QuotaExceeded::new(MIN_RETRY_AFTER));
    tokio::time::timeout(limit, decision).await.unwrap_or(late)
}

/// Takes a token from the node's own bucket.
fn ask_own(worker: &Worker, account: &AccountName) -> Decision {
    let state = &worker.state;
    let ask = Ask { account: account.clone(), needed: 1, in_advance: 0 };
    match state.quota.grant(&state.control, &[ask], state.now()).first() {
        Some(grant) if grant.tokens > 0 => Ok(()),
        Some(grant) => Err(QuotaExceeded::new(grant.room_in)),
        None => Err(QuotaExceeded::new(MIN_RETRY_AFTER)),
    }
}

async fn wait_for_token(
    worker: &Rc<Worker>,
    owner: InstanceName,
    account: &AccountName,
) -> Decision {
    let (tx, rx) = oneshot::channel();
    let is_first = {
        let mut waiting = worker.waiting_for_quota.0.borrow_mut();
        let is_first = !waiting.contains_key(&owner);
        let batch = waiting.entry(owner.clone()).or_default();
        batch.entry(account.clone()).or_default().push(tx);
        is_first
    };
    if is_first {
        let worker = worker.clone();
        ntex::rt::spawn(async move {
            sleep(ntex::time::Millis(BATCH_TIME.as_millis() as u32)).await;
            let batch = worker.waiting_for_quota.0.borrow_mut().remove(&owner);
            send_batch(&worker, &owner, batch.unwrap_or_default()).await;
        })
        .detach();
    }
    rx.await.unwrap_or(Err(QuotaExceeded::new(MIN_RETRY_AFTER)))
}

async fn send_batch(worker: &Rc<Worker>, owner: &InstanceName, batch: Batch) {
    let addr = worker
        .state
        .control
        .with_members(|members| members.get(owner).map(|entry| entry.record.peer_addr));
    let mut batch: Vec<_> = batch.into_iter().collect();
    while !batch.is_empty() {
        let rest = batch.split_off(batch.len().min(MAX_ASKS));
        let asks = asks(worker, &batch);
        let sent_at = worker.state.now();
        let grants = match addr {
            Some(addr) => request(worker, addr, &asks).await,
            None => None,
        };
        match grants {
            Some(grants) => settle(worker, batch, &grants, sent_at),
            None => fail(worker, owner, batch),
        }
        batch = rest;
    }
}

fn asks(worker: &Worker, batch: &[(AccountName, Vec<oneshot::Sender<Decision>>)]) -> Asks {
    let leases = worker.state.quota.leases.lock();
    let ask = |(account, waiting): &(AccountName, Vec<_>)| Ask {
        account: account.clone(),
        needed: waiting.len() as u32,
        in_advance: leases.get(account).map_or(0, |lease| lease.in_advance()),
    };
    Asks(batch.iter().map(ask).collect())
}

/// Sends a request for tokens; returns `None` if no valid answer came before tokens of that
/// time expired.
async fn request(worker: &Worker, addr: SocketAddr, asks: &Asks) -> Option<Vec<Grant>> {
    let state = &worker.state;
    let request = topic::request(&state.control, &worker.links, addr, Topic::Quota, encode(asks));
    let reply = tokio::time::timeout(LEASE_TIME, request).await.ok().and_then(Result::ok);
    let grants = reply.and_then(|reply| decode::<Grants>(&reply).ok());
    let grants = grants.filter(|grants| grants.0.len() == asks.0.len());
    let result = if grants.is_some() { "answered" } else { "failed" };
    state.metrics.count(Counter::QuotaMessages, 1, &[Tag { key: "result", value: result }]);
    grants.map(|grants| grants.0)
}

/// Passes granted tokens on to the requests that wait for them; what is left stays for later
/// requests.
fn settle(
    worker: &Worker,
    batch: Vec<(AccountName, Vec<oneshot::Sender<Decision>>)>,
    grants: &[Grant],
    sent_at: Tick,
) {
    let now = worker.state.now();
    let mut leases = worker.state.quota.leases.lock();
    for ((account, waiting), grant) in batch.into_iter().zip(grants) {
        let Some(lease) = leases.get_mut(&account) else { continue };
        lease.record_grant(*grant, sent_at, now);
        for tx in waiting.into_iter().filter(|tx| !tx.is_closed()) {
            let decision = match lease.take_token(now) {
                true => Ok(()),
                false => Err(QuotaExceeded::new(grant.room_in)),
            };
            // A caller that left in this moment has used its token.
            let _ = tx.send(decision);
        }
    }
}

/// Refuses the requests that wait, because the owner gave no answer.
fn fail(
    worker: &Worker,
    owner: &InstanceName,
    batch: Vec<(AccountName, Vec<oneshot::Sender<Decision>>)>,
) {
    let now = worker.state.now();
    let mut leases = worker.state.quota.leases.lock();
    for (account, waiting) in batch {
        if let Some(lease) = leases.get_mut(&account) {
            lease.record_failure(owner, now);
        }
        for tx in waiting {
            // The caller may have left.
            let _ = tx.send(Err(QuotaExceeded::new(MIN_RETRY_AFTER)));
        }
    }
    slog::info!(worker.state.log, "quota owner gives no answer"; "owner" => %owner);
}
