//! Rate at which a backend server takes requests, and the token bucket that keeps to it.

use std::time::Duration;

use crate::time::Tick;

/// Time over which unused requests add up, so that requests that come in clumps aren't held
/// back while the rate isn't reached.
const BURST_TIME: Duration = Duration::from_millis(250);

/// The same for a rate that no second may exceed. It covers the delay with which a busy node
/// starts the next request.
const BOUNDED_BURST_TIME: Duration = Duration::from_millis(100);

/// Lowest rate that is applied, in requests a second. The answers to these requests tell
/// whether a backend server that takes none still says so.
const MIN_RATE: f64 = 0.5;

/// A number of requests a second and the time over which unused requests add up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestRate {
    per_second: f64,
    burst_time: Duration,
}

/// Error for a number that is no rate.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
#[error("{0} isn't a number of requests a second")]
pub struct InvalidRate(f64);

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self { per_second, burst_time: BURST_TIME }),
            false => Err(InvalidRate(per_second)),
        }
    }
}

impl RequestRate {
    /// Returns the rate with which no second has more than `bound` requests, burst included.
    ///
    /// A second has at most the requests of the rate and those of a full bucket.
    pub fn within_each_second(bound: f64) -> Result<Self, InvalidRate> {
        let Self { per_second: bound, .. } = Self::try_from(bound)?;
        let burst_time = BOUNDED_BURST_TIME;
        let with_shared_burst = bound / (1.0 + burst_time.as_secs_f64());
        // A bucket holds at least one request.
        let per_second = with_shared_burst.min(bound - 1.0).max(0.0);
        Ok(Self { per_second, burst_time })
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.per_second
    }

    /// Returns the rate that allows fewer requests.
    pub fn smaller(self, other: Self) -> Self {
        if other.per_second < self.per_second { other } else { self }
    }

    fn effective(self) -> f64 {
        self.per_second.max(MIN_RATE)
    }

    /// Returns the number of unused requests that add up.
    fn burst(self) -> f64 {
        (self.effective() * self.burst_time.as_secs_f64()).max(1.0)
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
        self.tokens = self.tokens.min(rate.burst());
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
        Duration::from_secs_f64((missing / self.rate.effective()).max(0.0))
    }

    fn refill(&mut self, now: Tick) {
        self.tokens = self.tokens_at(now);
        self.updated_at = self.updated_at.max(now);
    }

    fn tokens_at(&self, now: Tick) -> f64 {
        let gained = now.since(self.updated_at).as_secs_f64() * self.rate.effective();
        (self.tokens + gained).min(self.rate.burst())
    }
}
