//! Rate at which a backend server takes requests, and the token bucket that keeps to it.

use std::time::Duration;

use crate::time::Tick;

/// Time over which unused requests add up, so that requests that come in clumps aren't held
/// back while the rate isn't reached.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Lowest rate that is applied, in requests a second. The answers to these requests tell
/// whether a backend server that takes none still says so.
const MIN_RATE: f64 = 0.5;

/// A number of requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestRate(f64);

/// Error for a number that is no rate.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} isn't a number of requests a second")]
pub struct InvalidRate(f64);

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second)),
            false => Err(InvalidRate(per_second)),
        }
    }
}

impl RequestRate {
    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// Allows as many requests as a rate does, plus a short burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: RequestRate,
    tokens: f64,
    updated_at: Tick,
}

impl TokenBucket {
    /// Creates an empty bucket: a backend server that begins to state a rate has been getting
    /// more.
    pub fn new(rate: RequestRate, now: Tick) -> Self {
        Self { rate, tokens: 0.0, updated_at: now }
    }

    /// Returns the rate.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate; tokens beyond the burst of the new one are lost.
    pub fn set_rate(&mut self, rate: RequestRate, now: Tick) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes a token; returns whether there was one.
    pub fn try_take(&mut self, now: Tick) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until `n` tokens have been there, if none is taken for other requests.
    pub fn time_until(&self, n: usize, now: Tick) -> Duration {
        let missing = n as f64 - self.tokens_at(now);
        Duration::from_secs_f64((missing / self.effective_rate()).max(0.0))
    }

    fn refill(&mut self, now: Tick) {
        self.tokens = self.tokens_at(now);
        self.updated_at = self.updated_at.max(now);
    }

    fn tokens_at(&self, now: Tick) -> f64 {
        let gained = now.since(self.updated_at).as_secs_f64() * self.effective_rate();
        (self.tokens + gained).min(self.capacity())
    }

    fn effective_rate(&self) -> f64 {
        self.rate.0.max(MIN_RATE)
    }

    fn capacity(&self) -> f64 {
        (self.effective_rate() * BURST_TIME.as_secs_f64()).max(1.0)
    }
}
