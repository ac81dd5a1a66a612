//! When other nodes were last heard from.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use savorykeel_policy::{ids::InstanceName, membership::members::MAX_MEMBERS, time::Tick};

/// The last sign of life of each node, by its own message or reply.
#[derive(Debug, Default)]
pub(super) struct LastContact {
    times: BTreeMap<InstanceName, Tick>,
}

/// Heard times, shared by the handler and the loops.
pub(super) type SharedLastContact = Arc<Mutex<LastContact>>;

impl LastContact {
    /// Notes a sign of life.
    pub(super) fn record(shared: &SharedLastContact, instance: &InstanceName, now: Tick) {
        let mut last_contact = shared.lock();
        if let Some(at) = last_contact.times.get_mut(instance) {
            *at = now;
        } else if last_contact.times.len() < MAX_MEMBERS {
            last_contact.times.insert(instance.clone(), now);
        }
    }

    /// Returns the time of the last sign of life.
    pub(super) fn time_of(shared: &SharedLastContact, instance: &InstanceName) -> Option<Tick> {
        shared.lock().times.get(instance).copied()
    }

    /// Forgets every node that `keep` doesn't name.
    pub(super) fn retain(shared: &SharedLastContact, keep: impl Fn(&InstanceName) -> bool) {
        shared.lock().times.retain(|instance, _| keep(instance));
    }
}
