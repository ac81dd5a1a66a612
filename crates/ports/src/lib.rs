//! Interfaces between savorykeel's node and the systems around it.
//!
//! Each port is a trait with async methods, so that the call path and the control loops run
//! the same code over the network and over the fakes of a test. The futures are not `Send`,
//! because each worker thread has its own runtime.

pub mod backend;
pub mod clock;
pub mod desired;
pub mod edge;
pub mod log;
pub mod peer;
