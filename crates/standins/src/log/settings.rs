//! Settings of the log service.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::Faults;

/// Appends that the platform's service takes in a second.
const APPENDS_PER_SECOND: u32 = 500;

/// Largest record in bytes.
const MAX_RECORD_BYTES: usize = 4 << 20;

/// What the log service listens on, keeps and takes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Appends taken in a second over all streams; more get 429.
    pub appends_per_second: u32,
    /// Milliseconds for which a record is kept; for good when absent.
    pub retain_ms: Option<u64>,
    /// Records kept in each stream; all when absent.
    pub retain_records: Option<usize>,
    /// Largest record in bytes; a larger one gets 413.
    pub max_record_bytes: usize,
    /// Faults to begin with.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            appends_per_second: APPENDS_PER_SECOND,
            retain_ms: None,
            retain_records: None,
            max_record_bytes: MAX_RECORD_BYTES,
            faults: Faults::default(),
        }
    }
}
