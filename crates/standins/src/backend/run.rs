//! Runs one request: acquires a slot, adds latency, fails on demand, answers.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use ntex::http::{Response, StatusCode};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{Call, empty};

use super::{ledger::Run, server::Shared};

/// Maximum size of the padding that a request can ask for, in bytes.
const MAX_PADDING_BYTES: usize = 16 << 20;

/// Body of an answer. A caller uses it to check that it got the complete answer
/// to its own request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The request's `X-Request-Tag`.
    pub tag: Option<String>,
    /// Length of the request's body in bytes.
    pub body_bytes: usize,
    /// 64-bit xxh3 hash of the request's body, in hex.
    pub body_hash: String,
    /// Name of the backend server.
    pub instance: String,
    /// Service of the backend server.
    pub service: String,
    /// Version of the backend server.
    pub version: String,
    /// Padding of as many bytes as `X-Answer-Padding` asked for, up to 16 MiB.
    pub padding: String,
}

impl Answer {
    /// Returns the value of `body_hash` in the answer to a request with this body.
    pub fn hash_of(body: &[u8]) -> String {
        format!("{:016x}", xxh3_64(body))
    }
}

/// Counts a request as cancelled if it is dropped before `ended` is set.
struct CancelGuard<'a> {
    shared: &'a Shared,
    ended: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        if !self.ended {
            self.shared.ledger.lock().counts.cancelled += 1;
        }
    }
}

/// Runs a request in one of the slots. Sheds it with 503 if all slots and all
/// waiting places are in use.
pub(crate) async fn run(shared: Arc<Shared>, call: Call) -> Response {
    if shared.slots.available_permits() == 0
        && shared.waiting.load(Ordering::Relaxed) >= shared.settings.waiting
    {
        shared.ledger.lock().counts.shed += 1;
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    shared.waiting.fetch_add(1, Ordering::Relaxed);
    let waiting = WaitGuard { shared: &shared };
    let slot = shared.slots.acquire().await;
    drop(waiting);
    let Ok(_slot) = slot else { return empty(StatusCode::SERVICE_UNAVAILABLE) };
    let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    let mut guard = CancelGuard { shared: &shared, ended: false };
    let index = shared.ledger.lock().record_start(ledger_entry(&shared, &call));
    if call.header("x-crash") == Some("1") && shared.crash() {
        // The connection is closed with all others.
        std::future::pending::<()>().await;
    }
    let (latency, rate) = shared.draw_parameters(&call.path, running);
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    let fails = rate > 0.0 && shared.rng.lock().random_bool(rate.min(1.0));
    let status = if fails { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    guard.ended = true;
    if call.header("x-lose-answer") == Some("1") {
        call.close_connection();
    }
    shared.ledger.lock().record_answer(index, status.as_u16());
    answer(&shared, &call, status)
}

/// Decrements the number of waiting requests on drop, so that it stays correct
/// when a waiting request is cancelled.
struct WaitGuard<'a> {
    shared: &'a Shared,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

fn ledger_entry(shared: &Shared, call: &Call) -> Run {
    let text = |name: &str| call.header(name).map(str::to_owned);
    Run {
        attempt: text("savorykeel-request-id"),
        key: text("idempotency-key"),
        tag: text("x-request-tag"),
        deadline_ms: call.header("savorykeel-deadline-ms").and_then(|ms| ms.parse().ok()),
        depth: call.header("savorykeel-depth").and_then(|depth| depth.parse().ok()),
        authorization: text("authorization"),
        account: text("savorykeel-account"),
        method: call.method.as_str().to_owned(),
        path: call.path.clone(),
        started_ms: shared.since_start().as_millis() as u64,
        status: None,
    }
}

fn answer(shared: &Shared, call: &Call, status: StatusCode) -> Response {
    let padding = call.header("x-answer-padding").and_then(|n| n.parse().ok()).unwrap_or(0_usize);
    let body = Answer {
        tag: call.header("x-request-tag").map(str::to_owned),
        body_bytes: call.body.len(),
        body_hash: Answer::hash_of(&call.body),
        instance: shared.settings.name.clone(),
        service: shared.settings.service.clone(),
        version: shared.settings.version.clone(),
        padding: "x".repeat(padding.min(MAX_PADDING_BYTES)),
    };
    let mut response = Response::build(status);
    response.header("x-backend-version", shared.settings.version.as_str());
    if let Some(tag) = &body.tag {
        response.header("x-request-tag", tag.as_str());
    }
    response.json(&body)
}

impl Shared {
    /// Returns the latency of a request and the probability that it fails.
    fn draw_parameters(&self, path: &str, running: usize) -> (Duration, f64) {
        let behaviour = self.behaviour.lock();
        let cold = self.since_incarnation_start() < Duration::from_millis(behaviour.cold_ms);
        let cold_extra = if cold { behaviour.cold_extra_latency_ms } else { 0 };
        let route_extra = behaviour.route(path).map_or(0, |route| route.extra_latency_ms);
        let latency_ms = behaviour.latency_ms + cold_extra + route_extra;
        (Duration::from_millis(latency_ms), behaviour.failure_rate_for(path, running))
    }
}
