//! The token bucket of an account, and the share of a quota that a node may grant.
//!
//! Tokens are counted in millionths as whole numbers, so that the model check can compare and
//! hash states.

use std::time::Duration;

use crate::{accounts::Quota, time::Tick};

use super::WINDOW;

/// Parts of one token.
const PARTS: u64 = 1_000_000;

/// Tokens above the burst that a bucket holds whatever the rate is. They absorb requests that
/// reach the owner in another order than they were sent in.
const SPARE_TOKENS: f64 = 4.0;

/// Further tokens above the burst, as the time in which the rate fills them. Tokens that entry
/// nodes get in advance come from these, so that tokens which lie unused at one node aren't
/// missed at another.
const SPARE_SECONDS: f64 = 0.1;

/// Share of nodes that must be reached for [`TOLERATED_SHARE`] to apply; only one part of a
/// partitioned fleet can reach that many.
const MAJORITY: f64 = 0.9;

/// Share of unreachable nodes that doesn't lower the quota, so that one dead node among 68
/// doesn't.
const TOLERATED_SHARE: f64 = 0.02;

/// Nodes that may each grant a token per window although their share of the quota is less.
const FAVOURED_NODES: usize = 8;

/// The nodes that a node knows, itself included, and those of them that it reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Reach {
    /// Nodes that aren't known to be down or silent.
    pub reached: u32,
    /// All nodes that haven't left.
    pub known: u32,
}

impl Reach {
    /// Returns the share of a quota that the node may grant.
    ///
    /// The parts of a partitioned fleet grant the whole quota together.
    pub fn share(self) -> f64 {
        let known = self.known.max(1);
        let share = f64::from(self.reached.clamp(1, known)) / f64::from(known);
        match share >= MAJORITY {
            true => (share + TOLERATED_SHARE).min(1.0),
            false => share,
        }
    }
}

/// What a node may grant of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Allowance {
    /// A token bucket.
    Bucket {
        /// Millionths of a token per millisecond.
        rate: u64,
        /// Largest content in millionths of a token.
        capacity: u64,
        /// Content in millionths of a token that tokens in advance leave.
        reserve: u64,
    },
    /// One token per interval, because the share of the bucket is less than one token.
    Spaced {
        /// Time between two tokens.
        interval: Duration,
    },
    /// No token.
    Nothing,
}

impl Allowance {
    /// Returns the number of tokens that a new owner may grant before its silence ends.
    ///
    /// It is half of what the bucket holds above the burst, so that accounts with little load
    /// aren't refused each time that a node starts or stops. A node that reaches few others
    /// has none.
    pub fn initial_tokens(self) -> u32 {
        match self {
            Self::Bucket { capacity, reserve, .. } => {
                whole((capacity + PARTS).saturating_sub(reserve) / 2)
            }
            Self::Spaced { .. } | Self::Nothing => 0,
        }
    }

    /// Returns what a node may grant of a quota; `rank` is that of the node among the known
    /// nodes by a hash with the account, and is only needed for shares below one token.
    pub fn of(quota: Quota, reach: Reach, rank: impl FnOnce() -> usize) -> Self {
        let share = reach.share();
        let (rate, burst) = (quota.rate * share, quota.burst * share);
        let spare = (SPARE_TOKENS + quota.rate * SPARE_SECONDS) * share;
        if burst + spare >= 1.0 {
            return Self::Bucket {
                rate: ((rate * 1_000.0) as u64).max(1),
                capacity: parts(burst + spare),
                // One token more than the account may have at hand.
                reserve: parts(burst + 1.0),
            };
        }
        // A bucket of one token would allow one more per node and window than the rate does.
        let per_window = (rate * WINDOW.as_secs_f64()).floor();
        if per_window >= 1.0 {
            return Self::Spaced { interval: WINDOW.div_f64(per_window) };
        }
        match rank() < FAVOURED_NODES {
            true => Self::Spaced { interval: spacing(rate).max(WINDOW) },
            false => Self::Nothing,
        }
    }
}

/// Returns the time in which one token comes in.
fn spacing(rate: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX)
}

fn parts(tokens: f64) -> u64 {
    (tokens * PARTS as f64) as u64
}

/// Tokens of one account at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Meter {
    /// Content in millionths of a token.
    content: u64,
    updated_at: Tick,
    /// Start of the interval in which the next token of [`Allowance::Spaced`] comes in.
    spaced_from: Tick,
}

impl Meter {
    /// Creates a meter that was empty at `at`, which may lie in the past: nothing was granted
    /// since then.
    pub fn empty_at(at: Tick) -> Self {
        Self { content: 0, updated_at: at, spaced_from: at }
    }

    /// Takes up to `needed` tokens and, from what is above the reserve, up to `in_advance`
    /// more; returns how many were taken.
    ///
    /// With `without_reserve`, tokens in advance may come from all that is left.
    pub fn take(
        &mut self,
        allowance: Allowance,
        needed: u32,
        in_advance: u32,
        without_reserve: bool,
        now: Tick,
    ) -> u32 {
        let taken = match allowance {
            Allowance::Bucket { rate, capacity, reserve } => {
                self.refill(rate, capacity, now);
                let taken = whole(self.content).min(needed);
                self.content -= u64::from(taken) * PARTS;
                let reserve = if without_reserve { 0 } else { reserve };
                let advance = whole(self.content.saturating_sub(reserve)).min(in_advance);
                self.content -= u64::from(advance) * PARTS;
                taken + advance
            }
            Allowance::Spaced { interval } => {
                self.empty(now);
                u32::from(needed > 0 && now >= self.spaced_from + interval)
            }
            Allowance::Nothing => {
                self.empty(now);
                0
            }
        };
        if taken > 0 {
            self.spaced_from = now;
        }
        taken
    }

    /// Returns the time until there is a token, if no other request takes it.
    pub fn time_until_token(&self, allowance: Allowance, now: Tick) -> Duration {
        match allowance {
            Allowance::Bucket { rate, .. } => {
                let at_hand = self.content + gained(rate, now.since(self.updated_at));
                Duration::from_millis(PARTS.saturating_sub(at_hand).div_ceil(rate))
            }
            Allowance::Spaced { interval } => interval.saturating_sub(now.since(self.spaced_from)),
            Allowance::Nothing => WINDOW,
        }
    }

    fn refill(&mut self, rate: u64, capacity: u64, now: Tick) {
        let content = self.content.saturating_add(gained(rate, now.since(self.updated_at)));
        self.content = content.min(capacity);
        self.updated_at = self.updated_at.max(now);
    }

    fn empty(&mut self, now: Tick) {
        self.content = 0;
        self.updated_at = self.updated_at.max(now);
    }
}

fn gained(rate: u64, time: Duration) -> u64 {
    rate.saturating_mul(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

fn whole(content: u64) -> u32 {
    u32::try_from(content / PARTS).unwrap_or(u32::MAX)
}
