//! The log service port: named append-only streams with offsets.

use std::time::Duration;

/// Stream in which operators publish configuration.
pub const CONFIGURATION_STREAM: &str = "configuration";

/// Stream in which nodes make themselves known to nodes that start.
pub const PRESENCE_STREAM: &str = "presence";

/// Stream in which checkpoints of the fold are kept.
pub const CHECKPOINT_STREAM: &str = "checkpoints";

/// Stream in which ended moves are recorded.
pub const MOVE_STREAM: &str = "moves";

/// Offset past every record; reading there tells where a stream ends.
const BEYOND_END: Offset = Offset(u64::MAX >> 1);

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
    /// What was appended.
    pub body: Vec<u8>,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Records in order, without gaps.
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record that is still kept.
    pub earliest: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
}

/// Why the log service gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The service can't be reached or answered with a failure. An append may
    /// have taken effect all the same.
    #[error("log service unavailable: {0}")]
    Unavailable(String),
    /// The service takes no more appends for now.
    #[error("log service refused the append: too many a second")]
    TooManyAppends,
    /// The wanted records are no longer kept.
    #[error("records before offset {} are no longer kept", .earliest.0)]
    Expired {
        /// Offset of the oldest record that is still kept.
        earliest: Offset,
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

    /// Reads records from an offset on, waiting up to `wait` while there are none.
    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<LogPage, LogError>;

    /// Tells whether [`LogService::store`] keeps the newest record of each key for
    /// good; otherwise records have to be appended anew before they expire.
    fn retains_newest(&self) -> bool {
        false
    }

    /// Keeps a record under a key; an empty one drops the key where that is known.
    async fn store(&self, stream: &str, _key: &str, body: Vec<u8>) -> Result<(), LogError> {
        self.append(stream, body).await.map(|_| ())
    }

    /// Returns the newest record of each key, or the last `tail` records of a
    /// service that knows no keys.
    async fn read_stored(&self, stream: &str, tail: u64) -> Result<Vec<Vec<u8>>, LogError> {
        let end = self.read(stream, BEYOND_END, Duration::ZERO).await?;
        let from = end.next.0.saturating_sub(tail).max(end.earliest.0);
        let page = self.read(stream, Offset(from), Duration::ZERO).await?;
        Ok(page.records.into_iter().map(|record| record.body).collect())
    }
}
