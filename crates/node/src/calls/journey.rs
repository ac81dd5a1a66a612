//! One request on its way through its entry node.

use std::{
    cell::RefCell,
    sync::Arc,
    time::{Duration, Instant},
};

use savorykeel_policy::{
    calls::{ledger_view::LedgerKey, quarantine::Fingerprint},
    config::model::Route,
    ids::ServiceName,
    table::{Endpoint, Table},
};
use savorykeel_ports::peer::HttpRequest;

use crate::{http::IDEMPOTENCY_KEY_HEADER, moves::hub::VersionChoice};

use super::trail::Trail;

/// A request with the table that it uses from start to end.
pub(crate) struct Journey {
    /// Table that all decisions are made by.
    pub(crate) table: Arc<Table>,
    /// Route that took the request.
    pub(crate) route: Arc<Route>,
    /// Service that is to answer, one of the route's.
    pub(crate) service: ServiceName,
    /// The request.
    pub(crate) request: HttpRequest,
    /// Name of the caller for fair queueing.
    pub(crate) caller: String,
    /// Number of calls above this one.
    pub(crate) depth: u32,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Versions of the backend server that may take it; none when none may.
    pub(crate) versions: Option<VersionChoice>,
    /// Id that the caller gave the request; empty when it gave none.
    pub(crate) id: String,
    /// What the request met on its way.
    pub(crate) trail: RefCell<Trail>,
    /// Backend server that was tried last, for the burn report.
    pub(crate) last_tried: RefCell<Option<Arc<Endpoint>>>,
}

/// What the ledger knows a request by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Keyed {
    /// Key of the request.
    pub(crate) key: LedgerKey,
    /// Request that the key stands for.
    pub(crate) fingerprint: Fingerprint,
}

impl Journey {
    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns what the ledger knows the request by.
    ///
    /// Requests that may run twice, or that carry no key, aren't in the ledger.
    pub(crate) fn keyed(&self) -> Option<Keyed> {
        if self.route.idempotent {
            return None;
        }
        let key =
            self.request.headers.iter().find(|header| header.name == IDEMPOTENCY_KEY_HEADER)?;
        let (service, req) = (&self.service, &self.request);
        Some(Keyed {
            key: LedgerKey::of(service.as_str(), self.route.name.as_str(), &key.value),
            fingerprint: Fingerprint::of(service, &req.method, &req.target, &req.body),
        })
    }
}
