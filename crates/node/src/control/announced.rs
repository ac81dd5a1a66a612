//! Nodes that have announced themselves in the log and that this node may not have heard of.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use parking_lot::Mutex;
use savorykeel_policy::ids::InstanceName;

/// Nodes that have announced themselves in the log, until the membership table is known to be
/// complete.
///
/// A node that starts behind a partition knows the others from there only.
#[derive(Debug, Default)]
pub(crate) struct AnnouncedNodes {
    names: Mutex<Arc<BTreeSet<InstanceName>>>,
    are_members_known: AtomicBool,
}

impl AnnouncedNodes {
    /// Returns the nodes; none once the membership table is known to be complete.
    pub(crate) fn unheard(&self) -> Arc<BTreeSet<InstanceName>> {
        self.names.lock().clone()
    }

    /// Records the nodes that the log names.
    pub(super) fn record(&self, names: BTreeSet<InstanceName>) {
        if !self.are_members_known() {
            *self.names.lock() = Arc::new(names);
        }
    }

    /// Records that the membership table equals that of a node that has recovered. It then has
    /// each node of the log that hasn't left.
    pub(super) fn confirm_members(&self) {
        if !self.are_members_known.swap(true, Ordering::AcqRel) {
            *self.names.lock() = Arc::default();
        }
    }

    /// Returns whether the membership table was once known to be complete.
    pub(super) fn are_members_known(&self) -> bool {
        self.are_members_known.load(Ordering::Acquire)
    }
}
