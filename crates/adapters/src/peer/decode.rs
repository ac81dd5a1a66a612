//! Decodes port messages from Cap'n Proto readers and validates them.

use std::{sync::Arc, time::Duration};

use capnp::Error;
use savorykeel_policy::{
    calls::settle::NodeStamp,
    code::Code,
    ids::{RequestId, RouteName, ServiceName},
};
use savorykeel_ports::peer::{
    AnswerPart, Attempt, Header, HttpAnswer, HttpRequest, LoadHint, PeerCall, PeerReply, Settlement,
};

use crate::peer_capnp::{answer, answer_part, call, header, reply, request, settlement};

pub(super) fn request_id(high: u64, low: u64) -> RequestId {
    RequestId((u128::from(high) << 64) | u128::from(low))
}

pub(super) fn read_call(from: call::Reader<'_>) -> Result<PeerCall, Error> {
    let attempt = Attempt {
        id: request_id(from.get_id_high(), from.get_id_low()),
        stamp: NodeStamp { incarnation: from.get_aim_life(), tick: from.get_aim_tick() },
    };
    Ok(PeerCall {
        attempt,
        service: ServiceName::try_from(from.get_service()?.to_str()?).map_err(invalid)?,
        route: RouteName::try_from(from.get_route()?.to_str()?).map_err(invalid)?,
        idempotent: from.get_idempotent(),
        priority: from.get_priority(),
        time_left: Duration::from_millis(from.get_time_left_ms().into()),
        objective_left: Duration::from_millis(from.get_wanted_left_ms().into()),
        depth: from.get_depth(),
        caller: from.get_caller()?.to_string()?,
        account: read_account(from.get_account()?.to_str()?),
        request: read_request(from.get_request()?)?,
    })
}

/// Returns the name of an account; an empty text stands for none.
fn read_account(name: &str) -> Option<Arc<str>> {
    (!name.is_empty()).then(|| name.into())
}

fn read_request(from: request::Reader<'_>) -> Result<HttpRequest, Error> {
    Ok(HttpRequest {
        method: from.get_method()?.to_string()?,
        target: from.get_target()?.to_string()?,
        headers: read_headers(from.get_headers()?)?,
        body: from.get_body()?.to_vec().into(),
    })
}

fn read_headers(from: capnp::struct_list::Reader<'_, header::Owned>) -> Result<Vec<Header>, Error> {
    from.iter()
        .map(|header| {
            Ok(Header {
                name: header.get_name()?.to_string()?,
                value: header.get_value()?.to_vec(),
            })
        })
        .collect()
}

fn read_answer(from: answer::Reader<'_>) -> Result<HttpAnswer, Error> {
    let body = from.get_body()?.to_vec();
    let missing = match from.get_more() {
        true => from.get_length().saturating_sub(body.len() as u64),
        false => 0,
    };
    let headers = read_headers(from.get_headers()?)?;
    Ok(HttpAnswer { status: from.get_status(), headers, body, missing })
}

pub(super) fn read_reply(from: reply::Reader<'_>) -> Result<(PeerReply, LoadHint), Error> {
    let load = LoadHint {
        in_flight: from.get_in_flight(),
        own_time: Duration::from_millis(from.get_own_ms().into()),
        run_time: Duration::from_millis(from.get_run_ms().into()),
        rate_wait: Duration::from_millis(from.get_rate_wait_ms().into()),
        link_wait: Duration::from_millis(from.get_link_wait_ms().into()),
        concurrency_limit: from.get_concurrency_limit(),
    };
    let reply = match from.which()? {
        reply::Answer(answer) => PeerReply::Answered(read_answer(answer?)?),
        reply::Failed(number) => PeerReply::Failed(read_code(number)?),
    };
    Ok((reply, load))
}

pub(super) fn read_settlement(from: settlement::Reader<'_>) -> Result<Settlement, Error> {
    Ok(match from.which()? {
        settlement::Ended(reply) => Settlement::Ended(read_reply(reply?)?.0),
        settlement::Running(()) => Settlement::Running,
        settlement::Fenced(()) => Settlement::Fenced,
        settlement::Forgotten(()) => Settlement::Evicted,
    })
}

pub(super) fn read_answer_part(
    from: answer_part::Reader<'_>,
) -> Result<Result<AnswerPart, Code>, Error> {
    Ok(match from.which()? {
        answer_part::Data(data) => {
            Ok(AnswerPart { data: data?.to_vec(), is_last: from.get_last() })
        }
        answer_part::Failed(number) => Err(read_code(number)?),
    })
}

fn read_code(number: u16) -> Result<Code, Error> {
    Code::from_repr(number).ok_or_else(|| Error::failed(format!("{number} is not a result code")))
}

fn invalid(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}
