//! Parsing of response heads.

use std::{ops::RangeInclusive, time::Duration};

use savorykeel_ports::peer::Header;

use super::framing::Framing;

/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Statuses of the classes that HTTP defines. Callers can't tell what another one means.
const DEFINED_STATUSES: RangeInclusive<u16> = 100..=599;

/// A response head that violates HTTP/1.1.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed HTTP/1.1 response head: {0}")]
pub struct MalformedHead(String);

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers in order, names in lower case.
    pub headers: Vec<Header>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the server closes the connection after the response.
    pub closes_connection: bool,
    /// Time for which the server keeps an idle connection, if it states one.
    pub idle_timeout: Option<Duration>,
}

/// A parsed head and its length in bytes.
pub(super) struct ParsedHead {
    pub(super) head: ResponseHead,
    pub(super) length: usize,
}

/// Parses the head at the front of `buf`; none if it isn't complete yet.
///
/// `is_bodiless` states that the response to this request has no body.
pub(super) fn parse(buf: &[u8], is_bodiless: bool) -> Result<Option<ParsedHead>, MalformedHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD_BYTES => {
            return Err(MalformedHead(format!("larger than {MAX_HEAD_BYTES} bytes")));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(MalformedHead(e.to_string())),
    };
    let status = response.code.unwrap_or_default();
    if !DEFINED_STATUSES.contains(&status) {
        return Err(MalformedHead(format!("status {status:03} belongs to no class")));
    }
    let is_http_1_0 = response.version == Some(0);
    let headers: Vec<Header> = response.headers.iter().map(to_header).collect();
    if status < 200 && headers.iter().any(states_body) {
        return Err(MalformedHead(format!("interim status {status} with a body")));
    }
    let framing = Framing::of_response(status, &headers, is_bodiless).map_err(MalformedHead)?;
    let head = ResponseHead {
        status,
        framing,
        closes_connection: closes_connection(&headers, is_http_1_0)
            || framing == Framing::UntilClose,
        idle_timeout: idle_timeout(&headers),
        headers,
    };
    Ok(Some(ParsedHead { head, length }))
}

impl ResponseHead {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|header| header.name == name).map(|header| &header.value[..])
    }
}

fn to_header(header: &httparse::Header<'_>) -> Header {
    Header { name: header.name.to_ascii_lowercase(), value: header.value.to_vec() }
}

/// Returns whether a header belongs to a response with a body.
///
/// An interim response can't have one (RFC 9110, sections 8.6 and 15.2); a server that sends
/// such a header means the response as its final one.
fn states_body(header: &Header) -> bool {
    matches!(&header.name[..], "content-length" | "transfer-encoding")
}

fn closes_connection(headers: &[Header], is_http_1_0: bool) -> bool {
    let mut connection_headers = headers.iter().filter(|header| header.name == "connection");
    let contains_token = |value: &[u8], token: &[u8]| {
        value.split(|c| *c == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
    };
    if is_http_1_0 {
        return !connection_headers.any(|header| contains_token(&header.value, b"keep-alive"));
    }
    connection_headers.any(|header| contains_token(&header.value, b"close"))
}

/// Returns the `timeout` of a `Keep-Alive` header, which is in whole seconds.
fn idle_timeout(headers: &[Header]) -> Option<Duration> {
    let header = headers.iter().find(|header| header.name == "keep-alive")?;
    let value = std::str::from_utf8(&header.value).ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
