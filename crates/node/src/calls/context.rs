//! Context of one call at its entry node.
//!
//! It holds the request together with the decisions that stay the same for all attempts.

use std::{
    cell::RefCell,
    sync::Arc,
    time::{Duration, Instant},
};

use savorykeel_adapters::body_memory::BodyReservation;
use savorykeel_policy::{
    accounts::Account,
    calls::{ledger_view::LedgerKey, quarantine::Fingerprint},
    config::model::Route,
    ids::ServiceName,
    table::{Endpoint, Table},
};
use savorykeel_ports::peer::HttpRequest;

use crate::{http::IDEMPOTENCY_KEY_HEADER, moves::controller::VersionChoice};

use super::{answer_parts::AnswerRest, attempt_log::AttemptLog};

/// Sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Name for fair queueing: an address or a service.
    pub(crate) name: String,
    /// Whether the caller is the node's own backend server, which meanwhile occupies a slot
    /// with the request that caused this call.
    pub(crate) is_local_backend: bool,
}

/// A request with its route, limits and the table that is used from start to end.
pub(crate) struct CallContext {
    /// Table that all decisions about this call use.
    pub(crate) table: Arc<Table>,
    /// Route that matched the request.
    pub(crate) route: Arc<Route>,
    /// Service chosen from those of the route.
    pub(crate) service: ServiceName,
    /// The request.
    pub(crate) request: HttpRequest,
    /// Caller that sent the request.
    pub(crate) caller: Caller,
    /// Client account that sent the request.
    pub(crate) account: Option<Arc<Account>>,
    /// Number of nested calls above this one, which led to it.
    pub(crate) depth: u32,
    /// Moment until which an answer counts as fast.
    pub(crate) objective_at: Instant,
    /// Moment at which the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Backend server versions that may run the request; `None` if none may.
    pub(crate) versions: Option<VersionChoice>,
    /// Request id from the caller's header; empty if there is none.
    pub(crate) id: String,
    /// Attempts made so far, for the log.
    pub(crate) attempt_log: RefCell<AttemptLog>,
    /// Memory that the body of the request takes.
    pub(crate) _body_memory: BodyReservation,
    /// Rest of an answer of which only the first part has arrived.
    pub(crate) rest: RefCell<Option<AnswerRest>>,
    /// Backend server of the last attempt, for the circuit breaker and the burn report.
    pub(crate) last_tried: RefCell<Option<Arc<Endpoint>>>,
}

/// Identity of a request in the ledger.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeyedRequest {
    /// Ledger key, derived from the service, the route and the idempotency key.
    pub(crate) key: LedgerKey,
    /// Fingerprint of the request that uses the key.
    pub(crate) fingerprint: Fingerprint,
}

impl CallContext {
    /// Returns the time until the deadline, zero once it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the priority of the request in queues, where 0 is the highest.
    ///
    /// Calls by backend servers precede all others, because each of them occupies a slot
    /// elsewhere until it is answered. The priority of the account replaces the route's.
    pub(crate) fn priority(&self) -> u32 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        match self.caller.is_local_backend {
            true => 0,
            false => of_account.unwrap_or(self.route.priority).saturating_add(1),
        }
    }

    /// Returns the time within which an answer still counts as fast, zero once it has passed.
    pub(crate) fn objective_left(&self) -> Duration {
        self.objective_at.saturating_duration_since(Instant::now())
    }

    /// Returns the identity of the request in the ledger.
    ///
    /// Requests of idempotent routes, which may run twice, and requests without an
    /// idempotency key are not recorded in the ledger and have none.
    pub(crate) fn keyed(&self) -> Option<KeyedRequest> {
        if self.route.idempotent {
            return None;
        }
        let key =
            self.request.headers.iter().find(|header| header.name == IDEMPOTENCY_KEY_HEADER)?;
        let (service, req) = (&self.service, &self.request);
        let key = LedgerKey::of(service.as_str(), self.route.name.as_str(), &key.value);
        Some(KeyedRequest {
            key: match &self.account {
                Some(account) => key.for_account(account.name.as_str()),
                None => key,
            },
            fingerprint: Fingerprint::of(service, &req.method, &req.target, &req.body),
        })
    }
}
