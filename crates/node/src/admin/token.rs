//! Checks the bearer token of requests that write.

use std::{fs, io, path::Path};

use ntex::http::header::{AUTHORIZATION, HeaderMap};

/// Shortest length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Reason for which a request may not write.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Denied {
    /// The settings name no token file.
    #[error("operators.token_file is not set on this node, so that it takes no writes")]
    Disabled,
    /// The token file can't be read.
    #[error("the token file can't be read: {0}")]
    Unreadable(#[from] io::Error),
    /// The token in the token file is too short to be safe.
    #[error("the token in the token file is shorter than {MIN_TOKEN_BYTES} bytes")]
    TooShort,
    /// The request contains no bearer token.
    #[error("send the header Authorization: Bearer TOKEN")]
    Missing,
    /// The request contains another token.
    #[error("the bearer token is wrong")]
    Wrong,
}

/// Checks that a request contains the token that is in `file` now.
///
/// The file is read for each write, so that a new token takes effect without a
/// restart; writes are rare.
pub(crate) fn check(file: Option<&Path>, headers: &HeaderMap) -> Result<(), Denied> {
    let file = file.ok_or(Denied::Disabled)?;
    let text = fs::read_to_string(file)?;
    let expected = text.trim();
    if expected.len() < MIN_TOKEN_BYTES {
        return Err(Denied::TooShort);
    }
    let header = headers.get(AUTHORIZATION).ok_or(Denied::Missing)?;
    let presented = header.to_str().ok().and_then(|value| value.strip_prefix("Bearer "));
    let presented = presented.ok_or(Denied::Missing)?;
    if is_equal(presented.trim().as_bytes(), expected.as_bytes()) {
        Ok(())
    } else {
        Err(Denied::Wrong)
    }
}

/// Compares in constant time for texts of equal length, so that the time taken doesn't
/// reveal where they differ.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
}
