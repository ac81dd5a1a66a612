//! Interfaces between savorykeel's node and the systems around it.
//!
//! Each port is a trait with associated types, so that the call path and the
//! control loops run alike over the network and over the fakes of a test. The
//! futures stay on one thread, because the runtime is per-thread.

pub mod backend;
pub mod clock;
pub mod desired;
pub mod edge;
pub mod log;
pub mod peer;
