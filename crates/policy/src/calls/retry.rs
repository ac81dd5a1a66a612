//! Retry budgets of one node.
//!
//! Retries are limited to a share of the calls, so that they can't multiply an overload.
//! A node has budgets for each service, filled by its own calls to that service; the sum
//! over all nodes is then the same share of all calls, without any coordination between
//! nodes. The tokens that a node can accumulate, or gets without calls, are few, because
//! hundreds of nodes may spend them within the same seconds.
//!
//! Requests that certainly did not run have a budget of their own. Repeating one costs a
//! message, while repeating a request that may have run costs a whole run, with all the
//! calls that the run makes: those arrive at other services, whose budgets don't count
//! them. When the calls of many runs are refused, their failures must not use up the
//! budget with which the calls themselves could be retried. See
//! `docs/design/0006-load.md`.

use std::collections::HashMap;

use crate::{ids::ServiceName, time::Tick};

/// What is known about the attempt that is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetriedAttempt {
    /// It did not run.
    NotRun,
    /// It ran, or may have run.
    MayHaveRun,
}

/// Share, per call, of the retries of attempts that may have run, as a fraction of that of
/// attempts that did not run.
pub const MAY_HAVE_RUN_FRACTION: f64 = 0.3;

/// Limits of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Maximum number of accumulated retries.
    pub max_tokens: f64,
    /// Retries per second that are allowed regardless of the number of calls.
    pub per_second: f64,
}

/// Limits of the retries of attempts that did not run.
pub const NOT_RUN_LIMITS: BudgetLimits = BudgetLimits { max_tokens: 1.5, per_second: 0.05 };

/// Limits of the retries of attempts that may have run.
pub const MAY_HAVE_RUN_LIMITS: BudgetLimits = BudgetLimits { max_tokens: 1.0, per_second: 0.02 };

/// A token bucket that is filled by calls and by time; each retry takes one token.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    share: f64,
    tokens: f64,
    refilled_at: Tick,
}

impl RetryBudget {
    /// Creates a full budget of `share` retries per call.
    pub fn new(limits: BudgetLimits, share: f64, now: Tick) -> Self {
        Self { limits, share, tokens: limits.max_tokens, refilled_at: now }
    }

    /// Changes the share; a new configuration may set another one.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a call that isn't a retry.
    pub fn count_call(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.limits.max_tokens);
    }

    /// Takes one token if there is one. Returns whether the retry is allowed.
    pub fn try_spend(&mut self, now: Tick) -> bool {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refilled = self.tokens + seconds * self.limits.per_second;
        self.tokens = refilled.min(self.limits.max_tokens);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Budgets of one service.
#[derive(Debug)]
struct ServiceBudgets {
    not_run: RetryBudget,
    may_have_run: RetryBudget,
}

impl ServiceBudgets {
    fn new(share: f64, now: Tick) -> Self {
        Self {
            not_run: RetryBudget::new(NOT_RUN_LIMITS, share, now),
            may_have_run: RetryBudget::new(MAY_HAVE_RUN_LIMITS, share * MAY_HAVE_RUN_FRACTION, now),
        }
    }

    fn count_call(&mut self, share: f64) {
        self.not_run.set_share(share);
        self.not_run.count_call();
        self.may_have_run.set_share(share * MAY_HAVE_RUN_FRACTION);
        self.may_have_run.count_call();
    }
}

/// Retry budgets of one node, by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    by_service: HashMap<ServiceName, ServiceBudgets>,
}

impl RetryBudgets {
    /// Counts a call to a service that isn't a retry; `share` is the number of retries of
    /// attempts that did not run that it allows.
    pub fn count_call(&mut self, service: &ServiceName, share: f64, now: Tick) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), ServiceBudgets::new(share, now));
        }
        if let Some(budgets) = self.by_service.get_mut(service) {
            budgets.count_call(share);
        }
    }

    /// Takes one token from a service's budget if there is one. Returns whether the retry
    /// is allowed.
    pub fn try_spend(&mut self, service: &ServiceName, attempt: RetriedAttempt, now: Tick) -> bool {
        let Some(budgets) = self.by_service.get_mut(service) else { return false };
        match attempt {
            RetriedAttempt::NotRun => budgets.not_run.try_spend(now),
            RetriedAttempt::MayHaveRun => budgets.may_have_run.try_spend(now),
        }
    }
}
