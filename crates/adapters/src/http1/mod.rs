//! An HTTP/1.1 client connection for one exchange at a time.
//!
//! The HTTP library's client hides what a node has to know about the connection
//! to a backend server: whether the request was sent whole, whether bytes came
//! that belong to no request, and whether an answer without a length ended or
//! broke off. So the connection is driven here, on the parser library; see
//! `docs/design/0013-platform.md`.

mod connection;
mod framing;
mod head;

pub use connection::{
    ConnectOptions, Connection, Exchange, ExchangeError, IncomingResponse, OutgoingRequest,
};
pub use framing::Framing;
pub use head::{MalformedHead, ResponseHead};
