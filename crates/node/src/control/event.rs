//! Events that the message handler leaves to the control loops.

use savorykeel_policy::{config::fold::Position, ids::InstanceName, membership::rings::Contact};

/// A change that a control loop has to act on.
#[derive(Debug, Clone)]
pub enum Event {
    /// These members changed; the neighbours have to be notified.
    MembersChanged {
        /// Names of the members.
        members: Vec<InstanceName>,
        /// The node that sent the change, which need not be notified of it.
        source: Option<InstanceName>,
    },
    /// The fold advanced; the neighbours have to be notified.
    FoldAdvanced,
    /// The store came back from an older copy; the other nodes have to be told.
    StoreReturned,
    /// The knowledge of evacuations changed; the other nodes have to be told.
    EvacuationsChanged,
    /// This node was paused; the other nodes have to be asked for their state.
    Resumed,
    /// Another node holds a newer configuration.
    NewerConfiguration {
        /// The other node, which holds the newer configuration.
        holder: Contact,
        /// Position of that node's fold.
        position: Position,
        /// Whether that node is in the availability zone of this node.
        in_own_zone: bool,
    },
    /// The membership table of another node differs from that of this node.
    MembersDiffer(Contact),
}
