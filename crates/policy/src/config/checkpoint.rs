//! Images of the fold: checkpoints in the log and updates between nodes.
//!
//! An image is the fold's state with its digest. Starting from an image and the
//! records after it gives the same state as starting from the first record.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use xxhash_rust::xxh3::xxh3_128;

use crate::ids::ConfigVersion;

use super::{
    delta::ConfigDelta,
    fold::{Fold, PUBLISHES_KEPT, Position, Publish},
    model::Configuration,
    raw::RawConfiguration,
};

/// Number of the only checkpoint format that this program knows.
pub const CHECKPOINT_FORMAT: u32 = 1;

/// Largest checkpoint in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 16 << 20;

/// The state of the fold at a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Image {
    /// Offset of the first record that is not folded yet.
    pub position: Position,
    /// Version in force.
    pub version: ConfigVersion,
    /// Configuration in force.
    pub configuration: Option<Arc<RawConfiguration>>,
    /// Remembered publishes, oldest first.
    pub publishes: Vec<Publish>,
}

/// Identifies the content of an image.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "DisplayFromStr")] pub u128);

/// An image as it stands in the checkpoint stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Number of the format; see [`CHECKPOINT_FORMAT`].
    pub format: u32,
    /// Digest of the image.
    pub digest: Digest,
    /// The image.
    pub image: Image,
}

/// What turns the state at one position into the state at a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FoldDelta {
    /// Position to which the delta applies.
    pub from: Position,
    /// Position that it gives.
    pub position: Position,
    /// Version that it gives.
    pub version: ConfigVersion,
    /// Change of the configuration, when the version differs.
    pub configuration: Option<ConfigDelta>,
    /// Publishes that were judged in between.
    pub publishes: Vec<Publish>,
    /// Digest of the image that it gives.
    pub digest: Digest,
}

/// Why an image or a delta isn't taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ImageError {
    /// The bytes can't be parsed or are too many.
    #[error("the checkpoint can't be parsed: {0}")]
    Malformed(String),
    /// The format is newer than this program.
    #[error("the checkpoint has the unknown format {0}")]
    UnknownFormat(u32),
    /// The content doesn't have the digest that goes with it.
    #[error("the image doesn't match its digest")]
    DigestMismatch,
    /// The configuration breaks a rule, so the fold can't have accepted it.
    #[error("the image holds a configuration that breaks a rule")]
    Invalid,
    /// The delta starts from another state than the local one.
    #[error("the delta starts from another position")]
    WrongBase,
}

impl Image {
    /// Returns the digest of the image.
    pub fn digest(&self) -> Digest {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        Digest(xxh3_128(&bytes))
    }
}

impl TryFrom<Image> for Fold {
    type Error = ImageError;

    fn try_from(image: Image) -> Result<Self, ImageError> {
        let is_consistent = image.configuration.is_some() == (image.version.0 > 0)
            && image.version.0 <= image.position.0
            && image.publishes.len() <= PUBLISHES_KEPT;
        if !is_consistent {
            return Err(ImageError::Invalid);
        }
        let configuration = match &image.configuration {
            Some(raw) => {
                let checked = Configuration::try_from(RawConfiguration::clone(raw));
                Some(Arc::new(checked.map_err(|_| ImageError::Invalid)?))
            }
            None => None,
        };
        Ok(Fold::from_parts(
            image.position,
            image.version,
            image.configuration,
            configuration,
            VecDeque::from(image.publishes),
        ))
    }
}

impl Checkpoint {
    /// Makes the checkpoint of a state.
    pub fn of(fold: &Fold) -> Self {
        let image = fold.image();
        Self { format: CHECKPOINT_FORMAT, digest: image.digest(), image }
    }

    /// Encodes the checkpoint for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a checkpoint and checks its digest.
    pub fn parse(body: &[u8]) -> Result<Self, ImageError> {
        #[derive(Deserialize)]
        struct Envelope {
            format: u32,
        }
        if body.len() > MAX_CHECKPOINT_BYTES {
            return Err(ImageError::Malformed(format!("{} bytes", body.len())));
        }
        let malformed = |e: serde_json::Error| ImageError::Malformed(e.to_string());
        let envelope: Envelope = serde_json::from_slice(body).map_err(malformed)?;
        if envelope.format != CHECKPOINT_FORMAT {
            return Err(ImageError::UnknownFormat(envelope.format));
        }
        let checkpoint: Self = serde_json::from_slice(body).map_err(malformed)?;
        if checkpoint.image.digest() != checkpoint.digest {
            return Err(ImageError::DigestMismatch);
        }
        Ok(checkpoint)
    }
}

impl Fold {
    /// Returns the state as an image.
    pub fn image(&self) -> Image {
        Image {
            position: self.position(),
            version: self.version(),
            configuration: self.raw().cloned(),
            publishes: self.publishes().cloned().collect(),
        }
    }

    /// Takes an image that lies further on; returns whether it was taken.
    pub fn restore(&mut self, image: Image, digest: Digest) -> Result<bool, ImageError> {
        if image.position <= self.position() {
            return Ok(false);
        }
        if image.digest() != digest {
            return Err(ImageError::DigestMismatch);
        }
        Ok(self.advance(Fold::try_from(image)?))
    }

    /// Returns what turns the state at `from` into this one, when it is known.
    pub fn delta_from(&self, from: Position, version: ConfigVersion) -> Option<FoldDelta> {
        let oldest = self.publishes().next().map_or(u64::MAX, |publish| publish.offset);
        let is_retained = oldest <= from.0 || self.publishes().count() < PUBLISHES_KEPT;
        if from >= self.position() || !is_retained {
            return None;
        }
        let configuration = match (version == self.version(), self.raw()) {
            (true, _) | (_, None) => None,
            (false, Some(raw)) => Some(ConfigDelta::between(self.raw_at(version)?, raw)),
        };
        let is_later = |publish: &&Publish| publish.offset >= from.0;
        Some(FoldDelta {
            from,
            position: self.position(),
            version: self.version(),
            configuration,
            publishes: self.publishes().filter(is_later).cloned().collect(),
            digest: self.image().digest(),
        })
    }

    /// Applies a delta; returns whether it was taken.
    pub fn restore_delta(&mut self, delta: FoldDelta) -> Result<bool, ImageError> {
        if delta.position <= self.position() {
            return Ok(false);
        }
        if delta.from != self.position() {
            return Err(ImageError::WrongBase);
        }
        let configuration = match (delta.configuration, self.raw()) {
            (None, raw) => raw.cloned(),
            (Some(change), Some(raw)) => {
                Some(Arc::new(change.apply(raw).map_err(|_| ImageError::WrongBase)?))
            }
            (Some(_), None) => return Err(ImageError::WrongBase),
        };
        let mut publishes: Vec<Publish> =
            self.publishes().cloned().chain(delta.publishes).collect();
        let surplus = publishes.len().saturating_sub(PUBLISHES_KEPT);
        publishes.drain(..surplus);
        let image =
            Image { position: delta.position, version: delta.version, configuration, publishes };
        self.restore(image, delta.digest)
    }
}
