//! Whether the link of an instance has room for one more large answer.
//!
//! Load: requests for large answers at 1.35 times what the link carries. Answers that wait for
//! the link until their objective has passed are worth little, and all of them wait if all are
//! accepted. A request whose answer can't be in time is therefore refused before it runs, while
//! another instance may still answer it. See `docs/design/0024-links.md`.

use std::{collections::HashMap, time::Duration};

use crate::ids::RouteName;

use super::link_schedule::{LinkRate, PART_BYTES};

/// Weight of the newest answer in the averages of its route.
const NEWEST_WEIGHT: f64 = 1.0 / 16.0;

/// What the answers of a route usually take.
#[derive(Debug, Clone, Copy)]
struct Usual {
    bytes: f64,
    run_seconds: f64,
}

impl Usual {
    fn average_with(&mut self, newest: Usual) {
        self.bytes += (newest.bytes - self.bytes) * NEWEST_WEIGHT;
        self.run_seconds += (newest.run_seconds - self.run_seconds) * NEWEST_WEIGHT;
    }
}

/// Largest share of the link that is taken off for other messages. Bulk parts are granted some of
/// the link whatever they take.
const MAX_OTHER_SHARE: f64 = 0.75;

/// Bytes that the link is committed to by requests that run, and the usual answers of routes.
#[derive(Debug)]
pub struct LinkAdmission {
    rate: LinkRate,
    /// Expected size of the answers to requests that wait or run.
    reserved: u64,
    routes: HashMap<RouteName, Usual>,
    /// What large answers of all routes usually take; `None` before the first one.
    large: Option<Usual>,
    /// Share of the link that messages take which don't wait.
    other_share: f64,
}

impl LinkAdmission {
    /// Creates the admission of an idle link.
    pub fn new(rate: LinkRate) -> Self {
        Self { rate, reserved: 0, routes: HashMap::new(), large: None, other_share: 0.0 }
    }

    /// Sets the share of the link, from 0, that messages take which don't wait.
    pub fn set_other_share(&mut self, share: f64) {
        self.other_share = share.clamp(0.0, MAX_OTHER_SHARE);
    }

    /// Reserves the link for the answer to a request and returns the number of bytes, zero where
    /// answers are usually small. `unsent` are the bytes of large answers that wait for the link.
    ///
    /// If the answer can't be in time, the error is the time after which one like it could be.
    /// An idle link takes any request.
    pub fn reserve(
        &mut self,
        route: &RouteName,
        objective_left: Duration,
        unsent: u64,
    ) -> Result<u64, Duration> {
        let Some(usual) = self.routes.get(route) else { return Ok(0) };
        if usual.bytes <= PART_BYTES as f64 {
            return Ok(0);
        }
        let bytes = usual.bytes as u64;
        let needed = self.time_for(usual, unsent);
        if self.reserved + unsent > 0 && needed > objective_left {
            return Err(needed - objective_left);
        }
        self.reserved += bytes;
        Ok(bytes)
    }

    /// Ends a reservation, because the request failed or its answer waits for the link.
    pub fn release(&mut self, reserved: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
    }

    /// Records an answer of a route.
    pub fn record(&mut self, route: &RouteName, bytes: u64, run_time: Duration) {
        let newest = Usual { bytes: bytes as f64, run_seconds: run_time.as_secs_f64() };
        if bytes > PART_BYTES as u64 {
            self.large.get_or_insert(newest).average_with(newest);
        }
        match self.routes.get_mut(route) {
            Some(usual) => usual.average_with(newest),
            None => {
                self.routes.insert(route.clone(), newest);
            }
        }
    }

    /// Returns the time after which the answer to a request for a usual large answer that is
    /// accepted now would have been sent; zero if the link is idle and takes any request.
    ///
    /// Entry nodes compare it with the objective, as [`Self::reserve`] does.
    pub fn wait(&self, unsent: u64) -> Duration {
        let usual = self.large.filter(|_| self.reserved + unsent > 0);
        usual.map_or(Duration::ZERO, |usual| self.time_for(&usual, unsent))
    }

    /// Returns the time after which an answer would have been sent that isn't reserved yet.
    fn time_for(&self, usual: &Usual, unsent: u64) -> Duration {
        // The link sends what is ready while the request runs.
        let run_time = Duration::from_secs_f64(usual.run_seconds);
        let time_for = |bytes| self.rate.time_for(bytes).div_f64(1.0 - self.other_share);
        let ready_at = run_time.max(time_for(unsent));
        ready_at + time_for(self.reserved + usual.bytes as u64)
    }
}
