//! Identifiers that several modules share.
//!
//! Names are shared immutable strings, because many concurrent requests read one
//! table and each of them holds its own copies of names.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest name, in bytes, that a configuration or a membership entry may hold.
pub const MAX_NAME_BYTES: usize = 63;

/// A name that breaks the rules for names.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{found:?} is not a name: use 1 to {MAX_NAME_BYTES} of the characters a-z, A-Z, 0-9, '.', '_' and '-'"
)]
pub struct InvalidName {
    /// The rejected text, truncated to [`MAX_NAME_BYTES`] characters.
    pub found: String,
}

impl InvalidName {
    fn of(raw: &str) -> Self {
        Self { found: raw.chars().take(MAX_NAME_BYTES).collect() }
    }
}

/// Checks a name that a settings file states or a publisher chooses.
pub fn check_plain_name(raw: &str) -> Result<(), InvalidName> {
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'.' | b'_' | b'-');
    let is_plain = !raw.is_empty() && raw.len() <= MAX_NAME_BYTES;
    if is_plain && raw.bytes().all(is_allowed) { Ok(()) } else { Err(InvalidName::of(raw)) }
}

/// Checks a name that a platform has accepted. It may be any text that can stand in a header.
fn check_accepted_name(raw: &str) -> Result<(), InvalidName> {
    let is_text = !raw.is_empty() && !raw.contains(|c: char| c.is_control());
    if is_text { Ok(()) } else { Err(InvalidName::of(raw)) }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the name as shared text.
            pub fn shared(&self) -> Arc<str> {
                self.0.clone()
            }
        }

        impl TryFrom<&str> for $name {
            type Error = InvalidName;

            fn try_from(raw: &str) -> Result<Self, InvalidName> {
                $check(raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(raw: String) -> Result<Self, InvalidName> {
                Self::try_from(raw.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type! {
    /// Name of an instance and of the node that runs on it.
    InstanceName, check_plain_name
}
name_type! {
    /// Name of an availability zone.
    ZoneName, check_plain_name
}
name_type! {
    /// Name of a region, which groups availability zones.
    RegionName, check_plain_name
}
name_type! {
    /// Name of a service.
    ServiceName, check_accepted_name
}
name_type! {
    /// Name of a route.
    RouteName, check_accepted_name
}
name_type! {
    /// Name of a client account.
    AccountName, check_accepted_name
}
name_type! {
    /// Identifier of one publish.
    ///
    /// An append whose answer was lost is retried under the same identifier, so
    /// that the fold recognises the duplicate.
    PublishId, check_plain_name
}
name_type! {
    /// Version of a backend server's software.
    BackendVersion, check_accepted_name
}

/// Position of an accepted configuration in the total order of the fold.
///
/// Zero means that no configuration has been accepted yet.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one request between two nodes, for the settle protocol.
///
/// The entry node draws it at random, so that it is unique without coordination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
