//! Tracks the current incarnation of the node's own backend server and whether it accepts
//! work.
//!
//! Announcements may be late, repeated or from an earlier incarnation. They are therefore
//! ordered by the start of the incarnation and, within one, by sequence number. Once an
//! incarnation has reported that it leaves, this is final; see
//! `docs/design/0013-platform.md`.

use std::{net::SocketAddr, time::Duration};

use crate::{ids::ServiceName, time::Tick};

use super::{
    announcement::{Announcement, ServerIncarnation},
    rate::RequestRate,
};

/// Number of lease durations without an announcement after which a backend server counts
/// as gone.
///
/// A backend server whose process is paused briefly stays registered; callers route
/// around it earlier, based on their own evidence.
const LEASES_BEFORE_GONE: u32 = 2;

/// Largest number of announcements that may be missing between two of one incarnation. A
/// number further ahead comes from another writer; taken for the newest, it would make all
/// announcements after it stale.
const MAX_MISSING: u64 = 1_000_000;

/// Largest sequence number of the first announcement that a node receives of an incarnation.
/// One a second reaches it after 36,000 years.
const MAX_FIRST_SEQUENCE: u64 = 1 << 40;

/// The backend server that a node's settings expect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedServer {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
}

/// How an announcement was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AnnouncementOutcome {
    /// It is the first announcement of an incarnation.
    Started,
    /// It changed the recorded state of the incarnation.
    Changed,
    /// It repeats the recorded state and renews the lease.
    Renewed,
    /// It is older than the recorded state.
    Stale,
    /// It describes another backend server than the expected one.
    Foreign,
}

/// The current incarnation of the backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct CurrentServer {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Time at which it reported that it leaves; `None` if it hasn't.
    pub leaving_since: Option<Tick>,
    /// Time at which it counts as gone unless its lease is renewed.
    pub expires_at: Tick,
    /// Rate that it states in its answers; `None` while it states none.
    pub stated_rate: Option<StatedRate>,
}

/// A rate of requests that a backend server states in its answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedRate {
    /// Requests a second that it takes from all nodes together.
    pub rate: RequestRate,
    /// Arrival of the newest answer that states a rate.
    stated_at: Tick,
}

/// An answer of a backend server, as far as it tells about the rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateStatement {
    /// Stated rate; `None` if the answer states none.
    pub rate: Option<RequestRate>,
    /// Time at which the request that it answers was sent.
    pub sent_at: Tick,
}

/// State of the node's own backend server.
#[derive(Debug, Default)]
pub struct ServerTracker {
    current: Option<CurrentServer>,
    /// The newest withdrawn incarnation and the sequence number of its last announcement.
    last_withdrawn: Option<(ServerIncarnation, u64)>,
    /// The last incarnation that reported that it leaves before any announcement of it
    /// arrived.
    early_leave: Option<EarlyLeave>,
}

/// A backend server that reported to a node that had just started that it leaves, before
/// any of its announcements arrived there.
#[derive(Debug)]
struct EarlyLeave {
    id: String,
    /// Time of the report.
    since: Tick,
    /// Wall-clock time of the report in milliseconds, which distinguishes incarnations
    /// with the same id.
    wall_ms: u64,
}

impl ServerTracker {
    /// Returns the current incarnation, if there is one.
    pub fn current(&self) -> Option<&CurrentServer> {
        self.current.as_ref()
    }

    /// Records an announcement and returns how it was handled.
    pub fn record_announcement(
        &mut self,
        announcement: Announcement,
        expected: Option<&ExpectedServer>,
        now: Tick,
    ) -> AnnouncementOutcome {
        let is_expected = |expected: &ExpectedServer| {
            expected.service == announcement.service && expected.addr == announcement.addr
        };
        if !expected.is_none_or(is_expected) || self.is_far_ahead(&announcement) {
            return AnnouncementOutcome::Foreign;
        }
        if self.is_stale(&announcement) {
            return AnnouncementOutcome::Stale;
        }
        let before = self.current.take();
        let same =
            before.filter(|current| is_same_incarnation(&current.announcement, &announcement));
        let leaving_since = match &same {
            // An incarnation without an id may withdraw its report that it leaves.
            Some(current) if !announcement.incarnation.id.is_empty() => current.leaving_since,
            _ => None,
        };
        let leaving_since =
            leaving_since.or_else(|| self.left_before_announcement(&announcement.incarnation));
        let leaving_since = leaving_since.or(announcement.draining.then_some(now));
        let outcome = match &same {
            None => AnnouncementOutcome::Started,
            Some(current) if is_changed(current, &announcement, leaving_since) => {
                AnnouncementOutcome::Changed
            }
            Some(_) => AnnouncementOutcome::Renewed,
        };
        let expires_at = now + announcement.lease * LEASES_BEFORE_GONE;
        let stated_rate = same.and_then(|current| current.stated_rate);
        self.current = Some(CurrentServer { announcement, leaving_since, expires_at, stated_rate });
        outcome
    }

    /// Records what an answer of an incarnation tells about its rate. Returns whether the rate
    /// changed.
    ///
    /// Answers may overtake each other. One without a rate therefore ends a stated rate only if
    /// its request was sent after the newest answer with one had arrived.
    pub fn record_rate(
        &mut self,
        incarnation: &ServerIncarnation,
        statement: RateStatement,
        now: Tick,
    ) -> bool {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|c| c.announcement.incarnation == *incarnation) else {
            return false;
        };
        let before = current.stated_rate.map(|stated| stated.rate);
        match (statement.rate, current.stated_rate) {
            (Some(rate), _) => current.stated_rate = Some(StatedRate { rate, stated_at: now }),
            (None, Some(stated)) if statement.sent_at > stated.stated_at => {
                current.stated_rate = None;
            }
            (None, _) => {}
        }
        before != current.stated_rate.map(|stated| stated.rate)
    }

    /// Records that an incarnation is about to leave. Returns whether it is the current one
    /// and hadn't reported this before.
    ///
    /// A node that has just started may receive this report first and a late announcement
    /// of the backend server afterwards. `wall_ms` is the wall-clock time in
    /// milliseconds: an incarnation with the same id that starts later is a different
    /// one.
    pub fn record_leaving(&mut self, id: &str, now: Tick, wall_ms: u64) -> bool {
        let Some(current) = self.current.as_mut().filter(|k| k.announcement.incarnation.id == id)
        else {
            self.early_leave = Some(EarlyLeave { id: id.to_owned(), since: now, wall_ms });
            return false;
        };
        current.announcement.draining = true;
        let is_new = current.leaving_since.is_none();
        current.leaving_since.get_or_insert(now);
        is_new
    }

    /// Returns the time at which an incarnation left, if it did so before its first
    /// announcement arrived here.
    fn left_before_announcement(&self, incarnation: &ServerIncarnation) -> Option<Tick> {
        let left = self.early_leave.as_ref()?;
        (left.id == incarnation.id && incarnation.started_ms <= left.wall_ms).then_some(left.since)
    }

    /// Withdraws the current incarnation; a newer announcement may restore it, unless the
    /// incarnation has an id and has reported that it leaves.
    pub fn withdraw(&mut self) -> Option<CurrentServer> {
        let current = self.current.take()?;
        let announcement = &current.announcement;
        if current.leaving_since.is_some() {
            self.last_withdrawn = Some((announcement.incarnation.clone(), u64::MAX));
        } else {
            self.last_withdrawn = Some((announcement.incarnation.clone(), announcement.sequence));
        }
        Some(current)
    }

    /// Returns whether the current incarnation counts as gone because its lease wasn't
    /// renewed.
    pub fn is_expired(&self, now: Tick) -> bool {
        self.current.as_ref().is_some_and(|current| current.expires_at < now)
    }

    /// Returns whether the sequence number can't have been reached by the incarnation.
    fn is_far_ahead(&self, announcement: &Announcement) -> bool {
        let current = self.current.as_ref().map(|current| &current.announcement);
        let same = current.filter(|current| current.incarnation == announcement.incarnation);
        let most = |current: &Announcement| current.sequence.saturating_add(MAX_MISSING);
        announcement.sequence > same.map_or(MAX_FIRST_SEQUENCE, most)
    }

    fn is_stale(&self, announcement: &Announcement) -> bool {
        let incarnation = &announcement.incarnation;
        if incarnation.id.is_empty() {
            return false;
        }
        let is_behind = |current: &ServerIncarnation, sequence: u64| {
            incarnation.started_ms < current.started_ms
                || (incarnation == current && announcement.sequence <= sequence)
        };
        let current = self.current.as_ref().map(|current| &current.announcement);
        current.is_some_and(|current| is_behind(&current.incarnation, current.sequence))
            || self
                .last_withdrawn
                .as_ref()
                .is_some_and(|(withdrawn, sequence)| is_behind(withdrawn, *sequence))
    }
}

impl CurrentServer {
    /// Returns whether the backend server may be given new work.
    ///
    /// For `grace` after it reported that it leaves, it still accepts requests that other
    /// nodes sent before they received the report.
    pub fn accepts_work(&self, now: Tick, grace: Duration) -> bool {
        self.leaving_since.is_none_or(|since| now.since(since) < grace)
    }
}

fn is_same_incarnation(current: &Announcement, next: &Announcement) -> bool {
    current.incarnation == next.incarnation
        && current.addr == next.addr
        && current.service == next.service
        && current.version == next.version
}

fn is_changed(current: &CurrentServer, next: &Announcement, leaving_since: Option<Tick>) -> bool {
    current.announcement.slots != next.slots
        || current.announcement.connections != next.connections
        || current.leaving_since != leaving_since
}
