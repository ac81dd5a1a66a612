//! Connections from outside: accepted here, served by the workers.
//!
//! The node accepts connections itself rather than through the HTTP server,
//! because a graceful shutdown has to stop accepting first, answer what was
//! accepted and only then close; see `docs/design/0012-graceful-shutdown.md`.

mod acceptor;
mod connection;
mod protocol;
mod service;

pub(crate) use acceptor::{Accepted, Acceptor, Origin};
pub(crate) use service::{http_config, serve};
