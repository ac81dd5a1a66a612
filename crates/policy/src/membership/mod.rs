//! Membership of the mesh: which nodes exist, and the record that each of them
//! publishes about itself.
//!
//! `docs/design/0003-membership.md` explains the design.

pub mod drain_memory;
pub mod entry;
pub mod failure;
pub mod members;
pub mod merge;
pub mod quorum;
pub mod rings;
