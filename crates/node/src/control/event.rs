//! What the handler of messages leaves to the control loops.

use savorykeel_policy::{config::fold::Position, ids::InstanceName, membership::rings::Contact};

/// Something that a control loop has to act on.
#[derive(Debug, Clone)]
pub enum Event {
    /// These members changed; neighbours have to hear of it.
    MembersChanged {
        /// Names of the members.
        members: Vec<InstanceName>,
        /// The node that told of it, which need not hear it again.
        source: Option<InstanceName>,
    },
    /// The fold went on; neighbours have to hear of it.
    FoldAdvanced,
    /// Another node holds a newer configuration.
    NewerConfiguration {
        /// The other node.
        holder: Contact,
        /// Its position.
        position: Position,
        /// Whether it is in the availability zone of this node.
        in_own_zone: bool,
    },
    /// Another node's membership table differs.
    MembersDiffer(Contact),
}
