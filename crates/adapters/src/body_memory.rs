//! Memory for the bodies of requests and answers that a node holds.
//!
//! Each message is bounded by itself, but many large bodies at once, or backend servers
//! that send bytes without end, would add up to more memory than an instance has. The
//! bodies of a node therefore share one budget. See `docs/design/0017-body-memory.md`.

use std::sync::{
    Arc,
    atomic::{AtomicIsize, Ordering},
};

/// A budget of bytes that all threads of a node share.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    /// Bytes that aren't reserved: of the whole budget first, then of parts of it, each within
    /// the one before. Negative while more is held than the budget allows.
    available: Vec<Arc<AtomicIsize>>,
}

/// Bytes reserved for one body; they are given back when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    /// Bytes of the body that don't count.
    free: usize,
    reserved: usize,
}

impl BodyMemory {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self { available: vec![Arc::new(AtomicIsize::new(signed(bytes)))] }
    }

    /// Returns a part of the budget: what is reserved from it also takes from the whole, and is
    /// at most `bytes`.
    #[must_use]
    pub fn part(&self, bytes: usize) -> Self {
        let mut available = self.available.clone();
        available.push(Arc::new(AtomicIsize::new(signed(bytes))));
        Self { available }
    }

    /// Returns the bytes that aren't reserved.
    pub fn available(&self) -> usize {
        let bytes = self.available.iter().map(|available| available.load(Ordering::Relaxed));
        usize::try_from(bytes.min().unwrap_or(0)).unwrap_or(0)
    }

    /// Returns an empty reservation for a body whose first `free` bytes don't count, so that
    /// small bodies are never refused because of large ones.
    pub fn reservation(&self, free: usize) -> BodyReservation {
        BodyReservation { memory: self.clone(), free, reserved: 0 }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let bytes = signed(bytes);
        let take = |available: isize| (bytes == 0 || available >= bytes).then(|| available - bytes);
        for (i, available) in self.available.iter().enumerate() {
            if available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_err() {
                give_back(&self.available[..i], bytes);
                return false;
            }
        }
        true
    }
}

fn signed(bytes: usize) -> isize {
    isize::try_from(bytes).unwrap_or(isize::MAX)
}

fn give_back(available: &[Arc<AtomicIsize>], bytes: isize) {
    for available in available {
        available.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl BodyReservation {
    /// Reserves memory for a body of `length` bytes in total; returns whether there is
    /// enough. A reservation never shrinks.
    #[must_use]
    pub fn grow_to(&mut self, length: usize) -> bool {
        let needed = length.saturating_sub(self.free);
        let more = needed.saturating_sub(self.reserved);
        let has_room = self.memory.try_take(more);
        if has_room {
            self.reserved += more;
        }
        has_room
    }

    /// Reserves memory for a body of `length` bytes that is held already, whether there is room
    /// or not, so that others learn of it.
    pub fn hold(&mut self, length: usize) {
        let needed = length.saturating_sub(self.free);
        let more = needed.saturating_sub(self.reserved);
        give_back(&self.memory.available, -signed(more));
        self.reserved += more;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        give_back(&self.memory.available, signed(self.reserved));
    }
}
