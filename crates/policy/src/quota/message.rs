//! Messages between entry nodes and quota owners.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::AccountName;

/// Largest number of accounts in one message.
pub const MAX_ASKS: usize = 256;

/// A request for tokens of one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The account.
    pub account: AccountName,
    /// Requests that wait for a token.
    pub needed: u32,
    /// Further requests that are expected before the tokens expire.
    pub in_advance: u32,
}

/// A batch of requests for tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asks(pub Vec<Ask>);

/// Answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of tokens; fewer than needed if the quota is used up.
    pub tokens: u32,
    /// Time for which asking again is of no use; zero if all needed tokens were granted.
    pub pause: Duration,
    /// Time until there is room for one more request.
    pub room_in: Duration,
}

impl Grant {
    /// Returns the answer that there is no token yet and that asking again is of use after `pause`.
    pub fn later(pause: Duration) -> Self {
        Self { tokens: 0, pause, room_in: pause }
    }
}

/// Answers to a batch, in its order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants(pub Vec<Grant>);
