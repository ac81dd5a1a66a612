//! Images of the fold, as used in checkpoints in the log and in updates between
//! nodes.
//!
//! An image is a snapshot of the fold's state and is stored and sent with its
//! digest. Folding the records after an image onto it gives the same state as
//! folding all records from the first one.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use xxhash_rust::xxh3::xxh3_128;

use crate::ids::ConfigVersion;

use super::{
    delta::ConfigDelta,
    fold::{Fold, PUBLISHES_KEPT, Position, Publish},
    model::AcceptedConfiguration,
    raw::RawConfiguration,
};

/// Number of the only supported checkpoint format.
pub const CHECKPOINT_FORMAT: u32 = 1;

/// Largest size of a checkpoint, in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 16 << 20;

/// The state of the fold at a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Image {
    /// Offset of the first record that has not been folded.
    pub position: Position,
    /// Version in force.
    pub version: ConfigVersion,
    /// Configuration in force.
    pub configuration: Option<Arc<RawConfiguration>>,
    /// Retained publishes, oldest first.
    pub publishes: Vec<Publish>,
}

/// Hash that identifies the content of an image.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "DisplayFromStr")] pub u128);

/// An image as it is stored in the checkpoint stream.
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

/// The difference between the state at one position and the state at a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FoldDelta {
    /// Position to which the delta applies.
    pub from: Position,
    /// Position after the delta is applied.
    pub position: Position,
    /// Version after the delta is applied.
    pub version: ConfigVersion,
    /// Change of the configuration, if the version differs.
    pub configuration: Option<ConfigDelta>,
    /// Publishes whose outcome was decided between the two positions.
    pub publishes: Vec<Publish>,
    /// Digest of the image after the delta is applied.
    pub digest: Digest,
}

/// Reason for which an image or a delta is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ImageError {
    /// The bytes can't be parsed or exceed [`MAX_CHECKPOINT_BYTES`].
    #[error("the checkpoint can't be parsed: {0}")]
    Malformed(String),
    /// The format is not [`CHECKPOINT_FORMAT`].
    #[error("the checkpoint has the unknown format {0}; this release supports {CHECKPOINT_FORMAT}")]
    UnknownFormat(u32),
    /// The digest of the content differs from the stated one.
    #[error("the image doesn't match its digest")]
    DigestMismatch,
    /// The configuration breaks a rule or the fields contradict each other, so that
    /// no fold can have produced the image.
    #[error("the image is inconsistent or holds a configuration that breaks a rule")]
    Invalid,
    /// The delta applies to another state than the local one.
    #[error("the delta applies to another state than the local one")]
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
                // Another node has put it in force, whatever a publisher would be told about it.
                let accepted = AcceptedConfiguration::try_from(RawConfiguration::clone(raw));
                Some(Arc::new(accepted.map_err(|_| ImageError::Invalid)?.configuration))
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
    /// Creates the checkpoint of a fold's state.
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
            return Err(ImageError::Malformed(format!(
                "{} bytes exceed the limit of {MAX_CHECKPOINT_BYTES}",
                body.len()
            )));
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

    /// Replaces the state by an image at a higher position; returns whether the image
    /// was applied.
    ///
    /// An image that isn't ahead leaves the state unchanged.
    pub fn restore(&mut self, image: Image, digest: Digest) -> Result<bool, ImageError> {
        if image.position <= self.position() {
            return Ok(false);
        }
        if image.digest() != digest {
            return Err(ImageError::DigestMismatch);
        }
        Ok(self.advance(Fold::try_from(image)?))
    }

    /// Returns the delta from the state at `from` to this one, or `None` if `from`
    /// isn't behind or the publishes or the configuration since then are no longer
    /// retained.
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

    /// Applies a delta; returns whether the state advanced.
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
