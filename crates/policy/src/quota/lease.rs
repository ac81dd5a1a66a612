//! The entry node's side of a quota: tokens that it holds, and what it does without an owner.

use std::time::Duration;

use crate::{ids::InstanceName, time::Tick};

use super::{
    LEASE_TIME, STATIC_AFTER,
    message::Grant,
    meter::{Allowance, Meter},
};

/// Length of the windows in which requests are counted.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Share of a window's requests for which tokens are asked in advance: those of 200 ms, so that
/// most of the tokens are used before they expire.
const ADVANCE_SHARE: f64 = 0.4;

/// Time for which an entry node doesn't ask an owner again that gave no answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Time after that pause in which the static share is used without asking the owner again.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);

/// What becomes of a request of an account with a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may go on.
    Admitted,
    /// The owner has to be asked for a token.
    Ask,
    /// It is refused.
    Refused {
        /// Time until there is room.
        room_in: Duration,
    },
}

/// Tokens of one account at one entry node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    tokens: u32,
    valid_until: Tick,
    paused_until: Tick,
    window_start: Tick,
    in_window: u32,
    in_last_window: u32,
    /// Owner that doesn't answer, and since when.
    failing: Option<(InstanceName, Tick)>,
    static_share: Option<Meter>,
}

impl Lease {
    /// Creates a lease without tokens.
    pub fn new(now: Tick) -> Self {
        Self {
            tokens: 0,
            valid_until: now,
            paused_until: now,
            window_start: now,
            in_window: 0,
            in_last_window: 0,
            failing: None,
            static_share: None,
        }
    }

    /// Decides about a request; `allowance` is what the node may grant without an owner.
    pub fn admit(&mut self, now: Tick, allowance: impl FnOnce() -> Allowance) -> Admission {
        self.count(now);
        if self.take_token(now) {
            return Admission::Admitted;
        }
        // Without a recent failure the owner may answer again.
        let is_recent = now < self.paused_until + FAILURE_MEMORY;
        let failing = self.failing.as_ref().filter(|_| is_recent);
        let static_from = failing.map(|(_, since)| *since + STATIC_AFTER);
        if let Some(from) = static_from.filter(|from| now >= *from) {
            let share = self.static_share.get_or_insert_with(|| Meter::empty_at(from));
            let allowance = allowance();
            if share.take(allowance, 1, 0, false, now) > 0 {
                return Admission::Admitted;
            }
            if now < self.paused_until {
                let room_in = share.time_until_token(allowance, now);
                return Admission::Refused { room_in };
            }
        }
        if now < self.paused_until {
            return Admission::Refused { room_in: self.paused_until.since(now) };
        }
        Admission::Ask
    }

    /// Uses a token if there is one.
    pub fn take_token(&mut self, now: Tick) -> bool {
        let has_token = self.tokens > 0 && now < self.valid_until;
        self.tokens -= u32::from(has_token);
        has_token
    }

    /// Returns the number of requests that are expected before tokens granted now expire.
    pub fn in_advance(&self) -> u32 {
        (f64::from(self.in_last_window) * ADVANCE_SHARE) as u32
    }

    /// Records the owner's answer to a request sent at `sent_at`.
    ///
    /// The tokens are valid from when they were asked for, so that an answer that comes late
    /// doesn't prolong them.
    pub fn record_grant(&mut self, grant: Grant, sent_at: Tick, now: Tick) {
        self.failing = None;
        self.static_share = None;
        self.paused_until = now + grant.pause;
        let valid_until = sent_at + LEASE_TIME;
        if now >= valid_until {
            return;
        }
        let is_live = self.tokens > 0 && now < self.valid_until;
        self.valid_until = if is_live { self.valid_until.min(valid_until) } else { valid_until };
        self.tokens = if is_live { self.tokens.saturating_add(grant.tokens) } else { grant.tokens };
    }

    /// Forgets failures if another node than the one that failed is the owner now.
    pub fn forget_failures_of_others(&mut self, owner: impl FnOnce() -> InstanceName) {
        if self.failing.as_ref().is_some_and(|(failing, _)| *failing != owner()) {
            self.failing = None;
            self.static_share = None;
        }
    }

    /// Records that the owner gave no answer.
    pub fn record_failure(&mut self, owner: &InstanceName, now: Tick) {
        self.paused_until = now + FAILURE_PAUSE;
        if self.failing.as_ref().is_none_or(|(failing, _)| failing != owner) {
            self.failing = Some((owner.clone(), now));
            self.static_share = None;
        }
    }

    fn count(&mut self, now: Tick) {
        if now.since(self.window_start) >= DEMAND_WINDOW {
            let is_next = now.since(self.window_start) < DEMAND_WINDOW * 2;
            self.in_last_window = if is_next { self.in_window } else { 0 };
            self.in_window = 0;
            self.window_start = now;
        }
        self.in_window = self.in_window.saturating_add(1);
    }
}
