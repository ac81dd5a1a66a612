//! Client accounts: the digest of a key and the account that it belongs to.
//!
//! Only the SHA-256 digests of keys are known here, so that no configuration, message or log
//! line can contain a key. `docs/design/0022-accounts.md` gives the reasons.

use std::{collections::HashMap, fmt, str::FromStr, sync::Arc};

use sha2::{Digest, Sha256};

use crate::ids::AccountName;

/// Scheme of the `Authorization` header that carries an account's key.
const SCHEME: &str = "bearer";

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

/// A text that is not a digest. It may be a key, so it isn't repeated in the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a digest: use the 64 hex digits of the key's SHA-256, not the key itself")]
pub struct InvalidDigest;

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidDigest;

    fn from_str(raw: &str) -> Result<Self, InvalidDigest> {
        let mut digest = [0; 32];
        hex::decode_to_slice(raw, &mut digest).map_err(|_| InvalidDigest)?;
        Ok(Self(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// Returns the key in the value of an `Authorization` header, if it has the scheme `Bearer`.
pub fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    let key = scheme.eq_ignore_ascii_case(SCHEME.as_bytes()).then_some(key)?;
    let key = key.strip_prefix(b" ")?.trim_ascii();
    (!key.is_empty()).then_some(key)
}

/// Quota of an account, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second, above 0.
    pub rate: f64,
    /// Requests above the rate that may be sent at once.
    pub burst: f64,
}

/// One client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Priority of the account's requests in queues, if it sets its own.
    pub priority: Option<u32>,
    /// Quota of the account, if it has one.
    pub quota: Option<Quota>,
}

/// All accounts of a configuration, found by the digest of a key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    by_key: HashMap<KeyDigest, Arc<Account>>,
    by_name: HashMap<AccountName, Arc<Account>>,
}

impl Accounts {
    /// Adds an account; returns the digests that belong to another account already.
    pub(crate) fn add(&mut self, account: Account, keys: &[KeyDigest]) -> Vec<KeyDigest> {
        let account = Arc::new(account);
        self.by_name.insert(account.name.clone(), account.clone());
        let mut taken = Vec::new();
        for key in keys {
            let owner = self.by_key.entry(*key).or_insert_with(|| account.clone());
            if owner.name != account.name {
                taken.push(*key);
            }
        }
        taken
    }

    /// Returns the account that a key belongs to.
    pub fn by_key(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns the account of a name.
    pub fn by_name(&self, name: &AccountName) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns all accounts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Returns the account that sends a request, by the values of its `Authorization` headers.
    ///
    /// A request with several such headers has no account, because nothing says which of them
    /// is meant.
    pub fn authenticate<'a>(
        &self,
        mut authorization: impl Iterator<Item = &'a [u8]>,
    ) -> Option<&Arc<Account>> {
        let value = authorization.next()?;
        if authorization.next().is_some() {
            return None;
        }
        self.by_key(bearer_key(value)?)
    }
}
