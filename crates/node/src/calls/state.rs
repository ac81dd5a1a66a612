//! What the worker threads of one node share about calls.
//!
//! No lock of this module is held while another one is taken.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize},
    },
    time::Duration,
};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::{
        balance::Balancer,
        quarantine::Quarantine,
        retry::RetryBudgets,
        settle::{NodeStamp, SettleLimits, SettleStore},
    },
    ids::RequestId,
    time::Tick,
};
use savorykeel_ports::peer::PeerReply;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::settings::{Settings, Testing};

use super::{crashes::NewestCrash, group::Views, ledger::LedgerState, slots::Slots};

/// Fences kept for each kept answer.
const FENCES_PER_ANSWER: usize = 2;

/// State of the calls of one node.
pub(crate) struct CallState {
    /// Random number of this life of the node.
    pub(crate) life: u64,
    /// Mechanisms that a test switched off.
    pub(crate) testing: Testing,
    /// What became of requests that ran here.
    pub(crate) settle: Mutex<SettleStore<Arc<PeerReply>>>,
    /// Tokens that cancel the requests that are queued or running here.
    pub(crate) cancels: Mutex<HashMap<RequestId, CancellationToken>>,
    /// Slots of the backend server.
    pub(crate) slots: Slots,
    /// Choice among backend servers.
    pub(crate) balancer: Mutex<Balancer>,
    /// Calls chosen for in turn.
    pub(crate) turns: AtomicUsize,
    /// Retries that are allowed.
    pub(crate) budgets: Mutex<RetryBudgets>,
    /// Requests that may crash backend servers.
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Lets one suspect run at a time.
    pub(crate) trial: Semaphore,
    /// Number of crashes of the backend server in this life of the node.
    pub(crate) crashes: AtomicU64,
    /// The newest of them.
    pub(crate) newest_crash: NewestCrash,
    /// Groups of services.
    pub(crate) views: Views,
    /// Claims of idempotency keys.
    pub(crate) ledger: LedgerState,
    /// Whether a worker thread keeps the ledger in step with the group.
    pub(crate) has_ledger_loop: AtomicBool,
}

impl CallState {
    /// Creates the state of a node that starts.
    pub(crate) fn new(settings: &Settings) -> Self {
        let limits = SettleLimits {
            entries: settings.limits.kept_answers,
            fences: settings.limits.kept_answers * FENCES_PER_ANSWER,
            bytes: settings.limits.kept_bytes,
            retention: settings.limits.answer_retention,
        };
        let life = rand::random();
        Self {
            life,
            testing: settings.testing,
            settle: Mutex::new(SettleStore::new(life, limits)),
            cancels: Mutex::default(),
            slots: Slots::new(),
            balancer: Mutex::default(),
            turns: AtomicUsize::new(0),
            budgets: Mutex::default(),
            quarantine: Mutex::default(),
            trial: Semaphore::new(1),
            crashes: AtomicU64::new(0),
            newest_crash: NewestCrash::default(),
            views: Views::default(),
            ledger: LedgerState::new(settings.limits.key_retention, settings.limits.kept_bytes),
            has_ledger_loop: AtomicBool::new(false),
        }
    }

    /// Returns this node's stamp.
    pub(crate) fn stamp(&self, now: Tick) -> NodeStamp {
        NodeStamp { incarnation: self.life, tick: now.0 }
    }
}

/// Returns the size of a reply as it counts towards the memory for answers.
pub(crate) fn reply_bytes(reply: &PeerReply) -> usize {
    match reply {
        PeerReply::Answered(answer) => {
            let headers = answer.headers.iter().map(|h| h.name.len() + h.value.len());
            answer.body.len() + headers.sum::<usize>()
        }
        PeerReply::Failed(_) => 0,
    }
}

/// Returns a span as whole milliseconds for the runtime's timers.
pub(crate) fn to_millis(span: Duration) -> ntex::time::Millis {
    ntex::time::Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX).max(1))
}
