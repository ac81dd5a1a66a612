//! What the control loops work with.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use savorykeel_adapters::metrics::Metrics;
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
    /// A few nodes of each availability zone read the log and the others hear
    /// of it from their neighbours.
    #[default]
    Gossip,
    /// Every node reads the log; it serves as the baseline of measurements.
    Poll,
}

/// Periods of the control loops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlTimes {
    /// How long a read of the log waits for records.
    pub log_wait: Duration,
    /// Time after a failed read of the log, before jitter.
    pub log_retry: Duration,
    /// Time for which a checkpoint is good; an older one is written anew.
    pub checkpoint: Duration,
    /// Time after which a presence record is appended anew.
    pub presence: Duration,
    /// Longest random delay of a starting node before it asks the log.
    pub start_jitter: Duration,
    /// Time after which a node that can't recover from others reads the log.
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

/// What the control loops work with; it stays on one thread.
pub struct ControlContext<L, P> {
    /// What other threads read.
    pub state: Arc<ControlState>,
    /// The log service.
    pub log: L,
    /// Links to other nodes, apart from those of calls: probes watch them, so
    /// they need heartbeats only seldom.
    pub links: P,
    /// Closes the link to a node, so that the next message opens a new one.
    pub reset_link: Rc<dyn Fn(SocketAddr)>,
    /// Where metrics go.
    pub metrics: Metrics,
    /// How configuration reaches the node.
    pub mode: ControlMode,
    /// Periods of the loops.
    pub times: ControlTimes,
}
