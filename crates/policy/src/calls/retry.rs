//! Retry budgets of one node.
//!
//! Retries are limited to a share of the calls, so that they can't multiply an overload.
//! A node has one budget per service, filled by its own calls to that service; the sum
//! over all nodes is then the same share of all calls, without any coordination between
//! nodes. The tokens that a node can accumulate, or gets without calls, are few, because
//! all nodes together may spend them at once.

use std::collections::HashMap;

use crate::{ids::ServiceName, time::Tick};

/// Retries per second that are allowed regardless of the number of calls.
pub const MIN_RETRIES_PER_SECOND: f64 = 0.1;

/// Maximum number of accumulated retries for one service.
pub const MAX_TOKENS: f64 = 4.0;

/// Retries that a node may make before it has counted any call.
const INITIAL_TOKENS: f64 = 1.0;

/// A token bucket that is filled by calls and by time; each retry takes one token.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    refilled_at: Tick,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per call.
    pub fn new(share: f64, now: Tick) -> Self {
        Self { share, tokens: INITIAL_TOKENS, refilled_at: now }
    }

    /// Changes the share; a new configuration may set another one.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a call that isn't a retry.
    pub fn count_call(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one token if there is one. Returns whether the retry is allowed.
    pub fn try_spend(&mut self, now: Tick) -> bool {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + seconds * MIN_RETRIES_PER_SECOND).min(MAX_TOKENS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Retry budgets of one node, by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    by_service: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Counts a call to a service that isn't a retry and adds `share` tokens to its
    /// budget.
    pub fn count_call(&mut self, service: &ServiceName, share: f64, now: Tick) {
        if let Some(budget) = self.by_service.get_mut(service) {
            budget.set_share(share);
            budget.count_call();
            return;
        }
        let mut budget = RetryBudget::new(share, now);
        budget.count_call();
        self.by_service.insert(service.clone(), budget);
    }

    /// Takes one token from a service's budget if there is one. Returns whether the retry
    /// is allowed.
    pub fn try_spend(&mut self, service: &ServiceName, now: Tick) -> bool {
        self.by_service.get_mut(service).is_some_and(|budget| budget.try_spend(now))
    }
}
