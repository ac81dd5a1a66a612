//! Starts the log service and controls it from the same process.

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
    store::{Copy, Store},
};

/// Maximum number of open connections; more are closed.
const MAX_CONNECTIONS: usize = 4_096;

/// Read limit of [`Handle::records`], which returns the whole stream.
const ALL_RECORDS: usize = usize::MAX;

/// A running log service. Dropping the handle stops it.
pub struct Handle {
    addr: SocketAddr,
    shared: Arc<Shared>,
    thread: OwnedThread,
}

/// Starts a log service on its own thread.
///
/// Fails if the address can't be bound or the thread can't be started.
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
            // An error ends the stand-in; its clients then get refused connections.
            let _ = http::serve(listener, stop, MAX_CONNECTIONS, handler).await;
        })?;
    Ok(Handle { addr, shared, thread })
}

impl Handle {
    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL for a node's `log_service` setting.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Starts or ends an outage and leaves the other faults unchanged.
    pub fn set_outage(&self, outage: Outage) {
        let faults = Faults { outage, ..self.faults() };
        self.shared.set_faults(faults);
    }

    /// Loses the answers to the next `count` appends, which still take effect.
    pub fn lose_append_answers(&self, count: u32) {
        let faults = Faults { lose_append_answers: count, ..self.faults() };
        self.shared.set_faults(faults);
    }

    /// Sets the delay of each answer, in milliseconds.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        let faults = Faults { slow_ms, ..self.faults() };
        self.shared.set_faults(faults);
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.shared.faults.lock().clone()
    }

    /// Appends a record without HTTP and regardless of the faults in force.
    /// Returns its offset, or `None` if the append exceeds the rate limit.
    pub fn append(&self, stream: &str, body: impl Into<Vec<u8>>) -> Option<u64> {
        let offset = self.shared.store.lock().append(stream, body.into(), None, Instant::now());
        self.shared.appended.notify_waiters();
        offset.ok()
    }

    /// Returns the bodies of the records that a stream still retains.
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

    /// Returns a copy of all records.
    pub fn copy(&self) -> Copy {
        self.shared.store.lock().copy()
    }

    /// Replaces all records by those of a copy, in a new era. Counts stay.
    pub fn come_back_from(&self, copy: &Copy) {
        self.shared.store.lock().come_back_from(copy);
        self.shared.appended.notify_waiters();
    }

    /// Drops the `count` oldest records of a stream, as retention does.
    pub fn expire_oldest(&self, stream: &str, count: usize) {
        self.shared.store.lock().expire_oldest(stream, count);
    }

    /// Returns the counts of every stream by its name.
    pub fn counts(&self) -> BTreeMap<String, StreamCounts> {
        self.shared.store.lock().counts()
    }

    /// Waits until the thread ends; used when the stand-in runs as its own
    /// process.
    pub fn join(mut self) {
        self.thread.join();
    }
}
