//! When a probe that wasn't answered makes a node suspect.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::InstanceName, time::Tick};

/// Time between two probes of one node.
pub const PROBE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time within which a probe must be answered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a watcher concludes from a probe that wasn't answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// Another watcher heard from the node after the probe was sent.
    ReachedByOthers,
    /// No watcher heard from it since.
    Suspect,
}

/// Weighs what the other watchers of a node report.
///
/// `last_contact_ago` holds, for each watcher that replied, the time since it last
/// heard from the node itself.
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

/// Shortest time between two suspicions of one node by one watcher.
const MIN_SUSPICION_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of times that the time between two suspicions doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Time after which earlier suspicions of a node no longer count.
const SUSPICION_RESET_AFTER: Duration = Duration::from_secs(120);

/// Slows down repeated suspicions of one node.
///
/// A node that some reach and others don't refutes each suspicion; every round
/// is news for the whole fleet, so each watcher repeats it more and more seldom.
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
    /// Tells whether a watcher may suspect a node now, and counts it if so.
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
