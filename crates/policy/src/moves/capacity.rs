//! The largest share that the new version's instances can carry.

use super::state::Permille;

/// Part of the new version's slots that may be busy.
const MAX_BUSY_FRACTION: f64 = 0.8;

/// Times its part of the slots that a version may carry while the load isn't
/// known: it assumes that the old version's slots are at most half busy.
const SLOT_HEADROOM: f64 = 2.0;

/// What the two versions can carry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Slots of the new version's live instances.
    pub new_slots: u32,
    /// Slots of the old version's live instances.
    pub old_slots: u32,
}

impl Capacity {
    /// Returns the largest share by the number of slots alone.
    pub fn max_share(&self) -> Permille {
        if self.new_slots == 0 {
            return Permille::NONE;
        }
        let slot_ratio = f64::from(self.new_slots) / f64::from(self.old_slots.max(1));
        Permille::from_share(slot_ratio * SLOT_HEADROOM)
    }

    /// Returns the largest share when `busy` slots are in use by both versions.
    pub fn max_share_at_load(&self, busy_slots: f64) -> Permille {
        if busy_slots <= 0.0 {
            return self.max_share();
        }
        let by_load =
            Permille::from_share(f64::from(self.new_slots) * MAX_BUSY_FRACTION / busy_slots);
        self.max_share().min(by_load)
    }
}
