//! Times of the last contact with other nodes.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use savorykeel_policy::{ids::InstanceName, membership::members::MAX_MEMBERS, time::Tick};

/// Time of the last message or reply received from each node.
#[derive(Debug, Default)]
pub(super) struct LastContact {
    times: BTreeMap<InstanceName, Tick>,
}

/// The times of the last contact, shared by the message handler and the loops.
pub(super) type SharedLastContact = Arc<Mutex<LastContact>>;

impl LastContact {
    /// Records a contact with a node; at most [`MAX_MEMBERS`] nodes are recorded.
    pub(super) fn record(shared: &SharedLastContact, instance: &InstanceName, now: Tick) {
        let mut last_contact = shared.lock();
        if let Some(at) = last_contact.times.get_mut(instance) {
            *at = now;
        } else if last_contact.times.len() < MAX_MEMBERS {
            last_contact.times.insert(instance.clone(), now);
        }
    }

    /// Returns the time of the last contact with a node.
    pub(super) fn time_of(shared: &SharedLastContact, instance: &InstanceName) -> Option<Tick> {
        shared.lock().times.get(instance).copied()
    }

    /// Removes every node for which `keep` returns false.
    pub(super) fn retain(shared: &SharedLastContact, keep: impl Fn(&InstanceName) -> bool) {
        shared.lock().times.retain(|instance, _| keep(instance));
    }
}
