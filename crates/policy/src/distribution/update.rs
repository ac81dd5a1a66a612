//! Configuration updates for nodes that lag behind.

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        checkpoint::{Digest, FoldDelta, Image, ImageError},
        fold::{Fold, Position},
    },
    ids::ConfigVersion,
};

/// The state that a node holds when it asks for an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldState {
    /// Position of the state.
    pub position: Position,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Whether the node asks for the full state, because a delta could not be
    /// applied.
    pub wants_whole: bool,
}

/// Reply to a node that asks for an update.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FoldUpdate {
    /// The replying node has no newer state.
    Nothing,
    /// Changes since the state that the asking node holds.
    Delta(FoldDelta),
    /// The full state.
    Whole {
        /// Digest of the image.
        digest: Digest,
        /// The image.
        image: Image,
    },
}

impl HeldState {
    /// Returns the description of a fold's state.
    pub fn of(fold: &Fold) -> Self {
        Self { position: fold.position(), version: fold.version(), wants_whole: false }
    }
}

impl FoldUpdate {
    /// Returns the smallest update that brings a node with the state `held` to the
    /// state of `fold`.
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

    /// Applies the update to `fold`; returns whether its state advanced.
    pub fn apply_to(self, fold: &mut Fold) -> Result<bool, ImageError> {
        match self {
            Self::Nothing => Ok(false),
            Self::Delta(delta) => fold.restore_delta(delta),
            Self::Whole { digest, image } => fold.restore(image, digest),
        }
    }
}
