//! Validation of client accounts.
//!
//! No message repeats a digest: an operator may have put a key in its place.

use std::collections::BTreeSet;

use crate::{
    accounts::{Account, Accounts, KeyDigest, Quota},
    ids::AccountName,
    refusal::Checker,
};

use super::{
    model::{LOWEST_PRIORITY, MAX_ACCOUNT_BURST, MAX_ACCOUNT_KEYS, MAX_ACCOUNT_RATE, MAX_ACCOUNTS},
    raw::RawAccount,
};

/// Checks the accounts and returns them; those that break a rule are reported to `checker`.
pub(super) fn check_accounts(checker: &mut Checker, raw: &[RawAccount]) -> Accounts {
    checker.bound(raw.len() <= MAX_ACCOUNTS, "accounts", || {
        format!("{} accounts: use at most {MAX_ACCOUNTS}", raw.len())
    });
    let mut accounts = Accounts::default();
    // Bounds the work and the number of messages for a list that is refused as a whole.
    let (accounts_read, keys_read) = match checker.is_accepted {
        true => (usize::MAX, usize::MAX),
        false => (MAX_ACCOUNTS, MAX_ACCOUNT_KEYS),
    };
    for (i, raw) in raw.iter().take(accounts_read).enumerate() {
        let path = format!("accounts[{i}]");
        let name = checker.parse_name::<AccountName>(&format!("{path}.name"), &raw.name);
        let keys = check_keys(checker, &path, raw, keys_read);
        let priority = check_priority(checker, &path, raw);
        let quota = check_quota(checker, &path, raw);
        let Some(name) = name else { continue };
        let earlier = accounts.by_name(&name).map(|earlier| Account::clone(earlier));
        checker.bound(earlier.is_none(), &format!("{path}.name"), || {
            format!("{:?} names two accounts: give each its own name", raw.name)
        });
        if earlier.is_some() && !checker.is_accepted {
            continue;
        }
        let digests: Vec<KeyDigest> = keys.iter().map(|(_, digest)| *digest).collect();
        let account = earlier.unwrap_or(Account { name, priority, quota });
        let taken = accounts.add(account, &digests);
        for (j, _) in keys.iter().filter(|(_, digest)| taken.contains(digest)) {
            checker.bound(false, &format!("{path}.key_digests[{j}]"), || {
                "the key belongs to an account before this one: give each its own".into()
            });
        }
    }
    accounts
}

/// Returns the digests of an account's keys with their indexes.
fn check_keys(
    checker: &mut Checker,
    path: &str,
    raw: &RawAccount,
    keys_read: usize,
) -> Vec<(usize, KeyDigest)> {
    let path = format!("{path}.key_digests");
    checker.bound(raw.key_digests.len() <= MAX_ACCOUNT_KEYS, &path, || {
        format!("{} keys: use at most {MAX_ACCOUNT_KEYS}", raw.key_digests.len())
    });
    let empty_key = KeyDigest::of(b"");
    let mut seen = BTreeSet::new();
    let mut keys = Vec::new();
    for (j, raw) in raw.key_digests.iter().take(keys_read).enumerate() {
        let path = format!("{path}[{j}]");
        match raw.parse::<KeyDigest>() {
            Err(e) => checker.refuse(path, e.to_string()),
            Ok(digest) if digest == empty_key => {
                checker.bound(false, &path, || {
                    "it is the digest of an empty key, which no request can send".into()
                });
            }
            Ok(digest) if !seen.insert(digest) => {
                checker.bound(false, &path, || "it is listed twice: leave one of them out".into());
            }
            Ok(digest) => keys.push((j, digest)),
        }
    }
    keys
}

fn check_priority(checker: &mut Checker, path: &str, raw: &RawAccount) -> Option<u32> {
    let priority = raw.priority?;
    checker.bound(priority <= LOWEST_PRIORITY, &format!("{path}.priority"), || {
        format!("{priority}: use 0 to {LOWEST_PRIORITY}")
    });
    Some(priority)
}

fn check_quota(checker: &mut Checker, path: &str, raw: &RawAccount) -> Option<Quota> {
    let rate = raw.requests_per_second.unwrap_or(0.0);
    let burst = raw.burst.unwrap_or(0.0);
    let is_rate = (0.0..=MAX_ACCOUNT_RATE).contains(&rate);
    checker.bound(is_rate, &format!("{path}.requests_per_second"), || {
        format!("{rate}: use 0 to {MAX_ACCOUNT_RATE}")
    });
    let burst_path = format!("{path}.burst");
    checker.bound((0.0..=MAX_ACCOUNT_BURST).contains(&burst), &burst_path, || {
        format!("{burst}: use 0 to {MAX_ACCOUNT_BURST}")
    });
    let has_rate = rate != 0.0;
    checker.bound(has_rate || burst == 0.0, &burst_path, || {
        "it stands without `requests_per_second`: state the rate too".into()
    });
    // Without a rate there is no quota; one below 0 states none.
    let quota =
        Quota { rate: rate.min(MAX_ACCOUNT_RATE), burst: burst.clamp(0.0, MAX_ACCOUNT_BURST) };
    (quota.rate > 0.0).then_some(quota)
}
