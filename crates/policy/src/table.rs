//! The immutable routing table that a request uses from start to end.
//!
//! A table joins one configuration with the endpoints known at that moment, so
//! that no route refers to an unknown service or endpoint.
//! It is replaced as a whole; see `docs/design/0002-configuration.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    config::model::{Configuration, Route, Service},
    evacuation::Evacuations,
    ids::{BackendVersion, ConfigVersion, InstanceName, ServiceName, ZoneName},
    membership::entry::{BackendRecord, Liveness, NodeRecord},
};

/// An instance whose backend server accepts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the node on the instance.
    pub incarnation: u64,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address at which other nodes reach the node on the instance.
    pub peer_addr: SocketAddr,
    /// Version of the backend server's software.
    pub version: BackendVersion,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Whether the instance's node is suspected, but not confirmed, to be down.
    pub suspect: bool,
}

/// One service with its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTable {
    /// The service as configured.
    pub service: Service,
    /// Endpoints that take requests, ordered by instance name.
    pub endpoints: Vec<Arc<Endpoint>>,
    /// Endpoints in evacuated zones, which take none until the evacuation is revoked.
    pub evacuated: Vec<Arc<Endpoint>>,
    /// Versions of the backend servers that can't be reached. They may be running behind a
    /// partition.
    pub unreachable: BTreeSet<BackendVersion>,
}

impl ServiceTable {
    /// Returns all endpoints, also those in evacuated zones.
    ///
    /// Decisions that outlast an evacuation, such as those on moves between versions, must not
    /// take the versions there for gone.
    pub fn all_endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.iter().chain(&self.evacuated)
    }
}

/// One configuration joined with the endpoints known for its services.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// Services with their endpoints.
    pub services: BTreeMap<ServiceName, ServiceTable>,
}

impl Table {
    /// Joins a configuration with the currently known members.
    ///
    /// Members that run a service which the configuration doesn't name are left
    /// out until a later table names the service.
    pub fn build<'a>(
        version: ConfigVersion,
        configuration: Arc<Configuration>,
        members: impl Iterator<Item = (&'a NodeRecord, Liveness)>,
        evacuations: &Evacuations,
    ) -> Self {
        let mut services: BTreeMap<ServiceName, ServiceTable> = configuration
            .services
            .iter()
            .map(|(name, service)| {
                let table = ServiceTable {
                    service: service.clone(),
                    endpoints: Vec::new(),
                    evacuated: Vec::new(),
                    unreachable: BTreeSet::new(),
                };
                (name.clone(), table)
            })
            .collect();
        for (record, liveness) in members {
            let Some(backend) = running_backend(record) else { continue };
            let Some(table) = services.get_mut(&backend.service) else { continue };
            let is_evacuated = evacuations.is_evacuated(&record.zone);
            let endpoint = || Arc::new(endpoint_of(record, backend, liveness));
            match liveness {
                Liveness::Gone => {}
                Liveness::Unreachable => {
                    table.unreachable.insert(backend.version.clone());
                }
                _ if is_evacuated => table.evacuated.push(endpoint()),
                _ => table.endpoints.push(endpoint()),
            }
        }
        for table in services.values_mut() {
            table.endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        }
        Self { version, configuration, services }
    }

    /// Returns the first route that matches a request.
    pub fn route(&self, method: &str, host: Option<&str>, path: &str) -> Option<&Arc<Route>> {
        self.configuration.routes.iter().find(|route| route.matches(method, host, path))
    }
}

/// Returns the backend server of a node, unless it or the node has announced that it leaves.
fn running_backend(record: &NodeRecord) -> Option<&BackendRecord> {
    record.backend.as_ref().filter(|backend| !record.leaving && !backend.draining)
}

fn endpoint_of(record: &NodeRecord, backend: &BackendRecord, liveness: Liveness) -> Endpoint {
    Endpoint {
        instance: record.instance.clone(),
        incarnation: record.stamp.incarnation,
        zone: record.zone.clone(),
        peer_addr: record.peer_addr,
        version: backend.version.clone(),
        slots: backend.slots,
        suspect: liveness == Liveness::Suspect,
    }
}
