//! The client account of a request at its entry node.

use std::sync::Arc;

use ntex::http::header::HeaderMap;
use savorykeel_policy::{
    accounts::Account,
    config::model::{Configuration, Route},
};
use savorykeel_ports::{edge::HeaderNames, peer::Header};

/// Header that carries the key of the caller's account.
const AUTHORIZATION_HEADER: &str = "authorization";

/// The route needs a key of an account and the request has none.
#[derive(Debug)]
pub(crate) struct UnknownKey;

/// Returns the account that sends a request; `None` if the configuration has no accounts or
/// the route is public and the request has no known key.
pub(crate) fn authenticate(
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Account>>, UnknownKey> {
    let Some(accounts) = &configuration.accounts else { return Ok(None) };
    let values = headers.get_all(AUTHORIZATION_HEADER).map(|value| value.as_bytes());
    match accounts.authenticate(values) {
        Some(account) => Ok(Some(account.clone())),
        None if route.public => Ok(None),
        None => Err(UnknownKey),
    }
}

/// Removes the caller's key, and a value that it sent in the header for the account's name,
/// from the request that goes to a backend server.
///
/// Without accounts in the configuration, both headers belong to the caller and the backend
/// server and are left as they are.
pub(crate) fn remove_credentials(
    configuration: &Configuration,
    names: &HeaderNames,
    headers: &mut Vec<Header>,
) {
    if configuration.accounts.is_none() {
        return;
    }
    headers.retain(|header| header.name != AUTHORIZATION_HEADER && header.name != names.account);
}
