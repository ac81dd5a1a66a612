//! The form in which an answer is kept in the ledger.

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

/// Returns an answer as it is kept.
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

/// Returns the answer that was kept.
pub(crate) fn decode(bytes: &[u8]) -> Option<HttpAnswer> {
    let stored: StoredAnswer = postcard::from_bytes(bytes).ok()?;
    let restore = |header: StoredHeader| Header { name: header.name, value: header.value };
    let headers = stored.headers.into_iter().map(restore).collect();
    Some(HttpAnswer { status: stored.status, headers, body: stored.body })
}
