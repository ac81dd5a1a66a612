//! The log service port over HTTP.
//!
//! `docs/design/0010-stand-ins.md` describes the protocol of the log service.

use std::{cell::Cell, rc::Rc, time::Duration};

use ntex::{
    client::{Client, ClientResponse, Connector},
    time::Millis,
};
use savorykeel_policy::{
    distribution::era::{AnswerEra, ClientEras, EraCount, StoreEra},
    evacuation::EvacuationRecord,
    ids::ZoneName,
    moves::status::MoveStatus,
};
use savorykeel_ports::{
    desired::{DesiredRead, DesiredState},
    log::{BEYOND_END, EVACUATION_STREAM, LogError, LogPage, LogRecord, LogService, Offset},
};
use serde::Deserialize;
use serde_with::{base64::Base64, serde_as};

/// Maximum time for an answer of the log service, in addition to the wait requested.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer in bytes.
const MAX_PAGE_BYTES: usize = 64 << 20;

/// Error of the operations that the log service doesn't support: configuration and statuses.
const UNSUPPORTED: &str = "the log service keeps no documents";

/// Maximum number of attempts to write an evacuation while others write too.
const MAX_EVACUATION_ATTEMPTS: usize = 5;

/// Header of the answers with the era of the log service.
const ERA_HEADER: &str = "log-era";

/// Maximum number of records in one answer.
const MAX_READ_RECORDS: usize = 256;

/// Client of the log service at one base URL.
#[derive(Clone)]
pub struct HttpLog {
    base: std::sync::Arc<str>,
    client: Client,
    eras: Rc<Cell<ClientEras>>,
}

/// Response to an append.
#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

/// Response to a read.
#[derive(Deserialize)]
struct ReadResponse {
    earliest: Offset,
    next: Offset,
    records: Vec<ReadRecord>,
}

/// One record in the response to a read.
#[serde_as]
#[derive(Deserialize)]
struct ReadRecord {
    offset: Offset,
    #[serde_as(as = "Base64")]
    body: Vec<u8>,
}

/// Response to an append at another offset than the end.
#[derive(Deserialize)]
struct EndsResponse {
    next: Offset,
}

/// Response to a read of records that have expired.
#[derive(Deserialize)]
struct ExpiredResponse {
    earliest: Offset,
}

impl HttpLog {
    /// Creates a client of the log service at `base`, for instance
    /// `http://127.0.0.1:7000`.
    pub async fn new(base: std::sync::Arc<str>) -> Result<Self, LogError> {
        let client = Client::builder()
            .connector::<Connector>(Connector::new())
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_PAGE_BYTES)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(unavailable)?;
        Ok(Self { base, client, eras: Rc::default() })
    }

    fn records_url(&self, stream: &str) -> String {
        format!("{}/v1/streams/{stream}/records", self.base)
    }

    /// Records the era that a response states, and returns the number of changes of era. A
    /// response to a call that began in an earlier era is an error.
    fn check_era(&self, response: &ClientResponse, begun: EraCount) -> Result<EraCount, LogError> {
        let header = response.headers().get(ERA_HEADER).and_then(|value| value.to_str().ok());
        let stated = header.and_then(|text| text.parse().ok()).map(StoreEra);
        let mut eras = self.eras.get();
        let era = eras.classify(begun, stated);
        self.eras.set(eras);
        match era {
            AnswerEra::Late => {
                Err(LogError::Unavailable("the answer is from an earlier era".into()))
            }
            AnswerEra::Current | AnswerEra::New => Ok(eras.count()),
        }
    }

    async fn send_append(&self, url: String, body: Vec<u8>) -> Result<Offset, LogError> {
        let begun = self.eras.get().count();
        let req = self.client.post(url).timeout(to_millis(ANSWER_TIMEOUT));
        let response = req.send_body(body).await.map_err(unavailable)?;
        self.check_era(&response, begun)?;
        match response.status().as_u16() {
            200 | 201 => Ok(parse_json::<AppendResponse>(&read_body(response).await?)?.offset),
            412 => {
                let ends: EndsResponse = parse_json(&read_body(response).await?)?;
                Err(LogError::EndsElsewhere { next: ends.next })
            }
            429 => Err(LogError::TooManyAppends),
            status => Err(LogError::Unavailable(format!("status {status}"))),
        }
    }

    async fn send_read(&self, url: String, timeout: Duration) -> Result<LogPage, LogError> {
        let begun = self.eras.get().count();
        let req = self.client.get(url).timeout(to_millis(timeout));
        let response = req.send().await.map_err(unavailable)?;
        if self.check_era(&response, begun)? != begun {
            return Err(LogError::Restored);
        }
        match response.status().as_u16() {
            200 => parse_json::<ReadResponse>(&read_body(response).await?)?.try_into(),
            410 => {
                let expired: ExpiredResponse = parse_json(&read_body(response).await?)?;
                Err(LogError::Expired { earliest: expired.earliest })
            }
            status => Err(LogError::Unavailable(format!("status {status}"))),
        }
    }
}

impl HttpLog {
    /// Appends a record with all evacuated zones, unless another one has been written since the
    /// newest was read.
    async fn try_store_evacuation(
        &self,
        zone: &ZoneName,
        is_requested: bool,
    ) -> Result<(), LogError> {
        let end = self.read(EVACUATION_STREAM, BEYOND_END, Duration::ZERO).await?;
        let mut record = EvacuationRecord::default();
        if end.earliest < end.next {
            let from = Offset(end.next.0 - 1);
            let page = self.read(EVACUATION_STREAM, from, Duration::ZERO).await?;
            if let Some(newest) = page.records.first() {
                record = EvacuationRecord::parse(&newest.body).map_err(LogError::Malformed)?;
            }
        }
        match is_requested {
            true => record.evacuated.insert(zone.clone()),
            false => record.evacuated.remove(zone),
        };
        self.append_at(EVACUATION_STREAM, end.next, record.to_bytes()).await
    }
}

impl LogService for HttpLog {
    async fn append(&self, stream: &str, body: Vec<u8>) -> Result<Offset, LogError> {
        let exchange = self.send_append(self.records_url(stream), body);
        with_timeout(ANSWER_TIMEOUT, exchange).await
    }

    async fn append_at(&self, stream: &str, at: Offset, body: Vec<u8>) -> Result<(), LogError> {
        let exchange = self.send_append(format!("{}?at={}", self.records_url(stream), at.0), body);
        with_timeout(ANSWER_TIMEOUT, exchange).await.map(|_| ())
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<LogPage, LogError> {
        let url = format!(
            "{}?from={}&wait_ms={}&limit={MAX_READ_RECORDS}",
            self.records_url(stream),
            from.0,
            wait.as_millis()
        );
        let timeout = wait + ANSWER_TIMEOUT;
        let page = with_timeout(timeout, self.send_read(url, timeout)).await?;
        // A stream that ends before the offset has lost records.
        if page.next < from && from != BEYOND_END {
            return Err(LogError::Restored);
        }
        Ok(page)
    }

    fn era(&self) -> Option<StoreEra> {
        self.eras.get().current()
    }
}

/// The log service stores records only; operators publish through it.
impl DesiredState for HttpLog {
    fn is_stored_by_platform(&self) -> bool {
        false
    }

    async fn read_desired(&self, _: Duration) -> Result<DesiredRead, LogError> {
        Err(LogError::Unavailable(UNSUPPORTED.into()))
    }

    async fn store_evacuation(&self, zone: &ZoneName, is_requested: bool) -> Result<(), LogError> {
        let mut last = LogError::Unavailable("other records were written meanwhile".into());
        for _ in 0..MAX_EVACUATION_ATTEMPTS {
            match self.try_store_evacuation(zone, is_requested).await {
                Err(e @ (LogError::EndsElsewhere { .. } | LogError::Restored)) => last = e,
                result => return result,
            }
        }
        Err(last)
    }

    async fn store_status(&self, _: &MoveStatus) -> Result<(), LogError> {
        Err(LogError::Unavailable(UNSUPPORTED.into()))
    }

    async fn statuses(&self) -> Result<Vec<MoveStatus>, LogError> {
        Err(LogError::Unavailable(UNSUPPORTED.into()))
    }
}

impl TryFrom<ReadResponse> for LogPage {
    type Error = LogError;

    fn try_from(page: ReadResponse) -> Result<Self, LogError> {
        let is_ordered = page.records.is_sorted_by(|a, b| a.offset < b.offset);
        if !is_ordered {
            return Err(LogError::Malformed("records out of order".into()));
        }
        let record = |r: ReadRecord| LogRecord { offset: r.offset, body: r.body };
        Ok(Self {
            records: page.records.into_iter().map(record).collect(),
            earliest: page.earliest,
            next: page.next,
        })
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    exchange: impl Future<Output = Result<T, LogError>>,
) -> Result<T, LogError> {
    match ntex::time::timeout(to_millis(timeout), exchange).await {
        Ok(result) => result,
        Err(()) => Err(LogError::Unavailable("no answer in time".into())),
    }
}

async fn read_body(response: ClientResponse) -> Result<Vec<u8>, LogError> {
    let body = response.body().limit(MAX_PAGE_BYTES).await.map_err(unavailable)?;
    Ok(body.to_vec())
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, LogError> {
    serde_json::from_slice(body).map_err(|e| LogError::Malformed(e.to_string()))
}

fn unavailable(error: impl std::fmt::Display) -> LogError {
    LogError::Unavailable(error.to_string())
}

fn to_millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1))
}
