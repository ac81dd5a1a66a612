//! Serialized form of an answer that is stored in the ledger.
//!
//! A repeated request with the same idempotency key gets the stored answer.

use std::sync::Arc;

use savorykeel_ports::peer::{Header, HttpAnswer};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct StoredHeader {
    name: String,
    value: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    headers: Vec<StoredHeader>,
    body: Vec<u8>,
}

/// Encodes an answer; returns `None` if it can't be serialized.
pub(crate) fn encode(answer: &HttpAnswer) -> Option<Arc<[u8]>> {
    let to_stored =
        |header: &Header| StoredHeader { name: header.name.clone(), value: header.value.clone() };
    let stored = StoredAnswer {
        status: answer.status,
        headers: answer.headers.iter().map(to_stored).collect(),
        body: answer.body.clone(),
    };
    postcard::to_stdvec(&stored).ok().map(Into::into)
}

/// Decodes a stored answer; returns `None` if the bytes are malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<HttpAnswer> {
    let stored: StoredAnswer = postcard::from_bytes(bytes).ok()?;
    let restore = |header: StoredHeader| Header { name: header.name, value: header.value };
    let headers = stored.headers.into_iter().map(restore).collect();
    Some(HttpAnswer { status: stored.status, headers, body: stored.body, missing: 0 })
}
