//! One attempt at one backend server, settled when its connection is lost.

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

use super::{context::CallContext, serve, state::to_millis};

/// Time that the entry node waits beyond the deadline for the other node's word.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Pause between two questions about a request that still runs.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// An attempt that is aimed at a node and not sent.
pub(crate) struct PreparedAttempt {
    /// Name of the instance.
    pub(crate) instance: InstanceName,
    /// Address of the node beside the backend server.
    pub(crate) addr: SocketAddr,
    /// Identifies the attempt.
    pub(crate) attempt: Attempt,
}

/// Aims an attempt, which needs a live connection to the node.
pub(crate) async fn prepare(
    worker: &Rc<Worker>,
    endpoint: &Endpoint,
) -> Result<PreparedAttempt, Code> {
    let id = RequestId(worker.rng.borrow_mut().random());
    let (instance, addr) = (endpoint.instance.clone(), endpoint.peer_addr);
    let stamp = match is_own(worker, &instance) {
        true => worker.state.calls.stamp(worker.state.now()),
        false => worker.links.stamp(addr).await.map_err(|_| Code::Unreachable)?,
    };
    Ok(PreparedAttempt { instance, addr, attempt: Attempt { id, aim: stamp } })
}

/// Sends the request and returns what is known for sure afterwards.
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
    let result = ntex::time::timeout(limit, send(worker, prepared, call)).await;
    let reply = match result {
        Ok(Ok(reply)) => reply,
        Ok(Err(PeerError::NotSent(_))) => PeerReply::Failed(Code::Unreachable),
        Ok(Err(PeerError::Lost(_) | PeerError::Malformed { .. })) => {
            settle_lost_attempt(worker, context, prepared).await
        }
        Err(()) => return PeerReply::Failed(Code::DeadlineWhileRunning),
    };
    guard.is_armed = false;
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
        wanted_left: context.objective_left(),
        depth: context.depth,
        caller: context.caller.name.clone(),
        request: context.request.clone(),
    })
}

fn is_own(worker: &Worker, instance: &InstanceName) -> bool {
    *instance == worker.state.settings.instance
}

async fn send(
    worker: &Rc<Worker>,
    prepared: &PreparedAttempt,
    call: PeerCall,
) -> Result<PeerReply, PeerError> {
    if is_own(worker, &prepared.instance) {
        let (reply, load) = serve::run_detached(worker.clone(), call).await;
        record_load(worker, prepared, load);
        return Ok(reply);
    }
    let (reply, load) = worker.links.call(prepared.addr, &call).await?;
    record_load(worker, prepared, load);
    Ok(reply)
}

fn record_load(worker: &Worker, prepared: &PreparedAttempt, load: LoadHint) {
    let state = &worker.state;
    let load = Load { in_flight: load.in_flight, run_time: load.run_time };
    state.calls.balancer.lock().record_load(&prepared.instance, load, state.now());
}

/// Says what became of a request whose connection was lost.
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

/// Asks the node beside the backend server until it knows the end.
///
/// A node that can't be reached is asked for the time in the settings; one that
/// says that the request runs is asked until the deadline.
pub(crate) async fn settle(
    worker: &Rc<Worker>,
    addr: SocketAddr,
    attempt: Attempt,
    deadline: Instant,
) -> PeerReply {
    let mut give_up_at = deadline.min(Instant::now() + worker.state.settings.limits.settle);
    loop {
        match query_status(worker, addr, attempt).await {
            Some(Settlement::Ended(reply)) => return reply,
            Some(Settlement::Fenced) => return PeerReply::Failed(Code::Fenced),
            Some(Settlement::Forgotten) => return PeerReply::Failed(Code::SettleFailed),
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
) -> Option<Settlement> {
    if addr == worker.state.control.identity.peer_addr {
        return Some(serve::settle(&worker.state, attempt));
    }
    let limit = to_millis(worker.state.settings.limits.settle);
    ntex::time::timeout(limit, worker.links.settle(addr, attempt)).await.ok()?.ok()
}

/// Cancels the attempt when its caller stops waiting for it.
struct CancelGuard {
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
            // Nobody waits any more, so that a lost message changes nothing.
            let _ = worker.links.cancel(addr, id).await;
        })
        .detach();
    }
}

/// Returns an endpoint of the table by the address of its node.
pub(crate) fn endpoint_at(context: &CallContext, i: usize) -> Option<Arc<Endpoint>> {
    context.table.services.get(&context.service)?.endpoints.get(i).cloned()
}
