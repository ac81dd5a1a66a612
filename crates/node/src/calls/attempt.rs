//! Sends one attempt to the node of one backend server.
//!
//! When the connection is lost, the attempt is settled: the other node is asked what
//! became of the request, because only that shows whether it may be sent again.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use savorykeel_policy::{
    calls::{balance::Load, deadline::next_hop},
    code::Code,
    ids::{InstanceName, RequestId},
    table::Endpoint,
};
use savorykeel_ports::peer::{
    Attempt, LoadHint, PeerCall, PeerError, PeerLinks, PeerReply, Settlement,
};

use crate::worker::Worker;

use super::{
    answer_parts::{self, AnswerRest},
    context::CallContext,
    serve,
    state::to_millis,
};

/// Time that the entry node waits for the other node's reply beyond the time left for
/// the call.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Pause between two status queries about the same attempt.
pub(super) const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// An attempt that has its target and its stamp but has not been sent.
pub(crate) struct PreparedAttempt {
    /// Instance of the backend server.
    pub(crate) instance: InstanceName,
    /// Peer address of the backend server's node.
    pub(crate) addr: SocketAddr,
    /// Identifies the attempt in the settle protocol.
    pub(crate) attempt: Attempt,
}

/// Prepares an attempt at an endpoint.
///
/// The attempt carries the newest stamp of the target node, which needs a live
/// connection to that node. The node counts as unreachable if there is none within `limit`.
pub(crate) async fn prepare(
    worker: &Rc<Worker>,
    endpoint: &Endpoint,
    limit: Duration,
) -> Result<PreparedAttempt, Code> {
    let id = RequestId(worker.rng.borrow_mut().random());
    let (instance, addr) = (endpoint.instance.clone(), endpoint.peer_addr);
    let stamp = match is_own(worker, &instance) {
        true => worker.state.calls.stamp(worker.state.now()),
        false => {
            let stamp = ntex::time::timeout(to_millis(limit), worker.links.stamp(addr)).await;
            stamp.map_err(|()| Code::Unreachable)?.map_err(|_| Code::Unreachable)?
        }
    };
    Ok(PreparedAttempt { instance, addr, attempt: Attempt { id, stamp } })
}

/// Sends the request and returns its reply.
///
/// The rest of a large answer may be left to the context, from which it is fetched as the caller
/// reads. If the connection is lost, the reply is what the settle protocol established. If the
/// deadline passes or the returned future is dropped, the attempt is cancelled at the
/// other node.
pub(crate) async fn run(
    worker: &Rc<Worker>,
    context: &CallContext,
    prepared: &PreparedAttempt,
) -> PeerReply {
    let call = match peer_call(context, prepared.attempt) {
        Ok(call) => call,
        Err(code) => return PeerReply::Failed(code),
    };
    let mut guard = CancelGuard::new(worker, prepared);
    let limit = to_millis(call.time_left + DEADLINE_GRACE);
    let result = ntex::time::timeout(limit, send(worker, context, prepared, call)).await;
    let reply = match result {
        Ok(Ok(reply)) => reply,
        Ok(Err(PeerError::NotSent(_))) => PeerReply::Failed(Code::Unreachable),
        Ok(Err(PeerError::Lost(_) | PeerError::Malformed { .. })) => {
            settle_lost_attempt(worker, context, prepared).await
        }
        Err(()) => return PeerReply::Failed(Code::DeadlineWhileRunning),
    };
    match &reply {
        PeerReply::Answered(answer) if answer.missing > 0 => {
            let rest = AnswerRest::new(worker, prepared, answer, guard);
            *context.rest.borrow_mut() = Some(rest);
        }
        _ => guard.disarm(),
    }
    reply
}

fn peer_call(context: &CallContext, attempt: Attempt) -> Result<PeerCall, Code> {
    Ok(PeerCall {
        attempt,
        service: context.service.clone(),
        route: context.route.name.clone(),
        idempotent: context.route.idempotent,
        priority: context.priority(),
        time_left: next_hop(context.time_left())?,
        objective_left: context.objective_left(),
        depth: context.depth,
        caller: context.caller.name.clone(),
        account: context.account.as_ref().map(|account| account.name.shared()),
        request: context.request.clone(),
    })
}

fn is_own(worker: &Worker, instance: &InstanceName) -> bool {
    *instance == worker.state.settings.instance
}

async fn send(
    worker: &Rc<Worker>,
    context: &CallContext,
    prepared: &PreparedAttempt,
    call: PeerCall,
) -> Result<PeerReply, PeerError> {
    if is_own(worker, &prepared.instance) {
        let (reply, load) = serve::run_own(worker.clone(), call).await;
        record_reply(worker, prepared, load, None);
        return Ok(reply);
    }
    worker.state.calls.outgoing.count_request(&call.request);
    let sent_at = Instant::now();
    let (reply, load) = worker.links.call(prepared.addr, &call).await?;
    let transport = sent_at.elapsed().saturating_sub(load.own_time);
    record_reply(worker, prepared, load, Some(transport));
    if answer_parts::is_streamed(context, &reply) {
        return Ok(reply);
    }
    Ok(answer_parts::complete(worker, prepared.addr, prepared.attempt.id, reply).await)
}

/// Records what a reply tells about the backend server and, if another node sent it, the
/// time that the call spent outside that node.
fn record_reply(
    worker: &Worker,
    prepared: &PreparedAttempt,
    load: LoadHint,
    transport: Option<Duration>,
) {
    let (state, instance) = (&worker.state, &prepared.instance);
    let LoadHint { in_flight, run_time, rate_wait, link_wait, concurrency_limit, .. } = load;
    let load = Load { in_flight, run_time, rate_wait, link_wait, concurrency_limit };
    let mut balancer = state.calls.balancer.lock();
    let now = state.now();
    balancer.record_load(instance, load, now);
    if let Some(transport) = transport {
        balancer.record_transport(instance, transport, now);
    }
}

/// Returns what became of an attempt whose connection was lost.
async fn settle_lost_attempt(
    worker: &Rc<Worker>,
    context: &CallContext,
    prepared: &PreparedAttempt,
) -> PeerReply {
    if worker.state.calls.testing.without_settle {
        return PeerReply::Failed(Code::Fenced);
    }
    settle(worker, prepared.addr, prepared.attempt, context.deadline).await
}

/// Queries the backend server's node until it returns a final status of the attempt.
///
/// Queries to a node that can't be reached are repeated for the settle time of the
/// settings; once a node has reported that the request is running, they are repeated
/// until the deadline. No query lasts longer than [`SETTLE_PAUSE`] beyond that.
pub(crate) async fn settle(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    attempt: Attempt,
    deadline: Instant,
) -> PeerReply {
    let mut give_up_at = deadline.min(Instant::now() + worker.state.settings.limits.settle);
    loop {
        let limit = give_up_at.saturating_duration_since(Instant::now());
        match query_status(worker, addr, attempt, limit).await {
            Some(Settlement::Ended(reply)) => {
                let limit = to_millis(deadline.saturating_duration_since(Instant::now()));
                let reply = answer_parts::complete(worker, addr, attempt.id, reply);
                let reply = ntex::time::timeout(limit, reply).await;
                return reply.unwrap_or(PeerReply::Failed(Code::DeadlineWhileRunning));
            }
            Some(Settlement::Fenced) => return PeerReply::Failed(Code::Fenced),
            Some(Settlement::Evicted) => return PeerReply::Failed(Code::SettleFailed),
            Some(Settlement::Running) => give_up_at = deadline,
            None => {}
        }
        if Instant::now() + SETTLE_PAUSE >= give_up_at {
            return PeerReply::Failed(Code::SettleFailed);
        }
        ntex::time::sleep(to_millis(SETTLE_PAUSE)).await;
    }
}

async fn query_status(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    attempt: Attempt,
    limit: Duration,
) -> Option<Settlement> {
    if addr == worker.state.control.identity.peer_addr {
        return Some(serve::settle(&worker.state, attempt));
    }
    let limit = limit.max(SETTLE_PAUSE).min(worker.state.settings.limits.settle);
    ntex::time::timeout(to_millis(limit), worker.links.settle(addr, attempt)).await.ok()?.ok()
}

/// Cancels the attempt when it is dropped before a reply arrived.
pub(super) struct CancelGuard {
    worker: Rc<Worker>,
    addr: SocketAddr,
    id: RequestId,
    is_own: bool,
    is_armed: bool,
}

impl CancelGuard {
    fn new(worker: &Rc<Worker>, prepared: &PreparedAttempt) -> Self {
        Self {
            worker: worker.clone(),
            addr: prepared.addr,
            id: prepared.attempt.id,
            is_own: is_own(worker, &prepared.instance),
            is_armed: true,
        }
    }

    /// Keeps the request from being cancelled, because its reply is complete.
    pub(super) fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        if self.is_own {
            serve::cancel(&self.worker.state, self.id);
            return;
        }
        let (worker, addr, id) = (self.worker.clone(), self.addr, self.id);
        ntex::rt::spawn(async move {
            // Nothing waits for the reply any more, so a failed send needs no handling.
            let _ = worker.links.cancel(addr, id).await;
        })
        .detach();
    }
}

/// Returns endpoint `i` of the call's service, or `None` if the table has none there.
pub(crate) fn endpoint_at(context: &CallContext, i: usize) -> Option<Arc<Endpoint>> {
    context.table.services.get(&context.service)?.endpoints.get(i).cloned()
}
