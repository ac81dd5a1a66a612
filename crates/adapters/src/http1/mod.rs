//! An HTTP/1.1 client connection for one exchange at a time.
//!
//! The client of the HTTP library hides facts that a node needs about the connection to a
//! backend server: whether the request was sent completely, whether unexpected bytes were
//! received, and whether an answer without a length ended normally or was truncated. This
//! module therefore implements the connection itself, on top of a parser library; see
//! `docs/design/0013-platform.md`.

mod connection;
mod framing;
mod head;

pub use connection::{
    ConnectOptions, Connection, Exchange, ExchangeError, IncomingResponse, OutgoingRequest,
};
pub use framing::Framing;
pub use head::{MalformedHead, ResponseHead};
