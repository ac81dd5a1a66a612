//! Quotas of client accounts: the state of a node as quota owner and as entry node.
//!
//! [`ask`] admits requests at the entry node. `docs/design/0023-quotas.md` gives the reasons.

pub(crate) mod ask;
mod view;

use std::{collections::HashMap, sync::Arc, time::Duration};

use ntex::time::sleep;
use parking_lot::Mutex;
use savorykeel_policy::{
    accounts::Quota,
    distribution::message::{Topic, decode, encode},
    ids::AccountName,
    quota::{
        lease::{Admission, Lease},
        message::{Ask, Asks, Grant, Grants, MAX_ASKS},
        owner::QuotaOwner,
    },
    time::Tick,
};
use tokio_util::sync::CancellationToken;

use crate::{control::state::ControlState, state::NodeState};

use view::View;

/// Time between two observations of the clock and of the members.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(100);

/// Time after which an owner without a configuration is asked again.
const RETRY_WITHOUT_TABLE: Duration = Duration::from_millis(50);

/// State of the quotas at one node. Locks are taken in the order of the fields.
pub(crate) struct QuotaState {
    leases: Mutex<HashMap<AccountName, Lease>>,
    owner: Mutex<QuotaOwner>,
    view: Mutex<View>,
}

impl QuotaState {
    /// Creates the state of a starting node.
    pub(crate) fn new(control: &ControlState) -> Self {
        let now = control.now();
        Self {
            leases: Mutex::default(),
            owner: Mutex::new(QuotaOwner::new(now)),
            view: Mutex::new(View::new(control.identity.instance.clone(), now)),
        }
    }

    /// Decides about a request without sending a message.
    fn admit(&self, account: &AccountName, quota: Quota, now: Tick) -> Admission {
        let mut leases = self.leases.lock();
        let lease = leases.entry(account.clone()).or_insert_with(|| Lease::new(now));
        lease.forget_failures_of_others(|| self.view.lock().owner_of(account));
        lease.admit(now, || self.view.lock().static_allowance(account, quota))
    }

    /// Answers requests for tokens as the quota owner.
    fn grant(&self, control: &ControlState, asks: &[Ask], now: Tick) -> Vec<Grant> {
        let Some(table) = control.table() else {
            // Without a configuration, the node doesn't know which accounts have a quota.
            return asks.iter().take(MAX_ASKS).map(|_| Grant::later(RETRY_WITHOUT_TABLE)).collect();
        };
        let accounts = table.configuration.accounts.as_ref();
        let mut owner = self.owner.lock();
        let mut view = self.view.lock();
        view.refresh(control, now);
        let grant = |ask: &Ask| {
            let quota = accounts.and_then(|accounts| accounts.by_name(&ask.account)?.quota);
            owner.grant(ask, &view.ownership(&ask.account, quota), now)
        };
        asks.iter().take(MAX_ASKS).map(grant).collect()
    }

    /// Observes the clock and the members, and forgets accounts that have no quota any more.
    fn observe(&self, control: &ControlState, now: Tick) {
        let table = control.table();
        let accounts = table.as_ref().and_then(|table| table.configuration.accounts.as_ref());
        let has_quota = |account: &AccountName| {
            accounts.and_then(|accounts| accounts.by_name(account)?.quota).is_some()
        };
        self.leases.lock().retain(|account, _| has_quota(account));
        let mut owner = self.owner.lock();
        owner.observe(now);
        owner.retain(has_quota);
        if accounts.is_some() {
            self.view.lock().refresh(control, now);
        }
    }
}

/// Registers the handler for requests for tokens and starts to observe the clock.
pub(crate) fn start(state: &Arc<NodeState>, cancel: CancellationToken) {
    // A strong reference would be a cycle, because the node's state owns the control state.
    let weak_state = Arc::downgrade(state);
    let handler = move |body: &[u8]| {
        let Some(state) = weak_state.upgrade() else { return Vec::new() };
        let Ok(Asks(asks)) = decode(body) else { return Vec::new() };
        encode(&Grants(state.quota.grant(&state.control, &asks, state.now())))
    };
    state.control.set_topic_handler(Topic::Quota, Arc::new(handler));
    let state = state.clone();
    ntex::rt::spawn(async move {
        while !cancel.is_cancelled() {
            state.quota.observe(&state.control, state.now());
            sleep(OBSERVATION_PERIOD).await;
        }
    })
    .detach();
}
