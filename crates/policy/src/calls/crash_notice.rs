//! Spread of notices about requests that may crash backend servers.
//!
//! Every node of a service has to know them, because the request may come again anywhere. Within
//! an availability zone a node notifies the others itself; in each other zone it notifies a few
//! relays, which pass the notices on. A notice therefore crosses a zone boundary a fixed number
//! of times, whatever the number of nodes. See `docs/design/0006-load.md`.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    distribution::{
        spread::RELAYS_PER_ZONE,
        zone_rank::{other_zones, ranked_of_service},
    },
    ids::{InstanceName, ServiceName, ZoneName},
    membership::{entry::NodeRecord, members::Members},
};

use super::quarantine::{CrashId, Fingerprint};

/// A change of what is known about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashNotice {
    /// A backend server crashed while it ran the request.
    Crashed {
        /// Id of the crash, because one crash may be reported more than once.
        crash: CrashId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A backend server answered the request, which was a suspect.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

/// Shortest time between two messages with notices from one node to another.
pub const NOTICE_BATCH_PERIOD: Duration = Duration::from_millis(100);

/// Notices that a node has not sent yet.
///
/// The first notice is sent at once, because its request may come again at once. Others wait
/// until [`NOTICE_BATCH_PERIOD`] has passed: a relay receives the notices of all other zones,
/// and when many backend servers lose answers it couldn't pass them on one by one.
#[derive(Debug, Default)]
pub struct NoticeOutbox {
    unsent: Vec<CrashNotice>,
    has_sender: bool,
}

impl NoticeOutbox {
    /// Adds notices. Returns whether the caller has to send at once, and then once every
    /// [`NOTICE_BATCH_PERIOD`] until [`NoticeOutbox::take`] returns `None`.
    pub fn push(&mut self, notices: &[CrashNotice]) -> bool {
        self.unsent.extend_from_slice(notices);
        !std::mem::replace(&mut self.has_sender, true)
    }

    /// Takes the notices to send, or returns `None` if there are none.
    pub fn take(&mut self) -> Option<Vec<CrashNotice>> {
        self.has_sender = !self.unsent.is_empty();
        self.has_sender.then(|| std::mem::take(&mut self.unsent))
    }
}

/// Addresses of the nodes to which one node sends notices about requests to its service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NoticeRecipients {
    /// The other nodes of the service in the own availability zone.
    pub own_zone: Vec<SocketAddr>,
    /// Nodes of the service in other zones, each of which passes the notices on in its zone.
    pub relays: Vec<SocketAddr>,
}

impl NoticeRecipients {
    /// Computes the recipients of a node of `service` in availability zone `zone`.
    pub fn of(
        instance: &InstanceName,
        zone: &ZoneName,
        service: &ServiceName,
        members: &Members,
    ) -> Self {
        let is_other_of_service =
            |record: &&NodeRecord| record.runs_service(service) && record.instance != *instance;
        let in_own_zone = members.active().filter(|record| record.zone == *zone);
        let relays_in = |zone| ranked_of_service(members, zone, service, RELAYS_PER_ZONE);
        let relays = other_zones(members, zone).into_iter().flat_map(relays_in);
        Self {
            own_zone: in_own_zone.filter(is_other_of_service).map(|r| r.peer_addr).collect(),
            relays: relays.map(|record| record.peer_addr).collect(),
        }
    }
}
