//! Failure detection: when an unanswered probe makes a node suspect, and how
//! often one node may be suspected.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::InstanceName, time::Tick};

/// Time between two probes of one node by one watcher.
pub const PROBE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time within which a probe has to be answered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of [`evaluate_probe`] for a probe that wasn't answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// Another watcher had contact with the node after the probe was sent.
    ReachedByOthers,
    /// No watcher had contact with the node since the probe was sent.
    Suspect,
}

/// Evaluates an unanswered probe against the reports of the node's other watchers.
///
/// `last_contact_ago` has, for each watcher that was asked, the time since its last
/// contact with the node, or `None` if it had none or didn't reply.
pub fn evaluate_probe(
    sent_at: Tick,
    now: Tick,
    last_contact_ago: impl IntoIterator<Item = Option<Duration>>,
) -> ProbeVerdict {
    let since_probe = now.since(sent_at);
    let is_after_probe = |ago: Option<Duration>| ago.is_some_and(|ago| ago < since_probe);
    if last_contact_ago.into_iter().any(is_after_probe) {
        ProbeVerdict::ReachedByOthers
    } else {
        ProbeVerdict::Suspect
    }
}

/// Shortest time between two suspicions of one node by one watcher, before any
/// doubling.
const MIN_SUSPICION_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of times that [`MIN_SUSPICION_INTERVAL`] is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Time since the last suspicion of a node after which the interval starts again
/// at [`MIN_SUSPICION_INTERVAL`].
const SUSPICION_RESET_AFTER: Duration = Duration::from_secs(120);

/// Exponential back-off of repeated suspicions of one node.
///
/// A node that some watchers reach and others don't refutes each suspicion. Every
/// such round sends updates to the whole fleet, so each watcher doubles the time
/// until it suspects the node again.
#[derive(Debug, Default)]
pub struct SuspicionBackoff {
    suspicions: BTreeMap<InstanceName, SuspicionHistory>,
}

#[derive(Debug, Default)]
struct SuspicionHistory {
    last: Tick,
    doublings: u32,
}

impl SuspicionBackoff {
    /// Returns whether a watcher may suspect a node now, and records the suspicion
    /// if so.
    pub fn admit(&mut self, instance: &InstanceName, now: Tick) -> bool {
        self.suspicions.retain(|_, history| now.since(history.last) < SUSPICION_RESET_AFTER);
        let Some(history) = self.suspicions.get_mut(instance) else {
            self.suspicions.insert(instance.clone(), SuspicionHistory { last: now, doublings: 0 });
            return true;
        };
        if now.since(history.last) < MIN_SUSPICION_INTERVAL * 2_u32.pow(history.doublings) {
            return false;
        }
        history.last = now;
        history.doublings = (history.doublings + 1).min(MAX_DOUBLINGS);
        true
    }
}
