//! Which nodes exist and what each of them says of itself.
//!
//! The reasons are in `docs/design/0003-membership.md`.

pub mod entry;
pub mod failure;
pub mod members;
pub mod merge;
pub mod rings;
