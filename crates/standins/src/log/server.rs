//! The log service's HTTP API.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ntex::http::{
    Method, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use parking_lot::Mutex;
use serde::Serialize;
use serde_with::{base64::Base64, serde_as};
use tokio::sync::Notify;

use crate::http::{Call, empty, json};

use super::{
    Faults, Outage,
    store::{Page, Store, StoreError},
};

/// Header that states the era of the service; it rises when the service comes back from a copy.
const ERA_HEADER: &str = "log-era";

/// Upper limit of a long poll's `wait_ms`.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Maximum number of records in an answer if the reader sets no `limit`.
const READ_LIMIT: usize = 1_000;

/// State shared by the server and the handle. Lock order: `faults` before
/// `store`.
pub(crate) struct Shared {
    pub(crate) faults: Mutex<Faults>,
    pub(crate) store: Mutex<Store>,
    pub(crate) max_record_bytes: usize,
    /// Wakes long polls after an append.
    pub(crate) appended: Notify,
    /// Wakes requests that wait in a silent outage.
    pub(crate) faults_changed: Notify,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct EndsElsewhere {
    next: u64,
}

#[derive(Serialize)]
struct Expired {
    earliest: u64,
}

#[serde_as]
#[derive(Serialize)]
struct Record {
    offset: u64,
    #[serde_as(as = "Base64")]
    body: Vec<u8>,
}

#[derive(Serialize)]
struct Records {
    earliest: u64,
    next: u64,
    records: Vec<Record>,
}

impl From<Page> for Records {
    fn from(page: Page) -> Self {
        let records = page.records.into_iter().map(|(offset, body)| Record { offset, body });
        Self { earliest: page.earliest, next: page.next, records: records.collect() }
    }
}

/// Handles one request.
pub(crate) async fn handle(shared: Arc<Shared>, call: Call) -> Response {
    match (&call.method, call.path.as_str()) {
        (&Method::PUT, "/v1/faults") => set_faults(&shared, &call),
        (&Method::GET, "/v1/faults") => json(StatusCode::OK, &*shared.faults.lock()),
        (&Method::GET, "/v1/counts") => json(StatusCode::OK, &shared.store.lock().counts()),
        _ => handle_stream(&shared, &call).await,
    }
}

fn set_faults(shared: &Shared, call: &Call) -> Response {
    match call.json::<Faults>() {
        Ok(faults) => {
            shared.set_faults(faults);
            empty(StatusCode::NO_CONTENT)
        }
        Err(answer) => answer,
    }
}

async fn handle_stream(shared: &Shared, call: &Call) -> Response {
    let Some(name) = stream_name(&call.path) else { return empty(StatusCode::NOT_FOUND) };
    if shared.check_outage().await.is_err() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut response = match call.method {
        Method::POST => append(shared, name, call).await,
        Method::GET => read(shared, name, call).await,
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    };
    let era = shared.store.lock().era();
    response.headers_mut().insert(HeaderName::from_static(ERA_HEADER), HeaderValue::from(era));
    response
}

fn stream_name(path: &str) -> Option<&str> {
    let name = path.strip_prefix("/v1/streams/")?.strip_suffix("/records")?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}

async fn append(shared: &Shared, name: &str, call: &Call) -> Response {
    if call.body.len() > shared.max_record_bytes {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let at = call.query_value("at").map(str::parse).transpose();
    let Ok(at) = at else { return empty(StatusCode::BAD_REQUEST) };
    let appended = shared.store.lock().append(name, call.body.clone(), at, Instant::now());
    let offset = match appended {
        Ok(offset) => offset,
        Err(StoreError::EndsElsewhere { next }) => {
            return json(StatusCode::PRECONDITION_FAILED, &EndsElsewhere { next });
        }
        Err(_) => return empty(StatusCode::TOO_MANY_REQUESTS),
    };
    shared.appended.notify_waiters();
    shared.delay_answer().await;
    if shared.consume_lost_answer() {
        call.close_connection();
    }
    json(StatusCode::CREATED, &Appended { offset })
}

async fn read(shared: &Shared, name: &str, call: &Call) -> Response {
    let Ok(from) = parse_u64(call, "from", 0) else { return empty(StatusCode::BAD_REQUEST) };
    let Ok(wait_ms) = parse_u64(call, "wait_ms", 0) else { return empty(StatusCode::BAD_REQUEST) };
    let Ok(limit) = parse_u64(call, "limit", READ_LIMIT as u64) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
    let page = wait_for_records(shared, name, from, limit as usize, wait).await;
    shared.delay_answer().await;
    match page {
        // An outage may have started while the poll waited.
        _ if shared.check_outage().await.is_err() => empty(StatusCode::SERVICE_UNAVAILABLE),
        Ok(page) => {
            shared.store.lock().record_read(name, page.records.len());
            json(StatusCode::OK, &Records::from(page))
        }
        Err(StoreError::Expired { earliest }) => json(StatusCode::GONE, &Expired { earliest }),
        Err(_) => empty(StatusCode::TOO_MANY_REQUESTS),
    }
}

async fn wait_for_records(
    shared: &Shared,
    name: &str,
    from: u64,
    limit: usize,
    wait: Duration,
) -> Result<Page, StoreError> {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        // Registered before the read, so that no append in between is missed.
        let mut appended = std::pin::pin!(shared.appended.notified());
        appended.as_mut().enable();
        let page = shared.store.lock().read(name, from, limit, Instant::now())?;
        if !page.records.is_empty() || tokio::time::Instant::now() >= deadline {
            return Ok(page);
        }
        let _ = tokio::time::timeout_at(deadline, appended).await;
    }
}

fn parse_u64(call: &Call, name: &str, default: u64) -> Result<u64, std::num::ParseIntError> {
    call.query_value(name).map_or(Ok(default), str::parse)
}

/// The service is in an outage in which it answers 503.
struct Unavailable;

impl Shared {
    pub(crate) fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
        self.faults_changed.notify_waiters();
    }

    /// Waits until a silent outage ends; returns an error while the service is
    /// unavailable.
    async fn check_outage(&self) -> Result<(), Unavailable> {
        loop {
            let mut changed = std::pin::pin!(self.faults_changed.notified());
            changed.as_mut().enable();
            let outage = self.faults.lock().outage;
            match outage {
                Outage::None => return Ok(()),
                Outage::Unavailable => return Err(Unavailable),
                Outage::Silent => changed.await,
            }
        }
    }

    async fn delay_answer(&self) {
        let slow_ms = self.faults.lock().slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    /// Returns whether the answer to this append is to be lost, and counts it
    /// against the number of answers to lose.
    fn consume_lost_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = faults.lose_append_answers > 0;
        faults.lose_append_answers = faults.lose_append_answers.saturating_sub(1);
        is_lost
    }
}
