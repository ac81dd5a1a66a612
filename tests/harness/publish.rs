//! Publishes directly to the log service, without a node.

use std::sync::atomic::{AtomicU64, Ordering};

use savorykeel_policy::config::raw::RawConfiguration;
use savorykeel_ports::log::CONFIGURATION_STREAM;
use savorykeel_standins::log;
use serde::Serialize;

/// Format number of publish records.
const PUBLISH_FORMAT: u32 = 1;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A publish record of the configuration stream.
#[derive(Debug, Clone, Serialize)]
pub struct PublishRecord {
    /// Format number.
    pub format: u32,
    /// Unique id of the publish.
    pub id: String,
    /// Version that the configuration was derived from.
    pub base: u64,
    /// The complete configuration.
    pub configuration: RawConfiguration,
}

impl PublishRecord {
    /// Creates a record with an id that is unique in this process.
    pub fn new(base: u64, configuration: &RawConfiguration) -> Self {
        let id = format!("test-{:08}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        Self { format: PUBLISH_FORMAT, id, base, configuration: configuration.clone() }
    }
}

/// Appends a configuration to the log and returns the publish id.
pub fn publish(log: &log::Handle, base: u64, configuration: &RawConfiguration) -> String {
    let record = PublishRecord::new(base, configuration);
    let body = serde_json::to_vec(&record).expect("a record is JSON");
    log.append(CONFIGURATION_STREAM, body).expect("the log accepts the append");
    record.id
}
