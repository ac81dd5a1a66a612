//! The backend server beside a node, as its announcements describe it.

pub mod announcement;
pub mod tracker;
