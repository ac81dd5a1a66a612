//! A route of the configuration.

use std::time::Duration;

use savorykeel_policy::config::raw::RawRoute;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_BODY_LIMIT_BYTES: u64 = 1 << 20;

/// A route, while it is being built.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub(crate) raw: RawRoute,
}

impl Route {
    /// Returns a route whose requests may be run twice without harm.
    pub fn idempotent(
        name: impl Into<String>,
        service: impl Into<String>,
        path: impl Into<String>,
    ) -> Self {
        Self::new(name.into(), service.into(), path.into(), true)
    }

    /// Returns a route whose requests must run at most once.
    pub fn non_idempotent(
        name: impl Into<String>,
        service: impl Into<String>,
        path: impl Into<String>,
    ) -> Self {
        Self::new(name.into(), service.into(), path.into(), false)
    }

    fn new(name: String, service: String, path: String, idempotent: bool) -> Self {
        let raw = RawRoute {
            timeout_ms: DEFAULT_TIMEOUT.as_millis() as u64,
            body_limit_bytes: DEFAULT_BODY_LIMIT_BYTES,
            ..RawRoute::to_service(service, name, path, idempotent)
        };
        Self { raw }
    }

    /// Takes requests for this host name only.
    pub fn host(mut self, host: impl Into<String>) -> Self {
        self.raw.matches.host = Some(host.into());
        self
    }

    /// Takes requests of this method; call it again to add another one.
    pub fn method(mut self, method: impl Into<String>) -> Self {
        self.raw.matches.methods.push(method.into());
        self
    }

    /// Puts the route's requests before others when a queue forms.
    pub fn urgent(mut self) -> Self {
        self.raw.urgent = true;
        self
    }

    /// Sets the longest time that a request may take.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.raw.timeout_ms = timeout.as_millis() as u64;
        self
    }

    /// Sets the largest request body in bytes.
    pub fn body_limit(mut self, bytes: u64) -> Self {
        self.raw.body_limit_bytes = bytes;
        self
    }
}
