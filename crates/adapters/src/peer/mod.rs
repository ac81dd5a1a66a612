//! The peer port over Cap'n Proto RPC.
//!
//! The messages are defined in `schema/peer.capnp`. `docs/design/0011-peer-protocol.md`
//! describes how links are maintained and when one counts as silent.

mod client;
mod compressed;
mod counted;
mod decode;
mod encode;
mod link;
mod server;

pub use client::{ByteCounterOf, LinkEvent, LinkObserver, LinkSettings, RpcLinks};
pub use compressed::{CompressedReader, CompressedWriter};
pub use server::{PeerHandler, serve_connection};

/// Maximum size of an RPC message in 8-byte words: a complete answer with its headers.
const MAX_MESSAGE_WORDS: usize = (20 << 20) / 8;

fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}
