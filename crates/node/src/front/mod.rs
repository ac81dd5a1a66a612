//! Accepts connections and serves them on the worker threads.
//!
//! The node accepts connections itself rather than through the HTTP server, because
//! a graceful shutdown first has to stop accepting, then answer the requests of
//! accepted connections, and only then close them. See
//! `docs/design/0012-graceful-shutdown.md`.

mod acceptor;
mod connection;
mod intake;
mod pacing;
mod protocol;
mod send;
mod service;

pub(crate) use acceptor::{Accepted, Acceptor, Origin};
pub(crate) use service::{http_config, serve};
