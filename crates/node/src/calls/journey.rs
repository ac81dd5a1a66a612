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

use crate::{http::IDEMPOTENCY_KEY_HEADER, moves::controller::VersionChoice};

use super::trail::Trail;

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Name for fair queueing.
    pub(crate) name: String,
    /// Whether it is the backend server beside the node, which runs a request of
    /// its own meanwhile.
    pub(crate) is_backend: bool,
}

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
    /// Who sent the request.
    pub(crate) caller: Caller,
    /// Number of calls above this one.
    pub(crate) depth: u32,
    /// Until when an answer counts as fast.
    pub(crate) wanted: Instant,
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

    /// Returns the rank of the request when a queue forms, 0 first.
    ///
    /// Calls of backend servers go before all others, because each holds a slot
    /// elsewhere until it is answered.
    pub(crate) fn priority(&self) -> u32 {
        match self.caller.is_backend {
            true => 0,
            false => self.route.priority + 1,
        }
    }

    /// Returns the time left within which an answer counts as fast.
    pub(crate) fn wanted_left(&self) -> Duration {
        self.wanted.saturating_duration_since(Instant::now())
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
