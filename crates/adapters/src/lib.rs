//! HTTP, RPC, metrics and logging behind savorykeel's ports.

pub mod backend;
pub mod body_memory;
pub mod http1;
pub mod listener;
pub mod log;
pub mod logging;
pub mod metrics;
pub mod peer;

#[allow(missing_docs, unused_qualifications, clippy::all, clippy::unimplemented)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;
