//! The node's own backend server, as described by its announcements.

pub mod announcement;
pub mod concurrency;
pub mod rate;
pub mod tracker;
pub mod warm_up;
