//! Decides whether the node's own backend server is cold, that is, accepts only a few requests
//! a second because it started recently.
//!
//! A backend server may become cold at any moment, and its node learns of it from announcements
//! only. Where these leave it open, the backend server counts as cold until it says that it
//! isn't, because a cold one may crash above its rate. See `docs/design/0021-warm-up.md`.

use std::time::Duration;

use crate::time::{Tick, WallMillis};

use super::{
    announcement::{Announcement, ServerIncarnation},
    rate::RequestRate,
};

/// Time after a change of the backend server's state in which an announcement may still
/// describe the state before it.
const ANNOUNCEMENT_TRANSIT: Duration = Duration::from_millis(100);

/// Limit for cold backend servers of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time after a start for which a backend server that doesn't report it is cold.
    pub duration: Duration,
    /// Rate that a cold backend server accepts.
    pub rate: RequestRate,
}

/// What announcements and events say about the warm-up of the backend server.
#[derive(Debug, Default)]
pub struct WarmUpTracker {
    newest: Option<Heard>,
    /// End of the warm-up as the newest announcement states it.
    cold_until: Option<Tick>,
    assumed: Option<Assumption>,
    /// Number of evacuations of its zone that have ended.
    ended_evacuations: u64,
}

/// The newest announcement, as far as it matters.
#[derive(Debug)]
struct Heard {
    at: Tick,
    incarnation: ServerIncarnation,
    lease: Duration,
    /// Whether the incarnation has reported the time that it is still cold.
    reports_warm_up: bool,
}

/// Assumption that the backend server is cold.
#[derive(Debug, Clone, Copy)]
struct Assumption {
    since: Tick,
    /// Time for which it had run at `since`.
    age: Duration,
}

impl WarmUpTracker {
    /// Records an announcement that is not older than the one before; `wall` is the present
    /// time.
    pub fn record_announcement(
        &mut self,
        announcement: &Announcement,
        now: Tick,
        wall: WallMillis,
    ) {
        let incarnation = &announcement.incarnation;
        let same = self.newest.as_ref().filter(|newest| newest.incarnation == *incarnation);
        let (is_new, is_late) = (same.is_none(), same.is_some_and(|newest| newest.is_overdue(now)));
        let reported_before = same.is_some_and(|newest| newest.reports_warm_up);
        let reports_warm_up = reported_before || announcement.cold_left.is_some();
        // Backend servers that report the time may leave it out once it is over.
        let stated = announcement.cold_left.or(reported_before.then_some(Duration::ZERO));
        match stated {
            Some(left) => {
                self.cold_until = Some(now + left);
                let is_settled = |assumed: &Assumption| now >= assumed.since + ANNOUNCEMENT_TRANSIT;
                if self.assumed.as_ref().is_some_and(is_settled) {
                    self.assumed = None;
                }
            }
            None if is_new => {
                self.cold_until = None;
                self.assumed = Some(Assumption { since: now, age: age_of(incarnation, wall) });
            }
            None if is_late => {
                self.assumed = Some(Assumption { since: now, age: Duration::ZERO });
            }
            None => {}
        }
        let (incarnation, lease) = (incarnation.clone(), announcement.lease);
        self.newest = Some(Heard { at: now, incarnation, lease, reports_warm_up });
    }

    /// Records how many evacuations of the backend server's zone have ended. Without requests it
    /// has become cold by the end of one.
    pub fn record_ended_evacuations(&mut self, ended: u64, now: Tick) {
        if std::mem::replace(&mut self.ended_evacuations, ended) != ended {
            self.assumed = Some(Assumption { since: now, age: Duration::ZERO });
        }
    }

    /// Returns the rate that the backend server accepts, or `None` if it isn't cold.
    pub fn rate(&self, warm_up: &WarmUp, now: Tick) -> Option<RequestRate> {
        self.is_cold(warm_up.duration, now).then_some(warm_up.rate)
    }

    fn is_cold(&self, duration: Duration, now: Tick) -> bool {
        let Some(newest) = &self.newest else { return true };
        let is_assumed = self.assumed.is_some_and(|assumed| {
            newest.reports_warm_up || now.since(assumed.since) + assumed.age < duration
        });
        is_assumed || newest.is_overdue(now) || self.cold_until.is_some_and(|until| now < until)
    }
}

impl Heard {
    /// Returns whether the next announcement is missing, so that the backend server may have
    /// been down.
    fn is_overdue(&self, now: Tick) -> bool {
        now.since(self.at) > self.lease
    }
}

/// Returns the time since the start of an incarnation; zero if it doesn't state its start.
fn age_of(incarnation: &ServerIncarnation, wall: WallMillis) -> Duration {
    match incarnation.started_ms {
        0 => Duration::ZERO,
        started_ms => Duration::from_millis(wall.0.saturating_sub(started_ms)),
    }
}
