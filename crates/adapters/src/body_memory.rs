//! Memory for the bodies of requests and answers that a node holds.
//!
//! Each message is bounded by itself, but many large bodies at once, or backend servers
//! that send bytes without end, would add up to more memory than an instance has. The
//! bodies of a node therefore share one budget. See `docs/design/0017-body-memory.md`.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A budget of bytes that all threads of a node share.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    /// Bytes that aren't reserved: of the whole budget first, then of parts of it, each within
    /// the one before.
    available: Vec<Arc<AtomicUsize>>,
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
        Self { available: vec![Arc::new(AtomicUsize::new(bytes))] }
    }

    /// Returns a part of the budget: what is reserved from it also takes from the whole, and is
    /// at most `bytes`.
    #[must_use]
    pub fn part(&self, bytes: usize) -> Self {
        let mut available = self.available.clone();
        available.push(Arc::new(AtomicUsize::new(bytes)));
        Self { available }
    }

    /// Returns the bytes that aren't reserved.
    pub fn available(&self) -> usize {
        let bytes = self.available.iter().map(|available| available.load(Ordering::Relaxed));
        bytes.min().unwrap_or(0)
    }

    /// Returns an empty reservation for a body whose first `free` bytes don't count, so that
    /// small bodies are never refused because of large ones.
    pub fn reservation(&self, free: usize) -> BodyReservation {
        BodyReservation { memory: self.clone(), free, reserved: 0 }
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |available: usize| available.checked_sub(bytes);
        for (i, available) in self.available.iter().enumerate() {
            if available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_err() {
                give_back(&self.available[..i], bytes);
                return false;
            }
        }
        true
    }
}

fn give_back(available: &[Arc<AtomicUsize>], bytes: usize) {
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
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        give_back(&self.memory.available, self.reserved);
    }
}
