//! HTTP, RPC, metrics and logging behind savorykeel's ports.

pub mod logging;
pub mod metrics;
