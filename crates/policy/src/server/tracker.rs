//! Which incarnation of the backend server beside a node counts, and what it may be given.
//!
//! Announcements may be late, repeated or from an earlier incarnation, so they are
//! ordered by the start of the incarnation and, within one, by their number. What was
//! said about leaving is never taken back within a incarnation; see
//! `docs/design/0013-platform.md`.

use std::{net::SocketAddr, time::Duration};

use crate::{ids::ServiceName, time::Tick};

use super::announcement::{Announcement, ServerIncarnation};

/// Leases that may pass before a silent backend server counts as gone.
///
/// A backend server whose process is paused for a moment keeps its place; calls
/// route around it sooner by their own evidence.
const LEASES_BEFORE_GONE: u32 = 2;

/// The place that a node's settings give to the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedServer {
    /// Service that it runs.
    pub service: ServiceName,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AnnouncementOutcome {
    /// It is the first of a incarnation.
    Started,
    /// It changed what is known of the incarnation.
    Changed,
    /// It says what is known, and renews the lease.
    Renewed,
    /// It is older than what is known.
    Stale,
    /// It is about another backend server than the expected one.
    Foreign,
}

/// The incarnation that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentServer {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When it said that it leaves.
    pub leaving_since: Option<Tick>,
    /// When its lease ends.
    pub expires_at: Tick,
}

/// What a node knows of the backend server beside it.
#[derive(Debug, Default)]
pub struct ServerTracker {
    current: Option<CurrentServer>,
    /// The newest incarnation that was withdrawn, with the number of its last announcement.
    last_withdrawn: Option<(ServerIncarnation, u64)>,
    /// The last id that left before this node heard anything else of it.
    early_leave: Option<EarlyLeave>,
}

/// A backend server that said that it leaves to a node that had just started.
#[derive(Debug)]
struct EarlyLeave {
    id: String,
    /// When it said so.
    since: Tick,
    /// The same by the time of day, which lives are told apart by.
    wall_ms: u64,
}

impl ServerTracker {
    /// Returns the incarnation that counts.
    pub fn current(&self) -> Option<&CurrentServer> {
        self.current.as_ref()
    }

    /// Takes in an announcement.
    pub fn record_announcement(
        &mut self,
        announcement: Announcement,
        expected: Option<&ExpectedServer>,
        now: Tick,
    ) -> AnnouncementOutcome {
        let is_expected = |expected: &ExpectedServer| {
            expected.service == announcement.service && expected.addr == announcement.addr
        };
        if !expected.is_none_or(is_expected) {
            return AnnouncementOutcome::Foreign;
        }
        if self.is_stale(&announcement) {
            return AnnouncementOutcome::Stale;
        }
        let before = self.current.take();
        let same =
            before.filter(|current| is_same_incarnation(&current.announcement, &announcement));
        let leaving_since = match &same {
            // A incarnation that states no id may take its word back.
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
        self.current = Some(CurrentServer { announcement, leaving_since, expires_at });
        outcome
    }

    /// Notes that a incarnation is about to leave; tells whether that is news.
    ///
    /// A node that has just started may hear of the leaving first and of the backend
    /// server by a late announcement afterwards. `wall_ms` is the time of day, in
    /// milliseconds: a incarnation that starts later under the same id is another one.
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

    /// Returns when a incarnation left before it was announced here.
    fn left_before_announcement(&self, incarnation: &ServerIncarnation) -> Option<Tick> {
        let left = self.early_leave.as_ref()?;
        (left.id == incarnation.id && incarnation.started_ms <= left.wall_ms).then_some(left.since)
    }

    /// Withdraws the incarnation that counts; the next announcement may bring it back.
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

    /// Tells whether the lease ended.
    pub fn is_expired(&self, now: Tick) -> bool {
        self.current.as_ref().is_some_and(|current| current.expires_at < now)
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
    /// Tells whether the backend server may be given new work.
    ///
    /// For `grace` after it said that it leaves, it still takes what other nodes
    /// sent before they heard of it.
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
