//! Failure detection: when an unanswered probe makes a node suspect, how often one node
//! may be suspected, and when a node stops relying on others because many are silent.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::InstanceName, time::Tick};

use super::rings::Contact;

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

/// How many of the nodes that a node probes don't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Silence {
    /// At most half of them.
    Few,
    /// More than half.
    Most,
    /// All, as on a node that is cut off from the others.
    All,
}

/// Number of watched nodes without an answer from which a node reads the log itself.
const SILENT_NODES_TO_READ: usize = 2;

/// Time for which an unanswered probe counts. By then failure detection has ended and other
/// nodes have taken over the roles of those that are lost.
const UNANSWERED_LIFETIME: Duration = Duration::from_secs(3);

/// Watched nodes that didn't answer their last probe.
///
/// Many nodes may be lost at the same moment, all readers of the log in an availability zone
/// among them. Their roles are taken over only once they are suspected, which takes two
/// probes and the reports of other watchers, and longer where those are lost as well. A node
/// that misses the answers of several watched nodes therefore reads the log itself until
/// failure detection has ended; see `docs/design/0002-configuration.md`.
#[derive(Debug, Default)]
pub struct UnansweredProbes {
    sent_at: BTreeMap<InstanceName, Tick>,
}

impl UnansweredProbes {
    /// Records that a probe sent at `sent_at` wasn't answered in time.
    pub fn record_silence(&mut self, instance: &InstanceName, sent_at: Tick) {
        self.sent_at.retain(|_, other| sent_at.since(*other) < UNANSWERED_LIFETIME);
        self.sent_at.insert(instance.clone(), sent_at);
    }

    /// Records that a node answered.
    pub fn record_answer(&mut self, instance: &InstanceName) {
        self.sent_at.remove(instance);
    }

    /// Returns whether so many of the watched nodes, whose number `watched` returns, are
    /// silent that the readers of the log may be lost. In small fleets, fewer nodes are
    /// watched, and all of them have to be silent.
    pub fn are_many(&self, watched: impl FnOnce() -> usize, now: Tick) -> bool {
        let is_recent = |sent_at: &&Tick| now.since(**sent_at) < UNANSWERED_LIFETIME;
        let silent = self.sent_at.values().filter(is_recent).count();
        silent > 0 && silent >= watched().min(SILENT_NODES_TO_READ)
    }

    /// Returns how many of the watched nodes are silent.
    ///
    /// Nodes that were watched until they were found unreachable count too. On a node that is cut
    /// off, those that it watches in their place haven't had the time to be silent.
    pub fn silence(&self, watched: impl FnOnce() -> Vec<Contact>, now: Tick) -> Silence {
        let is_recent = |sent_at: &Tick| now.since(*sent_at) < UNANSWERED_LIFETIME;
        let silent = self.sent_at.values().filter(|sent_at| is_recent(sent_at)).count();
        if silent == 0 {
            return Silence::Few;
        }
        let watched = watched();
        let is_silent =
            |contact: &Contact| self.sent_at.get(&contact.instance).is_some_and(is_recent);
        if !watched.is_empty() && watched.iter().all(is_silent) {
            return Silence::All;
        }
        if 2 * silent > watched.len() { Silence::Most } else { Silence::Few }
    }
}
