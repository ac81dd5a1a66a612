//! Publishing straight into the log service.

use std::sync::atomic::{AtomicU64, Ordering};

use savorykeel_policy::config::raw::RawConfiguration;
use savorykeel_ports::log::CONFIGURATION_STREAM;
use savorykeel_standins::log;
use serde::Serialize;

/// Number of the publish record's format.
const PUBLISH_FORMAT: u32 = 1;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A record of the configuration stream.
#[derive(Debug, Clone, Serialize)]
pub struct PublishRecord {
    /// Number of the format.
    pub format: u32,
    /// Id of the publish, its own.
    pub id: String,
    /// Version that the configuration was derived from.
    pub base: u64,
    /// The whole configuration.
    pub configuration: RawConfiguration,
}

impl PublishRecord {
    /// A record with an id that no other record of this process has.
    pub fn new(base: u64, configuration: &RawConfiguration) -> Self {
        let id = format!("test-{:08}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        Self { format: PUBLISH_FORMAT, id, base, configuration: configuration.clone() }
    }
}

/// Appends a configuration to the log and returns the publish id.
pub fn publish(log: &log::Handle, base: u64, configuration: &RawConfiguration) -> String {
    let record = PublishRecord::new(base, configuration);
    let body = serde_json::to_vec(&record).expect("a record is JSON");
    log.append(CONFIGURATION_STREAM, body).expect("the log takes the append");
    record.id
}
