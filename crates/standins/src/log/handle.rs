//! Starting the log service and turning its switches.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Instant};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    http,
    thread::{OwnedThread, bind},
};

use super::{
    Faults, Outage, Settings, StreamCounts,
    server::{Shared, handle},
    store::Store,
};

/// Connections taken at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Records read at once by the handle.
const ALL_RECORDS: usize = usize::MAX;

/// A running log service; it stops when dropped.
pub struct Handle {
    addr: SocketAddr,
    shared: Arc<Shared>,
    thread: OwnedThread,
}

/// Starts a log service on its own thread.
pub fn start(settings: Settings) -> io::Result<Handle> {
    let listener = bind(settings.listen)?;
    let addr = listener.local_addr()?;
    let shared = Arc::new(Shared {
        faults: Mutex::new(settings.faults.clone()),
        store: Mutex::new(Store::new(&settings, Instant::now())),
        max_record_bytes: settings.max_record_bytes,
        appended: Notify::new(),
        faults_changed: Notify::new(),
    });
    let thread_shared = shared.clone();
    let thread =
        OwnedThread::start("log-standin", CancellationToken::new(), move |stop| async move {
            let handler = move |call| handle(thread_shared.clone(), call);
            // An error here ends the stand-in; its clients see refused connections.
            let _ = http::serve(listener, stop, MAX_CONNECTIONS, handler).await;
        })?;
    Ok(Handle { addr, shared, thread })
}

impl Handle {
    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL for a node's `log_service` setting.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Replaces every fault.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Begins or ends an outage and leaves the other faults alone.
    pub fn set_outage(&self, outage: Outage) {
        let faults = Faults { outage, ..self.faults() };
        self.shared.set_faults(faults);
    }

    /// Loses the answers to the next appends, which take effect.
    pub fn lose_append_answers(&self, count: u32) {
        let faults = Faults { lose_append_answers: count, ..self.faults() };
        self.shared.set_faults(faults);
    }

    /// Makes each answer late by so many milliseconds.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        let faults = Faults { slow_ms, ..self.faults() };
        self.shared.set_faults(faults);
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.shared.faults.lock().clone()
    }

    /// Appends a record directly, whatever outage is in force, and returns its
    /// offset, or nothing when the limit on appends refuses it.
    pub fn append(&self, stream: &str, body: impl Into<Vec<u8>>) -> Option<u64> {
        let offset = self.shared.store.lock().append(stream, body.into(), Instant::now());
        self.shared.appended.notify_waiters();
        offset.ok()
    }

    /// Returns the bodies of the records that a stream still keeps.
    pub fn records(&self, stream: &str) -> Vec<Vec<u8>> {
        let mut store = self.shared.store.lock();
        let now = Instant::now();
        let page = match store.read(stream, 0, ALL_RECORDS, now) {
            Err(super::store::StoreError::Expired { earliest }) => {
                store.read(stream, earliest, ALL_RECORDS, now)
            }
            page => page,
        };
        page.map_or_else(
            |_| Vec::new(),
            |page| page.records.into_iter().map(|(_, body)| body).collect(),
        )
    }

    /// Forgets the oldest records of a stream, as retention does.
    pub fn expire_oldest(&self, stream: &str, count: usize) {
        self.shared.store.lock().expire_oldest(stream, count);
    }

    /// Returns the counts of every stream.
    pub fn counts(&self) -> BTreeMap<String, StreamCounts> {
        self.shared.store.lock().counts()
    }

    /// Waits until the thread ends, for use as a process of its own.
    pub fn join(mut self) {
        self.thread.join();
    }
}
