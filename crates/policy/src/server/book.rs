//! Which life of the backend server beside a node counts, and what it may be given.
//!
//! Announcements may be late, repeated or from an earlier life, so they are
//! ordered by the start of the life and, within one, by their number. What was
//! said about leaving is never taken back within a life; see
//! `docs/design/0013-platform.md`.

use std::{net::SocketAddr, time::Duration};

use crate::{ids::ServiceName, time::Tick};

use super::announcement::{Announcement, ServerLife};

/// Leases that may pass before a silent backend server counts as gone.
///
/// A backend server whose process is paused for a moment keeps its place; calls
/// route around it sooner by their own evidence.
const LEASE_GRACE: u32 = 2;

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
pub enum Noted {
    /// It is the first of a life.
    Started,
    /// It changed what is known of the life.
    Changed,
    /// It says what is known, and renews the lease.
    Renewed,
    /// It is older than what is known.
    Stale,
    /// It is about another backend server than the expected one.
    Foreign,
}

/// The life that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When it said that it leaves.
    pub leaving_since: Option<Tick>,
    /// When its lease ends.
    pub expires: Tick,
}

/// What a node knows of the backend server beside it.
#[derive(Debug, Default)]
pub struct ServerBook {
    known: Option<Known>,
    /// The newest life that was withdrawn, with the number of its last announcement.
    ended: Option<(ServerLife, u64)>,
    /// The last id that left before this node heard anything else of it.
    left: Option<Left>,
}

/// A backend server that said that it leaves to a node that had just started.
#[derive(Debug)]
struct Left {
    id: String,
    /// When it said so.
    since: Tick,
    /// The same by the time of day, which lives are told apart by.
    at_ms: u64,
}

impl ServerBook {
    /// Returns the life that counts.
    pub fn known(&self) -> Option<&Known> {
        self.known.as_ref()
    }

    /// Takes in an announcement.
    pub fn announced(
        &mut self,
        announcement: Announcement,
        expected: Option<&ExpectedServer>,
        now: Tick,
    ) -> Noted {
        let is_expected = |expected: &ExpectedServer| {
            expected.service == announcement.service && expected.addr == announcement.addr
        };
        if !expected.is_none_or(is_expected) {
            return Noted::Foreign;
        }
        if self.is_stale(&announcement) {
            return Noted::Stale;
        }
        let before = self.known.take();
        let same = before.filter(|known| is_same_life(&known.announcement, &announcement));
        let leaving_since = match &same {
            // A life that states no id may take its word back.
            Some(known) if !announcement.life.id.is_empty() => known.leaving_since,
            _ => None,
        };
        let leaving_since = leaving_since.or_else(|| self.left_before(&announcement.life));
        let leaving_since = leaving_since.or(announcement.draining.then_some(now));
        let noted = match &same {
            None => Noted::Started,
            Some(known) if is_changed(known, &announcement, leaving_since) => Noted::Changed,
            Some(_) => Noted::Renewed,
        };
        let expires = now + announcement.lease * LEASE_GRACE;
        self.known = Some(Known { announcement, leaving_since, expires });
        noted
    }

    /// Notes that a life is about to leave; tells whether that is news.
    ///
    /// A node that has just started may hear of the leaving first and of the backend
    /// server by a late announcement afterwards. `wall_ms` is the time of day, in
    /// milliseconds: a life that starts later under the same id is another one.
    pub fn leaving(&mut self, id: &str, now: Tick, wall_ms: u64) -> bool {
        let Some(known) = self.known.as_mut().filter(|k| k.announcement.life.id == id) else {
            self.left = Some(Left { id: id.to_owned(), since: now, at_ms: wall_ms });
            return false;
        };
        known.announcement.draining = true;
        let is_news = known.leaving_since.is_none();
        known.leaving_since.get_or_insert(now);
        is_news
    }

    /// Returns when a life left before it was announced here.
    fn left_before(&self, life: &ServerLife) -> Option<Tick> {
        let left = self.left.as_ref()?;
        (left.id == life.id && life.started_ms <= left.at_ms).then_some(left.since)
    }

    /// Withdraws the life that counts; the next announcement may bring it back.
    pub fn withdraw(&mut self) -> Option<Known> {
        let known = self.known.take()?;
        let announcement = &known.announcement;
        if known.leaving_since.is_some() {
            self.ended = Some((announcement.life.clone(), u64::MAX));
        } else {
            self.ended = Some((announcement.life.clone(), announcement.sequence));
        }
        Some(known)
    }

    /// Tells whether the lease ended.
    pub fn is_expired(&self, now: Tick) -> bool {
        self.known.as_ref().is_some_and(|known| known.expires < now)
    }

    fn is_stale(&self, announcement: &Announcement) -> bool {
        let life = &announcement.life;
        if life.id.is_empty() {
            return false;
        }
        let is_behind = |known: &ServerLife, sequence: u64| {
            life.started_ms < known.started_ms
                || (life == known && announcement.sequence <= sequence)
        };
        let known = self.known.as_ref().map(|known| &known.announcement);
        known.is_some_and(|known| is_behind(&known.life, known.sequence))
            || self.ended.as_ref().is_some_and(|(ended, sequence)| is_behind(ended, *sequence))
    }
}

impl Known {
    /// Tells whether the backend server may be given new work.
    ///
    /// For `grace` after it said that it leaves, it still takes what other nodes
    /// sent before they heard of it.
    pub fn takes_work(&self, now: Tick, grace: Duration) -> bool {
        self.leaving_since.is_none_or(|since| now.since(since) < grace)
    }
}

fn is_same_life(known: &Announcement, next: &Announcement) -> bool {
    known.life == next.life
        && known.addr == next.addr
        && known.service == next.service
        && known.version == next.version
}

fn is_changed(known: &Known, next: &Announcement, leaving_since: Option<Tick>) -> bool {
    known.announcement.slots != next.slots
        || known.announcement.connections != next.connections
        || known.leaving_since != leaving_since
}
