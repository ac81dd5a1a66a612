//! State of calls that the worker threads of one node share.
//!
//! No lock of this module is held while another one is acquired.

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
        link_room::LinkProbes,
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

use super::{
    crashes::{CrashNotices, NewestCrash},
    group::ViewCache,
    ledger::LedgerState,
    outgoing::OutgoingAnswers,
    slots::Slots,
    warm_up::WarmUpState,
};

/// Number of retained fences for each retained answer.
const FENCES_PER_ANSWER: usize = 2;

/// Memory for large answers that are kept beside a link of stated capacity.
///
/// They are kept only until a lost link has been replaced, and an instance with a link of
/// 10 Mbit/s, which sends this in seven seconds, has 160 MB in all.
const KEPT_LARGE_BYTES: usize = 8 << 20;

/// State of the calls of one node.
pub(crate) struct CallState {
    /// Random number that identifies this incarnation of the node.
    pub(crate) incarnation: u64,
    /// Mechanisms that a test has disabled.
    pub(crate) testing: Testing,
    /// Status of requests that this node admitted or fenced, with their replies.
    pub(crate) settle: Mutex<SettleStore<Arc<PeerReply>>>,
    /// Cancellation tokens of the requests that are queued or running on this node.
    pub(crate) cancel_tokens: Mutex<HashMap<RequestId, CancellationToken>>,
    /// Slots of the local backend server.
    pub(crate) slots: Slots,
    /// Warm-up of the local backend server.
    pub(crate) warm_up: WarmUpState,
    /// Load balancer that chooses among backend servers.
    pub(crate) balancer: Mutex<Balancer>,
    /// Number of choices made in round-robin order.
    pub(crate) round_robin_turns: AtomicUsize,
    /// Requests sent although reports say that links have no room for their answers.
    pub(crate) link_probes: Mutex<LinkProbes>,
    /// Retry budgets by service.
    pub(crate) retry_budgets: Mutex<RetryBudgets>,
    /// Requests that are suspected of crashing backend servers, or quarantined for it.
    pub(crate) quarantine: Mutex<Quarantine>,
    /// Permit that lets only one suspect run at a time.
    pub(crate) suspect_permits: Semaphore,
    /// Number of crashes of the backend server in this incarnation of the node.
    pub(crate) crash_count: AtomicU64,
    /// The newest crash of the backend server.
    pub(crate) newest_crash: NewestCrash,
    /// Notices about crashes for the other nodes of the service.
    pub(crate) crash_notices: CrashNotices,
    /// ViewCache of the groups of services.
    pub(crate) views: ViewCache,
    /// Large answers that are being sent over the link.
    pub(crate) outgoing: OutgoingAnswers,
    /// Claims on idempotency keys.
    pub(crate) ledger: LedgerState,
    /// Whether a worker thread already runs the loop that synchronises the ledger with the
    /// group.
    pub(crate) has_ledger_loop: AtomicBool,
}

impl CallState {
    /// Creates the state of a starting node.
    pub(crate) fn new(settings: &Settings) -> Self {
        let limits = SettleLimits {
            entries: settings.limits.kept_answers,
            fences: settings.limits.kept_answers * FENCES_PER_ANSWER,
            bytes: settings.limits.kept_bytes,
            large_bytes: match settings.limits.link {
                Some(_) => settings.limits.kept_bytes.min(KEPT_LARGE_BYTES),
                None => settings.limits.kept_bytes,
            },
            retention: settings.limits.answer_retention,
        };
        let incarnation = rand::random();
        Self {
            incarnation,
            testing: settings.testing,
            settle: Mutex::new(SettleStore::new(incarnation, limits)),
            cancel_tokens: Mutex::default(),
            warm_up: WarmUpState::default(),
            slots: Slots::new(settings.limits.learn_concurrency),
            balancer: Mutex::default(),
            round_robin_turns: AtomicUsize::new(0),
            link_probes: Mutex::default(),
            retry_budgets: Mutex::default(),
            quarantine: Mutex::default(),
            suspect_permits: Semaphore::new(1),
            crash_count: AtomicU64::new(0),
            newest_crash: NewestCrash::default(),
            crash_notices: CrashNotices::default(),
            views: ViewCache::default(),
            outgoing: OutgoingAnswers::new(settings.limits.link),
            ledger: LedgerState::new(settings.limits.key_retention, settings.limits.kept_bytes),
            has_ledger_loop: AtomicBool::new(false),
        }
    }

    /// Returns this node's stamp at `now`.
    pub(crate) fn stamp(&self, now: Tick) -> NodeStamp {
        NodeStamp { incarnation: self.incarnation, tick: now.0 }
    }
}

/// Returns the size of a reply in bytes, as counted against the memory limit for retained
/// answers.
pub(crate) fn reply_bytes(reply: &PeerReply) -> usize {
    match reply {
        PeerReply::Answered(answer) => {
            let headers = answer.headers.iter().map(|h| h.name.len() + h.value.len());
            answer.body.len() + headers.sum::<usize>()
        }
        PeerReply::Failed(_) => 0,
    }
}

/// Converts a duration to whole milliseconds for the runtime's timers, at least 1 ms.
pub(crate) fn to_millis(duration: Duration) -> ntex::time::Millis {
    ntex::time::Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1))
}
