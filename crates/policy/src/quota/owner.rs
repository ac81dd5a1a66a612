//! The quota owner: grants tokens of the accounts whose slots it owns.

use std::{collections::HashMap, time::Duration};

use crate::{accounts::Quota, ids::AccountName, time::Tick};

use super::{
    message::{Ask, Grant},
    meter::{Allowance, Meter},
    tenure::Tenure,
};

/// Requests for tokens of an account that is above its quota that the owner wants to answer in
/// a second. A node at a tenth of a core answers a few thousand messages a second.
const DENIED_ASKS_PER_SECOND: u32 = 200;

/// Shortest and longest time for which an entry node doesn't ask again.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Time after a denial in which tokens in advance may take all that is left: the account is
/// above its quota, and fewer messages then count for more than tokens that lie unused.
const ABOVE_QUOTA: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Metered {
    /// When the tenure began in which the meter was filled.
    grants_from: Tick,
    meter: Meter,
    denied_at: Option<Tick>,
    /// Tokens granted before `grants_from`.
    granted_early: u32,
}

impl Metered {
    /// Grants some of the tokens that a new owner may grant during its silence.
    fn grant_early(&mut self, needed: u32, allowance: Allowance, silence: Duration) -> Grant {
        let left = allowance.initial_tokens().saturating_sub(self.granted_early);
        let tokens = needed.min(left);
        self.granted_early += tokens;
        match tokens == needed {
            true => granted(tokens),
            false => denied(tokens, silence, silence),
        }
    }
}

/// State of the quotas that a node owns.
#[derive(Debug)]
pub struct QuotaOwner {
    tenure: Tenure,
    meters: HashMap<AccountName, Metered>,
}

/// What the owner knows about an account when it is asked for tokens.
#[derive(Debug, Clone, Copy)]
pub struct Ownership {
    /// Quota of the account; `None` if it has none in the configuration in force.
    pub quota: Option<Quota>,
    /// What the node may grant of the quota.
    pub allowance: Allowance,
    /// When the node became the owner; `None` if it isn't.
    pub since: Option<Tick>,
    /// Number of nodes that may ask.
    pub nodes: u32,
}

impl QuotaOwner {
    /// Creates the state of a node that starts at `now`.
    pub fn new(now: Tick) -> Self {
        Self { tenure: Tenure::new(now), meters: HashMap::new() }
    }

    /// Observes the clock, so that a pause of the node is noticed.
    pub fn observe(&mut self, now: Tick) {
        self.tenure.observe(now);
    }

    /// Forgets accounts for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.meters.retain(|account, _| keep(account));
    }

    /// Answers a request for tokens.
    pub fn grant(&mut self, ask: &Ask, ownership: &Ownership, now: Tick) -> Grant {
        self.tenure.observe(now);
        if ownership.quota.is_none() {
            // A newer configuration of the asking node limits the account.
            return granted(ask.needed);
        }
        let Some(since) = ownership.since else { return denied(0, PAUSES.0, PAUSES.0) };
        let grants_from = self.tenure.grants_from(since);
        let fresh = || Metered {
            grants_from,
            meter: Meter::empty_at(grants_from),
            denied_at: None,
            granted_early: 0,
        };
        let metered = self.meters.entry(ask.account.clone()).or_insert_with(fresh);
        if metered.grants_from != grants_from {
            *metered = fresh();
        }
        if now < grants_from {
            return metered.grant_early(ask.needed, ownership.allowance, grants_from.since(now));
        }
        let is_above = metered.denied_at.is_some_and(|at| now.since(at) < ABOVE_QUOTA);
        let allowance = ownership.allowance;
        let meter = &mut metered.meter;
        let tokens = meter.take(allowance, ask.needed, ask.in_advance, is_above, now);
        if tokens >= ask.needed {
            return granted(tokens);
        }
        metered.denied_at = Some(now);
        let room_in = metered.meter.time_until_token(allowance, now);
        let spread = Duration::from_secs(1) * ownership.nodes / DENIED_ASKS_PER_SECOND;
        denied(tokens, spread.clamp(PAUSES.0, PAUSES.1), room_in)
    }
}

fn granted(tokens: u32) -> Grant {
    Grant { tokens, pause: Duration::ZERO, room_in: Duration::ZERO }
}

fn denied(tokens: u32, pause: Duration, room_in: Duration) -> Grant {
    Grant { tokens, pause, room_in }
}
