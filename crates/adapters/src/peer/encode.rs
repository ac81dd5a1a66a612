//! Encodes port messages into Cap'n Proto builders.

use std::time::Duration;

use savorykeel_policy::{code::Code, ids::RequestId};
use savorykeel_ports::peer::{
    AnswerPart, Header, HttpAnswer, HttpRequest, LoadHint, PeerCall, PeerReply, Settlement,
};

use crate::peer_capnp::{answer, answer_part, call, header, reply, request, settlement};

pub(super) fn id_high(id: RequestId) -> u64 {
    (id.0 >> 64) as u64
}

pub(super) fn id_low(id: RequestId) -> u64 {
    id.0 as u64
}

pub(super) fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn write_call(from: &PeerCall, mut to: call::Builder<'_>) {
    to.set_id_high(id_high(from.attempt.id));
    to.set_id_low(id_low(from.attempt.id));
    to.set_aim_life(from.attempt.stamp.incarnation);
    to.set_aim_tick(from.attempt.stamp.tick);
    to.set_service(from.service.as_str());
    to.set_route(from.route.as_str());
    to.set_idempotent(from.idempotent);
    to.set_priority(from.priority);
    to.set_time_left_ms(to_millis(from.time_left));
    to.set_wanted_left_ms(to_millis(from.objective_left));
    to.set_depth(from.depth);
    to.set_caller(from.caller.as_str());
    to.set_account(from.account.as_deref().unwrap_or_default());
    write_request(&from.request, to.init_request());
}

fn write_request(from: &HttpRequest, mut to: request::Builder<'_>) {
    to.set_method(from.method.as_str());
    to.set_target(from.target.as_str());
    to.set_body(&from.body);
    write_headers(&from.headers, to.init_headers(from.headers.len() as u32));
}

fn write_headers(from: &[Header], mut to: capnp::struct_list::Builder<'_, header::Owned>) {
    for (i, from) in from.iter().enumerate() {
        let mut header = to.reborrow().get(i as u32);
        header.set_name(from.name.as_str());
        header.set_value(&from.value);
    }
}

fn write_answer(from: &HttpAnswer, mut to: answer::Builder<'_>) {
    to.set_status(from.status);
    to.set_body(&from.body);
    to.set_more(from.missing > 0);
    to.set_length(from.body.len() as u64 + from.missing);
    write_headers(&from.headers, to.init_headers(from.headers.len() as u32));
}

pub(super) fn write_reply(from: &PeerReply, load: LoadHint, mut to: reply::Builder<'_>) {
    to.set_in_flight(load.in_flight);
    to.set_own_ms(to_millis(load.own_time));
    to.set_run_ms(to_millis(load.run_time));
    to.set_rate_wait_ms(to_millis(load.rate_wait));
    to.set_link_wait_ms(to_millis(load.link_wait));
    to.set_concurrency_limit(load.concurrency_limit);
    match from {
        PeerReply::Answered(answer) => write_answer(answer, to.init_answer()),
        PeerReply::Failed(code) => to.set_failed(Code::number(*code)),
    }
}

pub(super) fn write_answer_part(from: &Result<AnswerPart, Code>, mut to: answer_part::Builder<'_>) {
    match from {
        Ok(part) => {
            to.set_last(part.is_last);
            to.set_data(&part.data);
        }
        Err(code) => to.set_failed(Code::number(*code)),
    }
}

pub(super) fn write_settlement(from: &Settlement, mut to: settlement::Builder<'_>) {
    match from {
        Settlement::Ended(reply) => write_reply(reply, LoadHint::default(), to.init_ended()),
        Settlement::Running => to.set_running(()),
        Settlement::Fenced => to.set_fenced(()),
        Settlement::Evicted => to.set_forgotten(()),
    }
}
