//! What fresh reports of backend servers say about when there is room for one more request.

use std::time::Duration;

use crate::time::Tick;

use super::{Balancer, Candidate};

impl Balancer {
    /// Returns the least time after which a large answer of a candidate would have crossed its
    /// link; `None` if that isn't known from a report of the last second.
    pub fn link_wait(&self, candidate: &Candidate, now: Tick) -> Option<Duration> {
        self.tracked.get(&candidate.instance)?.link_wait(now)
    }

    /// Returns the time after which a candidate is expected to have a free slot; `None` if that
    /// isn't known from a report of the last second.
    pub fn slot_wait(&self, candidate: &Candidate, now: Tick) -> Option<Duration> {
        let tracked = self.tracked.get(&candidate.instance)?;
        let run_ms = tracked.reported_ms().filter(|_| tracked.has_fresh_report(now))?;
        let slots = candidate.slots.max(1);
        let ahead = (tracked.load(now) + 1).saturating_sub(slots);
        let wait_ms = run_ms * f64::from(ahead) / f64::from(slots);
        Some(Duration::from_secs_f64(wait_ms.max(tracked.rate_wait_ms(now)) / 1_000.0))
    }

    /// Returns whether requests aren't sent to a candidate because it failed or is suspected of
    /// being down.
    pub fn is_avoided(&self, candidate: &Candidate, now: Tick) -> bool {
        let tracked = self.tracked.get(&candidate.instance);
        candidate.suspect || tracked.is_some_and(|tracked| tracked.is_ejected(now))
    }
}
