//! Whether an entry node refuses a request for a large answer before it crosses a link.
//!
//! Load: requests for large answers above what all links of a service carry. Each is refused by
//! one serving node, then by another, and costs both of them and the entry node a message, on
//! the links that are full. The reports of the serving nodes tell beforehand. See
//! `docs/design/0024-links.md`.

use std::{collections::HashMap, time::Duration};

use crate::{ids::ServiceName, time::Tick};

/// Time between two requests for a service that are sent although no candidate has room. A
/// report is used for about as long, so that probes keep the reports of a full service fresh.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Returns whether no candidate can send a large answer within the objective, by their waits for
/// the link; a candidate whose wait isn't known may have room.
pub fn is_full(waits: impl IntoIterator<Item = Option<Duration>>, objective: Duration) -> bool {
    let mut waits = waits.into_iter().peekable();
    waits.peek().is_some() && waits.all(|wait| wait.is_some_and(|wait| wait > objective))
}

/// Limits the requests that one node sends although reports say that there is no room.
#[derive(Debug, Default)]
pub struct LinkProbes {
    newest: HashMap<ServiceName, Tick>,
}

impl LinkProbes {
    /// Returns whether a request may be sent as a probe, and counts it if so.
    pub fn try_take(&mut self, service: &ServiceName, now: Tick) -> bool {
        let newest = self.newest.get(service);
        if newest.is_some_and(|newest| now.since(*newest) < PROBE_PAUSE) {
            return false;
        }
        self.newest.retain(|_, newest| now.since(*newest) < PROBE_PAUSE);
        self.newest.insert(service.clone(), now);
        true
    }
}
