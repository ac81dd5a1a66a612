//! The link of the instance: wakes the tasks whose parts of large answers it has room for.
//!
//! This is the asynchronous side of [`LinkSchedule`]. All connections of all worker threads share
//! one link, so they share one schedule.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::link_schedule::{LinkPart, LinkRate, LinkSchedule, PartTicket},
    time::Tick,
};
use tokio::sync::oneshot;

/// Shortest sleep between two looks at the queue. The burst of the schedule covers it, and a fast
/// link would otherwise wake the node for each part.
const MIN_SLEEP: Duration = Duration::from_millis(4);

struct Inner {
    schedule: LinkSchedule,
    waiters: HashMap<PartTicket, oneshot::Sender<()>>,
    /// Whether a task grants queued parts as the link gets room.
    has_granter: bool,
    /// Bytes of parts granted since the last report.
    paced_bytes: u64,
}

impl Inner {
    /// Wakes the tasks whose parts may be sent.
    fn grant(&mut self, now: Tick) {
        while let Some(ticket) = self.schedule.grant(now) {
            if let Some(tx) = self.waiters.remove(&ticket) {
                // The receiver still exists, because its guard removes the ticket first.
                let _ = tx.send(());
            }
        }
    }
}

/// The link of the instance, shared by all worker threads.
#[derive(Clone)]
pub(crate) struct LinkShaper {
    inner: Arc<Mutex<Inner>>,
    now: fn() -> Tick,
}

impl LinkShaper {
    /// Creates the shaper of an idle link.
    pub(crate) fn new(rate: LinkRate) -> Self {
        let now = savorykeel_ports::clock::Clock::default().tick;
        let schedule = LinkSchedule::new(rate, now());
        let inner = Inner { schedule, waiters: HashMap::new(), has_granter: false, paced_bytes: 0 };
        Self { inner: Arc::new(Mutex::new(inner)), now }
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Tick {
        (self.now)()
    }

    /// Returns the share of the usable link that messages take which don't wait.
    pub(crate) fn other_share(&self) -> f64 {
        let now = (self.now)();
        self.inner.lock().schedule.other_share(now)
    }

    /// Counts a message that is sent without waiting.
    pub(crate) fn count_sent(&self, bytes: usize) {
        let now = (self.now)();
        self.inner.lock().schedule.count_sent(bytes, now);
    }

    /// Waits until the part may be sent; it leaves the queue if the returned future is dropped.
    pub(crate) async fn wait_for(&self, part: LinkPart) {
        let bytes = part.bytes;
        let (tx, rx) = oneshot::channel();
        let mut queued = {
            let mut inner = self.inner.lock();
            let ticket = inner.schedule.push(part);
            inner.waiters.insert(ticket, tx);
            inner.grant((self.now)());
            QueuedPart { link: self.clone(), ticket, bytes, rx, is_taken: false }
        };
        self.start_granter();
        // The sender is dropped only with its message.
        let _ = (&mut queued.rx).await;
        queued.is_taken = true;
        self.inner.lock().paced_bytes += bytes as u64;
    }

    /// Returns the number of parts that wait, and the bytes sent in parts since the last report.
    pub(crate) fn report(&self) -> (usize, u64) {
        let mut inner = self.inner.lock();
        (inner.schedule.queued_parts(), std::mem::take(&mut inner.paced_bytes))
    }

    /// Returns the grant of a part that wasn't sent to the parts that wait.
    pub(crate) fn give_back(&self, bytes: usize) {
        let now = (self.now)();
        let mut inner = self.inner.lock();
        inner.schedule.give_back(bytes, now);
        inner.grant(now);
    }

    /// Starts the task that grants queued parts, unless it runs or no part waits.
    fn start_granter(&self) {
        {
            let mut inner = self.inner.lock();
            if inner.has_granter || inner.waiters.is_empty() {
                return;
            }
            inner.has_granter = true;
        }
        let link = self.clone();
        ntex::rt::spawn(async move {
            while let Some(wait) = link.time_to_grant() {
                tokio::time::sleep(wait.max(MIN_SLEEP)).await;
                link.inner.lock().grant((link.now)());
            }
        })
        .detach();
    }

    /// Returns the time to the next grant; `None` ends the task that asks for it.
    fn time_to_grant(&self) -> Option<Duration> {
        let mut inner = self.inner.lock();
        let wait = inner.schedule.time_to_grant((self.now)());
        inner.has_granter = wait.is_some();
        wait
    }
}

/// A queued part, which is removed from the queue when dropped.
struct QueuedPart {
    link: LinkShaper,
    ticket: PartTicket,
    bytes: usize,
    rx: oneshot::Receiver<()>,
    is_taken: bool,
}

impl Drop for QueuedPart {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let was_queued = {
            let mut inner = self.link.inner.lock();
            inner.waiters.remove(&self.ticket);
            inner.schedule.cancel(self.ticket)
        };
        if !was_queued {
            self.link.give_back(self.bytes);
        }
    }
}
