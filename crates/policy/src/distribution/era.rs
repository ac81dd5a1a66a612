//! The era of the store, which rises when the store comes back from an older copy.
//!
//! Offsets of different eras can't be compared, and records that a node wrote in an earlier
//! era may be gone. See `docs/design/0018-store-eras.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Tick;

/// Number of an era of the store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// What an answer's era says about the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEra {
    /// The answer is from the era in which the client is.
    Current,
    /// The answer is the first from another era.
    New,
    /// The answer may be from an earlier era: its call began before the client learned of the
    /// current one.
    Late,
}

/// The number of changes of era that a client had seen when a call began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EraCount(u64);

/// The eras that one client of the store has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClientEras {
    current: Option<StoreEra>,
    count: EraCount,
}

impl ClientEras {
    /// Returns the newest era, if the store has stated one.
    pub fn current(&self) -> Option<StoreEra> {
        self.current
    }

    /// Returns the number of changes so far, to be passed to [`ClientEras::classify`] with the
    /// answer of a call that begins now.
    pub fn count(&self) -> EraCount {
        self.count
    }

    /// Classifies the answer to a call that began at `begun` and states an era, if the answer
    /// states one.
    ///
    /// An era that is lower than the current one is a change too, unless the answer is late.
    /// The era only triggers that everything is read again, so following a store that numbers
    /// its eras otherwise is safer than ignoring it.
    pub fn classify(&mut self, begun: EraCount, stated: Option<StoreEra>) -> AnswerEra {
        match (stated, self.current) {
            (Some(stated), Some(current)) if stated == current => AnswerEra::Current,
            _ if begun != self.count => AnswerEra::Late,
            (None, _) => AnswerEra::Current,
            (Some(stated), previous) => {
                self.current = Some(stated);
                if previous.is_none() {
                    return AnswerEra::Current;
                }
                self.count.0 += 1;
                AnswerEra::New
            }
        }
    }
}

/// Time after a return of the store for which a starting node doesn't take what it reads there for
/// all that was ever applied. Operators have written again what the copy lacks by then.
pub const RETURN_MEMORY: Duration = Duration::from_secs(60);

/// Difference between two times of a return that may be one, as nodes tell of it.
const RETURN_TOLERANCE: Duration = Duration::from_secs(1);

/// A change of the store's era, as one node learns of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraChange {
    /// The era before.
    pub previous: StoreEra,
    /// The era now.
    pub current: StoreEra,
}

/// The newest era that a node knows, from its own calls to the store or from other nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownEra {
    newest: Option<StoreEra>,
    changed_at: Option<Tick>,
}

impl KnownEra {
    /// Returns the newest known era.
    pub fn newest(&self) -> Option<StoreEra> {
        self.newest
    }

    /// Returns when the node learned of the last change, if there was one.
    pub fn changed_at(&self) -> Option<Tick> {
        self.changed_at
    }

    /// Returns the time since the store returned, while it counts as recent.
    pub fn returned_ago(&self, now: Tick) -> Option<Duration> {
        let ago = now.since(self.changed_at?);
        (ago < RETURN_MEMORY).then_some(ago)
    }

    /// Records that the store returned `ago` before `now`, as another node says.
    ///
    /// A time that is only a little later than the known one is the same return, told with
    /// delay; recorded, it would grow later with each message.
    pub fn record_return(&mut self, ago: Duration, now: Tick) {
        let at = Tick(now.0.saturating_sub(ago.as_millis() as u64));
        if self.changed_at.is_none_or(|known| at > known + RETURN_TOLERANCE) {
            self.changed_at = Some(at);
        }
    }

    /// Records an era and returns the change if it is newer than the known one. The first known
    /// era isn't a change.
    pub fn record(&mut self, era: StoreEra, now: Tick) -> Option<EraChange> {
        let previous = self.newest.replace(self.newest.map_or(era, |newest| newest.max(era)))?;
        let change = (era > previous).then_some(EraChange { previous, current: era });
        if change.is_some() {
            self.changed_at = Some(now);
        }
        change
    }
}
