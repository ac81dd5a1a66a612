//! What one node sends another that is behind.

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        checkpoint::{Digest, FoldDelta, Image, ImageError},
        fold::{Fold, Position},
    },
    ids::ConfigVersion,
};

/// The state that a node holds when it asks for a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldState {
    /// Its position.
    pub position: Position,
    /// Its version.
    pub version: ConfigVersion,
    /// Whether it wants the whole state, because a delta didn't fit.
    pub wants_whole: bool,
}

/// The answer to a node that asks for a newer state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FoldUpdate {
    /// The asked node has nothing newer.
    Nothing,
    /// What changed since the state that the asking node holds.
    Delta(FoldDelta),
    /// The whole state.
    Whole {
        /// Digest of the image.
        digest: Digest,
        /// The image.
        image: Image,
    },
}

impl HeldState {
    /// Describes the state of a fold.
    pub fn of(fold: &Fold) -> Self {
        Self { position: fold.position(), version: fold.version(), wants_whole: false }
    }
}

impl FoldUpdate {
    /// Chooses the smallest update that takes the asking node on.
    pub fn for_state(fold: &Fold, held: HeldState) -> Self {
        if fold.position() <= held.position {
            return Self::Nothing;
        }
        let delta = if held.wants_whole || held.position == Position(0) {
            None
        } else {
            fold.delta_from(held.position, held.version)
        };
        delta.map_or_else(|| Self::whole(fold), Self::Delta)
    }

    fn whole(fold: &Fold) -> Self {
        let image = fold.image();
        Self::Whole { digest: image.digest(), image }
    }

    /// Takes the update; returns whether the state went on.
    pub fn apply_to(self, fold: &mut Fold) -> Result<bool, ImageError> {
        match self {
            Self::Nothing => Ok(false),
            Self::Delta(delta) => fold.restore_delta(delta),
            Self::Whole { digest, image } => fold.restore(image, digest),
        }
    }
}
