//! Routes of the configuration.

use std::time::Duration;

use savorykeel_policy::config::raw::RawRoute;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_BODY_LIMIT_BYTES: u64 = 1 << 20;

/// Builder of a route, which sends matching requests to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub(crate) raw: RawRoute,
}

impl Route {
    /// Returns a route whose requests may safely run more than once.
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

    /// Restricts the route to requests for this host name, without a port.
    pub fn host(mut self, host: impl Into<String>) -> Self {
        self.raw.matches.host = Some(host.into());
        self
    }

    /// Restricts the route to requests of this method; each further call allows another
    /// method.
    pub fn method(mut self, method: impl Into<String>) -> Self {
        self.raw.matches.methods.push(method.into());
        self
    }

    /// Gives the route's requests precedence over others in queues.
    pub fn urgent(mut self) -> Self {
        self.raw.urgent = true;
        self
    }

    /// Lets requests without a key of an account use the route.
    pub fn public(mut self) -> Self {
        self.raw.public = true;
        self
    }

    /// States that answers are usually above 16 KiB, for instance downloads.
    pub fn large_answers(mut self) -> Self {
        self.raw.large_answers = true;
        self
    }

    /// Sets the longest time that a request may take; the default is 5 s.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.raw.timeout_ms = timeout.as_millis() as u64;
        self
    }

    /// Sets the largest request body in bytes; the default is 1 MiB.
    pub fn body_limit(mut self, bytes: u64) -> Self {
        self.raw.body_limit_bytes = bytes;
        self
    }
}
