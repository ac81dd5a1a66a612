//! Publish requests in the operators' API, and queries for their outcomes.

use std::time::{Duration, Instant};

use ntex::http::{Payload, Request, Response, StatusCode};
use savorykeel_adapters::log::HttpLog;
use savorykeel_policy::{
    code::Code,
    config::record::{MAX_RECORD_BYTES, PublishRecord, RecordError},
    ids::PublishId,
};
use savorykeel_ports::log::{CONFIGURATION_STREAM, LogError, LogService, Offset};
use slog::{info, warn};

use crate::{
    http::{BodyError, read_body},
    settings::StoreChoice,
    state::NodeState,
};

use super::{
    api::{PUBLISHES_PATH, PublishAnswer, PublishOutcome},
    api_error, json_response, token,
};

/// Longest time for which a request may ask to wait for an outcome.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Longest time to receive the body of a publish.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for which a publish waits until a log that came back from an older copy has the
/// records again that nodes hold.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two checks of whether the outcome is known.
const OUTCOME_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Answers a request to publish.
///
/// If the outcome for the publish's id is already known, it is returned and nothing is
/// appended. A publish that breaks a rule is not appended either, because every node would
/// refuse it.
pub(super) async fn publish(state: &NodeState, req: &Request, payload: &mut Payload) -> Response {
    if let Err(denied) = token::check(state.settings.token_file.as_deref(), req.headers()) {
        return api_error(Code::Unauthorized, denied.to_string());
    }
    let wait = wait_time(req);
    let mut memory = state.body_memory.reservation(MAX_RECORD_BYTES);
    let body = match read_body(payload, MAX_RECORD_BYTES, BODY_TIMEOUT, &mut memory).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            return api_error(Code::BodyTooLarge, format!("use at most {MAX_RECORD_BYTES} bytes"));
        }
        Err(BodyError::Broken) => return api_error(Code::BadRequest, "the body ended early"),
        Err(BodyError::TooSlow | BodyError::Stalled) => {
            return api_error(Code::BadRequest, "the body came too slowly");
        }
        Err(BodyError::NoMemory) => {
            return api_error(Code::Overloaded, "other bodies take all the memory");
        }
    };
    let id = match PublishRecord::parse(&body) {
        Ok(record) => record.id,
        Err(e) => return refusal(e),
    };
    if let Some(outcome) = known_outcome(state, &id) {
        return publish_response(id, outcome);
    }
    let pending_detail = match append(state, body).await {
        Ok(offset) => {
            info!(state.log, "publish appended"; "id" => %id, "offset" => offset.0);
            "this node has not read the publish from the log yet".into()
        }
        // The append may have succeeded despite the error, so the outcome may still arrive.
        Err(e) => {
            warn!(state.log, "append of a publish not confirmed"; "id" => %id, "error" => %e);
            e.to_string()
        }
    };
    wait_for_outcome(state, id, wait, pending_detail).await
}

/// Answers a query for the outcome of a publish.
pub(super) async fn outcome(state: &NodeState, req: &Request) -> Response {
    let raw = req.path().strip_prefix(PUBLISHES_PATH).unwrap_or("").trim_start_matches('/');
    match PublishId::try_from(raw) {
        Ok(id) => {
            let pending_detail = "this node has not read such a publish from the log".into();
            wait_for_outcome(state, id, wait_time(req), pending_detail).await
        }
        Err(e) => api_error(Code::BadRequest, e.to_string()),
    }
}

fn refusal(e: RecordError) -> Response {
    match e {
        RecordError::Refused { id: Some(id), refusals } => {
            publish_response(id, PublishOutcome::Refused { reasons: refusals })
        }
        RecordError::Refused { id: None, refusals } => {
            let reasons: Vec<String> = refusals.iter().map(ToString::to_string).collect();
            api_error(Code::BadRequest, reasons.join("; "))
        }
        e @ RecordError::UnknownFormat { .. } => api_error(Code::UnknownFormat, e.to_string()),
    }
}

async fn append(state: &NodeState, body: Vec<u8>) -> Result<Offset, LogError> {
    let StoreChoice::LogService(base) = &state.settings.store else {
        let problem = "the platform keeps the configuration: write it there";
        return Err(LogError::Unavailable(problem.into()));
    };
    let log = HttpLog::new(base.clone()).await?;
    let deadline = Instant::now() + RESTORE_TIMEOUT;
    loop {
        let held = Offset(state.control.held_position().0);
        match log.append_at(CONFIGURATION_STREAM, held, body.clone()).await {
            Ok(()) => return Ok(held),
            // This node lags. The fold rejects a publish that overtakes another one.
            Err(LogError::EndsElsewhere { next }) if next > held => {
                return log.append(CONFIGURATION_STREAM, body).await;
            }
            // The log has lost records that nodes are about to write again at their offsets.
            Err(LogError::EndsElsewhere { .. }) if Instant::now() < deadline => {
                tokio::time::sleep(OUTCOME_POLL_PERIOD).await;
            }
            Err(e) => return Err(e),
        }
    }
}

fn known_outcome(state: &NodeState, id: &PublishId) -> Option<PublishOutcome> {
    state.control.publish(id).map(|publish| publish.outcome.into())
}

/// Waits up to `wait` for the outcome. If it is still unknown then, the answer gives
/// `pending_detail` as the reason.
async fn wait_for_outcome(
    state: &NodeState,
    id: PublishId,
    wait: Duration,
    pending_detail: String,
) -> Response {
    let started = Instant::now();
    loop {
        if let Some(outcome) = known_outcome(state, &id) {
            return publish_response(id, outcome);
        }
        if started.elapsed() >= wait {
            return publish_response(id, PublishOutcome::Pending { detail: pending_detail });
        }
        tokio::time::sleep(OUTCOME_POLL_PERIOD).await;
    }
}

fn publish_response(id: PublishId, outcome: PublishOutcome) -> Response {
    let status = StatusCode::from_u16(outcome.http_status()).unwrap_or(StatusCode::OK);
    json_response(status, &PublishAnswer { id, outcome })
}

/// Returns the time for which the operator asked to wait, from the URL query
/// `wait_ms=N`, limited to [`MAX_WAIT`].
fn wait_time(req: &Request) -> Duration {
    let query = req.uri().query().unwrap_or("");
    let millis = query.split('&').find_map(|pair| pair.strip_prefix("wait_ms=")?.parse().ok());
    Duration::from_millis(millis.unwrap_or(0)).min(MAX_WAIT)
}
