//! What the reports of serving nodes say about room for one more request, at the entry node.

use std::time::Duration;

use rand::RngExt;
use savorykeel_adapters::metrics::{Counter, Tag};
use savorykeel_policy::{
    calls::{balance::Candidate, link_room, retry_after},
    code::Code,
};

use crate::worker::Worker;

use super::{context::CallContext, dispatch};

/// Returns whether a request is refused before it is sent, because no candidate can send its
/// large answer in time. Now and then, one is sent all the same to learn whether that has changed.
pub(super) fn is_refused(worker: &Worker, context: &CallContext, candidates: &[Candidate]) -> bool {
    if !context.route.large_answers {
        return false;
    }
    let (calls, now) = (&worker.state.calls, worker.state.now());
    let is_full = {
        let balancer = calls.balancer.lock();
        let usable = candidates.iter().filter(|candidate| !balancer.is_avoided(candidate, now));
        let waits = usable.map(|candidate| balancer.link_wait(candidate, now));
        link_room::is_full(waits, context.objective_left())
    };
    let is_refused = is_full && !calls.link_probes.lock().try_take(&context.service, now);
    if is_refused {
        let tags = [Tag { key: "at", value: "entry" }];
        worker.state.metrics.count(Counter::LinkRefusals, 1, &tags);
    }
    is_refused
}

/// Excludes the candidates that haven't just reported that a large answer can be in time.
///
/// While all links are full, offering a refused request to another node only adds messages.
pub(super) fn exclude_full(
    worker: &Worker,
    context: &CallContext,
    candidates: &[Candidate],
    tried: &mut Vec<usize>,
) {
    let (objective, now) = (context.objective_left(), worker.state.now());
    let balancer = worker.state.calls.balancer.lock();
    let has_room = |candidate: &Candidate| {
        balancer.link_wait(candidate, now).is_some_and(|wait| wait <= objective)
    };
    let is_full = |i: &usize| !tried.contains(i) && !has_room(&candidates[*i]);
    let full: Vec<usize> = (0..candidates.len()).filter(is_full).collect();
    tried.extend(full);
}

/// Returns the delay for a caller that is refused because links or slots are full, by when there
/// is room; `None` if the delay of the code applies.
pub(super) fn retry_delay(worker: &Worker, context: &CallContext, code: Code) -> Option<Duration> {
    let is_for_link = match code {
        Code::LinkOverloaded => true,
        Code::Overloaded if worker.state.settings.limits.link.is_some() => false,
        _ => return None,
    };
    let (objective, now) = (context.objective_left(), worker.state.now());
    let candidates = dispatch::candidates(worker, context);
    let room_in = {
        let balancer = worker.state.calls.balancer.lock();
        let waits = candidates.iter().filter_map(|candidate| match is_for_link {
            true => Some(balancer.link_wait(candidate, now)?.saturating_sub(objective)),
            false => balancer.slot_wait(candidate, now),
        });
        waits.min()
    };
    let room_in = room_in.or(code.retry_after())?;
    let share = worker.rng.borrow_mut().random();
    Some(retry_after::retry_after(room_in, context.time_left(), share))
}
