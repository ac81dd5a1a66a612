//! A service of the configuration.

use std::time::Duration;

use savorykeel_policy::config::raw::RawService;

/// A service, while it is being built.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    pub(crate) name: String,
    pub(crate) raw: RawService,
}

impl Service {
    /// Returns a service whose traffic `version` should carry.
    pub fn new(name: impl Into<String>, version: impl Into<String>) -> Self {
        Self { name: name.into(), raw: RawService::with_version(version) }
    }

    /// Sets the time, as RFC 3339, by which all traffic should reach the version.
    pub fn by(mut self, time: impl Into<String>) -> Self {
        self.raw.by = Some(time.into());
        self
    }

    /// Sets the time by which all traffic should reach the version, as a span
    /// from now.
    ///
    /// Each run of the program then prints another time and asks for another
    /// move, so use [`Service::by`] where the output should stay the same.
    pub fn within(self, span: Duration) -> Self {
        let time = jiff::Timestamp::now() + span;
        self.by(time.to_string())
    }

    /// Sets the share of requests that must be answered without a failure, 0 to 1.
    pub fn success(mut self, share: f64) -> Self {
        self.raw.objective.success = share;
        self
    }

    /// Sets the share of requests, 0 to 1, that must be answered within `latency`.
    pub fn fast(mut self, share: f64, latency: Duration) -> Self {
        self.raw.objective.fast = share;
        self.raw.objective.latency_ms = latency.as_millis() as u64;
        self
    }
}
