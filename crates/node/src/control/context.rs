//! Context, mode and periods of the control loops.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use savorykeel_adapters::metrics::Metrics;
use savorykeel_policy::membership::failure::UnansweredProbes;
use serde::{Deserialize, Serialize};

use super::state::ControlState;

/// How configuration reaches the node.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ControlMode {
    /// A few nodes of each availability zone read the log; the others receive the
    /// configuration from their neighbours.
    #[default]
    Gossip,
    /// Every node reads the log. This mode is the baseline of benchmarks.
    Poll,
}

/// Periods of the control loops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlTimes {
    /// Longest time for which a read of the log waits for records.
    pub log_wait: Duration,
    /// Wait after the first failed read of the log, before jitter; it grows with
    /// each failure in a row.
    pub log_retry: Duration,
    /// Maximum age of the newest checkpoint; a new one is written before that.
    pub checkpoint: Duration,
    /// Time after which a presence record is stale and has to be appended again.
    pub presence: Duration,
    /// Longest random delay of a starting node before it reads the presence stream.
    pub start_jitter: Duration,
    /// Time since the start after which a node that hasn't recovered reads the log
    /// itself.
    pub isolation_timeout: Duration,
}

impl Default for ControlTimes {
    fn default() -> Self {
        Self {
            log_wait: Duration::from_secs(1),
            log_retry: Duration::from_millis(500),
            checkpoint: Duration::from_secs(300),
            presence: Duration::from_secs(60),
            start_jitter: Duration::from_millis(500),
            isolation_timeout: Duration::from_secs(3),
        }
    }
}

/// State and connections shared by the control loops, which run on one thread.
pub struct ControlContext<L, P> {
    /// The state that other threads read.
    pub state: Arc<ControlState>,
    /// The log service.
    pub log: L,
    /// Links to other nodes, separate from those of calls. Probes detect their
    /// failures, so they need only infrequent heartbeats.
    pub links: P,
    /// Closes the link to a node, so that the next message opens a new one.
    pub reset_link: Rc<dyn Fn(SocketAddr)>,
    /// Watched nodes that don't answer.
    pub unanswered: RefCell<UnansweredProbes>,
    /// Where metrics go.
    pub metrics: Metrics,
    /// How configuration reaches the node.
    pub mode: ControlMode,
    /// Periods of the loops.
    pub times: ControlTimes,
}
