//! The form in which an answer is kept in the ledger.

use std::sync::Arc;

use savorykeel_ports::peer::{Header, HttpAnswer};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct KeptHeader {
    name: String,
    value: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct KeptAnswer {
    status: u16,
    headers: Vec<KeptHeader>,
    body: Vec<u8>,
}

/// Returns an answer as it is kept.
pub(crate) fn encode(answer: &HttpAnswer) -> Option<Arc<[u8]>> {
    let keep =
        |header: &Header| KeptHeader { name: header.name.clone(), value: header.value.clone() };
    let kept = KeptAnswer {
        status: answer.status,
        headers: answer.headers.iter().map(keep).collect(),
        body: answer.body.clone(),
    };
    postcard::to_stdvec(&kept).ok().map(Into::into)
}

/// Returns the answer that was kept.
pub(crate) fn decode(bytes: &[u8]) -> Option<HttpAnswer> {
    let kept: KeptAnswer = postcard::from_bytes(bytes).ok()?;
    let restore = |header: KeptHeader| Header { name: header.name, value: header.value };
    let headers = kept.headers.into_iter().map(restore).collect();
    Some(HttpAnswer { status: kept.status, headers, body: kept.body })
}
