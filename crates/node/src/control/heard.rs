//! When other nodes were last heard from.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use savorykeel_policy::{ids::InstanceName, membership::members::MAX_MEMBERS, time::Tick};

/// The last sign of life of each node, by its own message or reply.
#[derive(Debug, Default)]
pub(super) struct Heard {
    last: BTreeMap<InstanceName, Tick>,
}

/// Heard times, shared by the handler and the loops.
pub(super) type SharedHeard = Arc<Mutex<Heard>>;

impl Heard {
    /// Notes a sign of life.
    pub(super) fn note(shared: &SharedHeard, instance: &InstanceName, now: Tick) {
        let mut heard = shared.lock();
        if let Some(at) = heard.last.get_mut(instance) {
            *at = now;
        } else if heard.last.len() < MAX_MEMBERS {
            heard.last.insert(instance.clone(), now);
        }
    }

    /// Returns the time of the last sign of life.
    pub(super) fn at(shared: &SharedHeard, instance: &InstanceName) -> Option<Tick> {
        shared.lock().last.get(instance).copied()
    }

    /// Forgets every node that `keep` doesn't name.
    pub(super) fn retain(shared: &SharedHeard, keep: impl Fn(&InstanceName) -> bool) {
        shared.lock().last.retain(|instance, _| keep(instance));
    }
}
