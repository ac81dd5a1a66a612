//! From which node, and when, a newer configuration is fetched.
//!
//! One fetch at a time is enough while the other nodes answer. A node that doesn't answer,
//! because it was lost or stopped a moment ago, must not keep this one from the others, so a
//! fetch that takes long is joined by one from another node. See
//! `docs/design/0002-configuration.md`.

use std::time::Duration;

use crate::{config::fold::Position, membership::rings::Contact, time::Tick};

/// Time after which a fetch counts as slow. A whole configuration takes a tenth of it on the
/// slowest links.
pub const SLOW_PULL: Duration = Duration::from_millis(300);

/// Largest number of fetches that run at a time.
const MAX_PULLS: usize = 3;

/// A node that holds a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// The node.
    pub holder: Contact,
    /// Position that it holds.
    pub position: Position,
}

/// Fetches that run, and the source of the next one.
#[derive(Debug, Default)]
pub struct Pulls {
    running: Vec<(Contact, Tick)>,
    /// The node that is furthest ahead, among those that wait.
    next: Option<Source>,
}

impl Pulls {
    /// Returns whether a fetch from `source` starts now. Otherwise the source is kept if it is
    /// further ahead than the one that waits already.
    pub fn start(&mut self, source: &Source, now: Tick) -> bool {
        if self.may_start(&source.holder, now) {
            self.running.push((source.holder.clone(), now));
            return true;
        }
        if self.next.as_ref().is_none_or(|next| next.position < source.position) {
            self.next = Some(source.clone());
        }
        false
    }

    /// Records the end of a fetch.
    pub fn finish(&mut self, holder: &Contact) {
        self.running.retain(|(other, _)| other != holder);
    }

    /// Removes and returns the source that waits, to be offered to [`Pulls::start`] again.
    pub fn take_next(&mut self) -> Option<Source> {
        self.next.take()
    }

    fn may_start(&self, holder: &Contact, now: Tick) -> bool {
        let is_slow = |(_, since): &(Contact, Tick)| now.since(*since) >= SLOW_PULL;
        self.running.len() < MAX_PULLS
            && self.running.iter().all(is_slow)
            && self.running.iter().all(|(other, _)| other != holder)
    }
}
