//! The fold over publish records, which turns them in log order into configuration
//! versions.
//!
//! It is a pure function of the records, so that all nodes that have folded the
//! same records hold the same state, no matter how the state reached them.
//! `docs/design/0002-configuration.md` gives the reasons.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ConfigVersion, PublishId},
    refusal::Refusal,
};

use super::{
    model::{AcceptedConfiguration, Configuration, Refusals},
    raw::RawConfiguration,
    record::{PublishRecord, RecordError},
};

/// Largest number of publishes whose outcome is retained.
///
/// A publish that is repeated after its eviction can't be accepted again, because
/// its base is older than the version in force by then.
pub const PUBLISHES_KEPT: usize = 256;

/// Largest number of earlier configurations that are retained to derive deltas.
pub const HISTORY_KEPT: usize = 16;

/// Offset of the first record that has not been folded.
///
/// Positions order the states of the fold: the state at a higher position includes
/// every record of the state at a lower one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

/// Outcome of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishOutcome {
    /// The configuration came into force as `version`.
    Accepted {
        /// The version.
        version: ConfigVersion,
    },
    /// The configuration was derived from another version than the one in force.
    Conflict {
        /// Version from which it was derived.
        base: ConfigVersion,
        /// Version that was in force.
        in_force: ConfigVersion,
    },
    /// The configuration breaks rules.
    Refused {
        /// The first rules that the configuration breaks.
        refusals: Vec<Refusal>,
    },
}

/// A publish whose outcome the fold retains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Name of the publish.
    pub id: PublishId,
    /// Offset of the publish's first record.
    pub offset: u64,
    /// Outcome of the publish.
    pub outcome: PublishOutcome,
}

/// Result of folding one record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Step {
    /// A new version came into force.
    Accepted(ConfigVersion),
    /// The record was derived from another version than the one in force.
    Conflict,
    /// The outcome of the publish was decided by an earlier record.
    Duplicate,
    /// The record breaks rules.
    Refused,
    /// The record was already folded.
    Replayed,
    /// Records between the position and this one are missing.
    Gap,
    /// The record has an unknown format, so that neither it nor later records are
    /// folded.
    Stopped,
}

/// Result of [`Fold::replace`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The configuration is in force, with these values beyond the bounds of this software.
    Applied(Vec<Refusal>),
    /// The configuration is no newer than the one in force and was ignored.
    Stale,
}

/// The state after all records up to a position.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fold {
    position: Position,
    version: ConfigVersion,
    raw: Option<Arc<RawConfiguration>>,
    configuration: Option<Arc<Configuration>>,
    publishes: VecDeque<Publish>,
    stopped_at: Option<u64>,
    history: VecDeque<(ConfigVersion, Arc<RawConfiguration>)>,
}

impl Fold {
    /// Returns the offset of the first record that has not been folded.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the version in force.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the configuration in force as the operator published it.
    pub fn raw(&self) -> Option<&Arc<RawConfiguration>> {
        self.raw.as_ref()
    }

    /// Returns the offset of the record of unknown format that stopped the fold, if
    /// there is one.
    pub fn stopped_at(&self) -> Option<u64> {
        self.stopped_at
    }

    /// Returns a publish with its outcome, if it is retained.
    pub fn publish(&self, id: &PublishId) -> Option<&Publish> {
        self.publishes.iter().rev().find(|publish| publish.id == *id)
    }

    /// Returns the retained publishes, oldest first.
    pub fn publishes(&self) -> impl DoubleEndedIterator<Item = &Publish> {
        self.publishes.iter()
    }

    /// Returns the configuration of an earlier version, if it is still retained.
    pub fn raw_at(&self, version: ConfigVersion) -> Option<&Arc<RawConfiguration>> {
        self.history.iter().find(|(at, _)| *at == version).map(|(_, raw)| raw)
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: u64, body: &[u8]) -> Step {
        if offset < self.position.0 {
            return Step::Replayed;
        }
        if offset > self.position.0 {
            return Step::Gap;
        }
        let step = match PublishRecord::parse(body) {
            Ok(record) => self.decide(offset, record),
            Err(RecordError::Refused { id, refusals }) => self.refuse(offset, id, refusals),
            Err(RecordError::UnknownFormat { .. }) => {
                self.stopped_at = Some(offset);
                return Step::Stopped;
            }
        };
        self.stopped_at = None;
        self.position = Position(offset + 1);
        step
    }

    fn decide(&mut self, offset: u64, record: PublishRecord) -> Step {
        if self.publish(&record.id).is_some() {
            return Step::Duplicate;
        }
        if record.base != self.version {
            let outcome = PublishOutcome::Conflict { base: record.base, in_force: self.version };
            self.record_publish(Publish { id: record.id, offset, outcome });
            return Step::Conflict;
        }
        let version = ConfigVersion(self.version.0 + 1);
        self.put_in_force(version, record.raw, record.configuration);
        let outcome = PublishOutcome::Accepted { version };
        self.record_publish(Publish { id: record.id, offset, outcome });
        Step::Accepted(version)
    }

    fn refuse(&mut self, offset: u64, id: Option<PublishId>, refusals: Vec<Refusal>) -> Step {
        let Some(id) = id else { return Step::Refused };
        if self.publish(&id).is_some() {
            return Step::Duplicate;
        }
        self.record_publish(Publish { id, offset, outcome: PublishOutcome::Refused { refusals } });
        Step::Refused
    }

    fn record_publish(&mut self, publish: Publish) {
        self.publishes.push_back(publish);
        if self.publishes.len() > PUBLISHES_KEPT {
            self.publishes.pop_front();
        }
    }

    fn put_in_force(
        &mut self,
        version: ConfigVersion,
        raw: Arc<RawConfiguration>,
        configuration: Arc<Configuration>,
    ) {
        if let Some(replaced) = self.raw.replace(raw) {
            self.history.push_back((self.version, replaced));
        }
        if self.history.len() > HISTORY_KEPT {
            self.history.pop_front();
        }
        self.version = version;
        self.configuration = Some(configuration);
    }

    /// Applies a complete configuration from a platform that stores it as a whole
    /// instead of as a stream of records.
    ///
    /// The position follows from the number that operators give to the configuration, and is
    /// also used as the version. Both only grow, whatever becomes of the records that hold the
    /// configuration. The platform has accepted it, so that a bound of this software refuses
    /// nothing; see [`AcceptedConfiguration`].
    pub fn replace(
        &mut self,
        position: Position,
        raw: RawConfiguration,
    ) -> Result<ReplaceOutcome, Refusals> {
        if position <= self.position {
            return Ok(ReplaceOutcome::Stale);
        }
        let accepted = AcceptedConfiguration::try_from(raw.clone())?;
        let configuration = Arc::new(accepted.configuration);
        self.put_in_force(ConfigVersion(position.0), Arc::new(raw), configuration);
        self.position = position;
        Ok(ReplaceOutcome::Applied(accepted.unusual))
    }

    /// Replaces the state by a later one; returns whether it was replaced.
    ///
    /// A state that isn't ahead, or whose version is lower, is ignored.
    pub(super) fn advance(&mut self, next: Fold) -> bool {
        if next.position <= self.position || next.version < self.version {
            return false;
        }
        self.position = next.position;
        self.publishes = next.publishes;
        self.stopped_at = None;
        match (next.raw, next.configuration) {
            (Some(raw), Some(configuration)) if next.version > self.version => {
                self.put_in_force(next.version, raw, configuration);
            }
            _ => {}
        }
        true
    }

    pub(super) fn from_parts(
        position: Position,
        version: ConfigVersion,
        raw: Option<Arc<RawConfiguration>>,
        configuration: Option<Arc<Configuration>>,
        publishes: VecDeque<Publish>,
    ) -> Self {
        Self { position, version, raw, configuration, publishes, ..Self::default() }
    }
}
