//! Services of the configuration.

use std::time::Duration;

use savorykeel_policy::config::raw::RawService;

/// Builder of a service, with its target version and its objectives.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    pub(crate) name: String,
    pub(crate) raw: RawService,
}

impl Service {
    /// Returns a service whose traffic should go to `version`.
    pub fn new(name: impl Into<String>, version: impl Into<String>) -> Self {
        Self { name: name.into(), raw: RawService::with_version(version) }
    }

    /// Sets the time, in RFC 3339 format, by which all traffic should go to the version.
    pub fn by(mut self, time: impl Into<String>) -> Self {
        self.raw.by = Some(time.into());
        self
    }

    /// Sets the time by which all traffic should go to the version, relative to now.
    ///
    /// Each run of the program then prints a different time and thereby requests another
    /// move. Use [`Service::by`] where the output should stay the same.
    pub fn within(self, span: Duration) -> Self {
        let time = jiff::Timestamp::now() + span;
        self.by(time.to_string())
    }

    /// Sets the share of requests, from 0 to 1, that must be answered without a failure.
    pub fn success(mut self, share: f64) -> Self {
        self.raw.objective.success = share;
        self
    }

    /// Sets the share of requests, from 0 to 1, that must be answered within `latency`.
    pub fn fast(mut self, share: f64, latency: Duration) -> Self {
        self.raw.objective.fast = share;
        self.raw.objective.latency_ms = latency.as_millis() as u64;
        self
    }
}
