//! Sends ledger messages to the members of a service's group.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use savorykeel_policy::calls::{
    ledger::{Claim, ClaimReply},
    ledger_message::{LedgerMessage, LedgerReply},
    ledger_view::{LedgerKey, LedgerMember, LedgerView, quorum},
};
use savorykeel_ports::peer::PeerLinks;

use crate::worker::Worker;

use super::{ledger, state::to_millis};

/// Time after which a member that has not replied counts as unreachable.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends a message to a member and returns its reply.
///
/// Returns `None` when the member can't be reached, does not reply within
/// [`REPLY_TIMEOUT`] or sends a malformed reply. A message to this node itself is
/// handled directly.
pub(crate) async fn send(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    message: &LedgerMessage,
) -> Option<LedgerReply> {
    send_within(worker, addr, message, REPLY_TIMEOUT).await
}

/// Sends a message like [`send`] and waits for the reply for `limit`.
async fn send_within(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    message: &LedgerMessage,
    limit: Duration,
) -> Option<LedgerReply> {
    if addr == worker.state.control.identity.peer_addr {
        return Some(ledger::handle(&worker.state, message.clone()));
    }
    let body = postcard::to_stdvec(message).ok()?;
    let exchange = worker.links.ledger(addr, body);
    let reply = ntex::time::timeout(to_millis(limit), exchange).await.ok()?.ok()?;
    postcard::from_bytes(&reply).ok()
}

/// Requests a claim from all replicas of a key and returns their replies.
///
/// Returns as soon as a quorum has granted the claim; replies that have not arrived
/// by then, or within `time_left`, are `None`.
pub(crate) async fn claim(
    worker: &Rc<Worker>,
    view: &LedgerView,
    key: LedgerKey,
    claim: Claim,
    time_left: Duration,
) -> Vec<Option<ClaimReply>> {
    let limit = time_left.min(REPLY_TIMEOUT);
    let replicas = view.replicas(key);
    let message = LedgerMessage::Claim { key, claim, replicas: view.replica_digest(key) };
    let mut replies: Vec<Option<ClaimReply>> = vec![None; replicas.len()];
    let request_claim = |i: usize, member: &LedgerMember| {
        let (worker, addr, message) = (worker.clone(), member.addr, message.clone());
        async move { (i, send_within(&worker, addr, &message, limit).await) }
    };
    let mut pending: FuturesUnordered<_> =
        replicas.iter().enumerate().map(|(i, member)| request_claim(i, member)).collect();
    while let Some((i, reply)) = pending.next().await {
        if let Some(LedgerReply::Claim(reply)) = reply {
            replies[i] = Some(reply);
        }
        let granted = replies.iter().filter(|r| **r == Some(ClaimReply::Granted)).count();
        if granted >= quorum(replicas.len()) {
            break;
        }
    }
    replies
}

/// Sends a message to every replica of a key without waiting for the replies.
pub(crate) fn notify_replicas(
    worker: &Rc<Worker>,
    view: &LedgerView,
    key: LedgerKey,
    message: &LedgerMessage,
) {
    for member in view.replicas(key) {
        let (worker, addr, message) = (worker.clone(), member.addr, message.clone());
        ntex::rt::spawn(async move { send(&worker, addr, &message).await }).detach();
    }
}
