//! The part of the demo about client accounts: a request without a key, and requests above the
//! account's quota.

use std::net::SocketAddr;

use savorykeel_standins::caller::{Client, Request};

use super::{
    configuration::{ACCOUNT, ACCOUNT_KEY, QUOTA_BURST, QUOTA_RATE, RECORDS_PATH},
    transcript::Transcript,
};

/// Requests that are sent at once, several times what the quota allows.
const REQUESTS: usize = 80;

/// Sends requests without and with the account's key and checks the answers.
pub(super) fn check(transcript: &mut Transcript, entries: &[SocketAddr]) -> anyhow::Result<()> {
    let client = Client::start()?;
    let without_key = client.call(entries[0], Request::get(RECORDS_PATH))?;
    let text = format!("a request without a key is answered with {}", without_key.status);
    transcript.check(without_key.status == 401, text);
    let with_key =
        || Request::get(RECORDS_PATH).header("Authorization", format!("Bearer {ACCOUNT_KEY}"));
    let entries = entries.iter().cycle().take(REQUESTS);
    let pending: Vec<_> = entries.map(|entry| client.send(*entry, with_key())).collect();
    let replies = pending.into_iter().map(|call| call.wait()).collect::<Result<Vec<_>, _>>()?;
    let count = |status: u16| replies.iter().filter(|reply| reply.status == status).count();
    let (answered, refused) = (count(200), count(429));
    let text = format!(
        "account {ACCOUNT} may send {QUOTA_RATE} requests a second and {QUOTA_BURST} at once: of \
         {REQUESTS} at once, {answered} are answered and {refused} get 429"
    );
    transcript.check(answered > 0 && refused > 0 && answered + refused == REQUESTS, text);
    Ok(())
}
