//! A value that is derived from the membership table and kept until the table changes.

use std::sync::Arc;

use parking_lot::Mutex;
use savorykeel_policy::membership::members::Members;

/// A derived value and the revision of the members from which it was computed.
#[derive(Debug, Default)]
pub(super) struct Derived<T> {
    cached: Mutex<(u64, Arc<T>)>,
}

impl<T> Derived<T> {
    /// Returns the value, computed again if the members have changed since the last call.
    pub(super) fn get(&self, members: &Members, compute: impl FnOnce(&Members) -> T) -> Arc<T> {
        let mut cached = self.cached.lock();
        // The revision of a table is never zero, because it has the entry of its own node.
        if cached.0 != members.revision() {
            *cached = (members.revision(), Arc::new(compute(members)));
        }
        cached.1.clone()
    }
}
