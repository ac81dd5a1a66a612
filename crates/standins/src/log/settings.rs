//! Settings of the log service.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::Faults;

/// Appends per second that the platform's log service accepts.
const APPENDS_PER_SECOND: u32 = 500;

/// Maximum record size in bytes.
const MAX_RECORD_BYTES: usize = 4 << 20;

/// Address, retention and limits of the log service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Address to listen on; with port 0 the system chooses a free port.
    pub listen: SocketAddr,
    /// Appends accepted per second over all streams; more are answered with 429.
    pub appends_per_second: u32,
    /// Time for which a record is retained, in milliseconds; unlimited if absent.
    pub retain_ms: Option<u64>,
    /// Number of records retained per stream; unlimited if absent.
    pub retain_records: Option<usize>,
    /// Maximum record size in bytes; a larger record is answered with 413.
    pub max_record_bytes: usize,
    /// Faults in force at the start.
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
