//! The log service port: named append-only streams with offsets.

use std::time::Duration;

use savorykeel_policy::distribution::era::StoreEra;

/// Stream in which operators publish configuration.
pub const CONFIGURATION_STREAM: &str = "configuration";

/// Stream in which nodes announce their presence to nodes that start.
pub const PRESENCE_STREAM: &str = "presence";

/// Stream in which checkpoints of the fold are stored.
pub const CHECKPOINT_STREAM: &str = "checkpoints";

/// Stream in which ended moves are recorded.
pub const MOVE_STREAM: &str = "moves";

/// Stream in which the evacuated zones are stored.
pub const EVACUATION_STREAM: &str = "evacuations";

/// Offset beyond every record; a read from it returns the end of the stream.
pub const BEYOND_END: Offset = Offset(u64::MAX >> 1);

/// Position of a record in a stream.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Appended bytes.
    pub body: Vec<u8>,
}

/// Response to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Records in order, without gaps.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest retained record.
    pub earliest: Offset,
    /// Offset of the next append.
    pub next: Offset,
}

/// Reason why a request to the log service failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The service is unreachable or reported a failure. An append may have taken effect
    /// nevertheless.
    #[error("log service unavailable: {0}")]
    Unavailable(String),
    /// The service has reached its limit of appends per second.
    #[error("log service refused the append: too many a second")]
    TooManyAppends,
    /// The requested records have expired.
    #[error("records before offset {} are no longer kept", .earliest.0)]
    Expired {
        /// Offset of the oldest retained record.
        earliest: Offset,
    },
    /// The service came back from an older copy, so that the requested offset doesn't exist or
    /// means another record.
    #[error("the log service came back from an older copy")]
    Restored,
    /// The stream doesn't end at the offset at which the record was to be appended.
    #[error("the stream ends at offset {}", .next.0)]
    EndsElsewhere {
        /// Offset of the next append.
        next: Offset,
    },
    /// The answer can't be parsed.
    #[error("log service answered with something else than its protocol: {0}")]
    Malformed(String),
}

/// The platform's append-only log service.
#[allow(async_fn_in_trait)]
pub trait LogService {
    /// Appends a record and returns its offset.
    async fn append(&self, stream: &str, body: Vec<u8>) -> Result<Offset, LogError>;

    /// Appends a record only if its offset will be `at`.
    async fn append_at(&self, stream: &str, at: Offset, body: Vec<u8>) -> Result<(), LogError>;

    /// Reads records from offset `from` on, waiting up to `wait` if there are none.
    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<LogPage, LogError>;

    /// Returns the era that the service stated last, if it states one; see [`StoreEra`].
    fn era(&self) -> Option<StoreEra> {
        None
    }

    /// Returns whether the newest record of each key that [`LogService::store`] writes never
    /// expires; otherwise records must be appended again before they expire.
    fn retains_newest(&self) -> bool {
        false
    }

    /// Stores a record under a key; an empty body removes the key if the service supports keys.
    async fn store(&self, stream: &str, _key: &str, body: Vec<u8>) -> Result<(), LogError> {
        self.append(stream, body).await.map(|_| ())
    }

    /// Returns the newest record of each key, or the last `tail` records if the service does
    /// not support keys.
    async fn read_stored(&self, stream: &str, tail: u64) -> Result<Vec<Vec<u8>>, LogError> {
        let end = self.read(stream, BEYOND_END, Duration::ZERO).await?;
        let from = end.next.0.saturating_sub(tail).max(end.earliest.0);
        let page = self.read(stream, Offset(from), Duration::ZERO).await?;
        Ok(page.records.into_iter().map(|record| record.body).collect())
    }
}
