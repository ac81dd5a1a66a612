//! When a probe that wasn't answered makes a node suspect.

use std::time::Duration;

use crate::time::Tick;

/// Time between two probes of one node.
pub const PROBE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time within which a probe must be answered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a watcher concludes from a probe that wasn't answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// Another watcher heard from the node after the probe was sent.
    ReachedByOthers,
    /// No watcher heard from it since.
    Suspect,
}

/// Weighs what the other watchers of a node report.
///
/// `heard_ago` holds, for each watcher that replied, the time since it last
/// heard from the node itself.
pub fn conclude(
    sent_at: Tick,
    now: Tick,
    heard_ago: impl IntoIterator<Item = Option<Duration>>,
) -> Conclusion {
    let since_probe = now.since(sent_at);
    let is_later = |ago: Option<Duration>| ago.is_some_and(|ago| ago < since_probe);
    if heard_ago.into_iter().any(is_later) {
        Conclusion::ReachedByOthers
    } else {
        Conclusion::Suspect
    }
}
