//! The largest share that the new version's instances can carry.

use super::state::Permille;

/// Fraction of the new version's slots that may be busy.
const MAX_BUSY_FRACTION: f64 = 0.8;

/// Factor from the ratio of new to old slots to the largest share, while the load
/// isn't known.
///
/// It assumes that at most half of the old version's slots are busy.
const SLOT_HEADROOM: f64 = 2.0;

/// Slots of the two versions of a move.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Total slots of the new version's live instances.
    pub new_slots: u32,
    /// Total slots of the old version's live instances.
    pub old_slots: u32,
}

impl Capacity {
    /// Returns the largest share of the new version by the number of slots alone.
    pub fn max_share(&self) -> Permille {
        if self.new_slots == 0 {
            return Permille::NONE;
        }
        let slot_ratio = f64::from(self.new_slots) / f64::from(self.old_slots.max(1));
        Permille::from_share(slot_ratio * SLOT_HEADROOM)
    }

    /// Returns the largest share of the new version when both versions together have
    /// `busy_slots` slots in use on average.
    ///
    /// Without a measured load, the slots alone decide.
    pub fn max_share_at_load(&self, busy_slots: f64) -> Permille {
        if busy_slots <= 0.0 {
            return self.max_share();
        }
        let by_load =
            Permille::from_share(f64::from(self.new_slots) * MAX_BUSY_FRACTION / busy_slots);
        self.max_share().min(by_load)
    }
}
