//! The peer port over Cap'n Proto RPC.
//!
//! The messages are in `schema/peer.capnp`; how links are kept and when one
//! counts as silent is in `docs/design/0011-peer-protocol.md`.

mod client;
mod compressed;
mod decode;
mod encode;
mod link;
mod server;

pub use client::{LinkSettings, RpcLinks};
pub use compressed::{CompressedReader, CompressedWriter};
pub use server::{PeerHandler, serve_connection};

/// Largest RPC message, in 8-byte words: a whole answer and its headers.
const MAX_MESSAGE_WORDS: usize = (20 << 20) / 8;

fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}
