//! Slots of the local backend server, which limit how many requests it runs at once.
//!
//! This is the asynchronous side of the admission queue: it wakes the tasks whose queued
//! requests were started or shed.

use std::{
    cell::Cell,
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest, Release, Ticket},
    code::Code,
    ids::RouteName,
    server::{
        concurrency::{ConcurrencyLimit, RunEnd, RunId},
        rate::RequestRate,
    },
    time::Tick,
};
use tokio::sync::oneshot;

use super::state::to_millis;

type Decision = Result<(), Code>;

struct Inner {
    queue: AdmissionQueue,
    waiters: HashMap<Ticket, oneshot::Sender<Decision>>,
    /// Whether a task starts queued requests as the stated rate allows.
    has_starter: bool,
    /// What was learned about the backend server, if the settings ask for it.
    learned: Option<Learned>,
}

/// The learned limit and what was last logged of it.
struct Learned {
    limit: ConcurrencyLimit,
    logged: Option<u32>,
}

/// A change of the learned limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitChange {
    /// Limit that was last logged; `None` at the first change.
    pub(crate) from: Option<u32>,
    pub(crate) to: u32,
    pub(crate) slots: u32,
}

/// Limits of the local backend server as a request finds them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    /// Number of requests that it runs at once.
    pub(crate) slots: u32,
    /// Requests a second that it takes, if it states a rate.
    pub(crate) rate: Option<RequestRate>,
}

impl Inner {
    /// Returns how many requests may run at once: the stated slots, or fewer while one more
    /// would make those that run miss their objective.
    fn allowed(&mut self, stated: u32, now: Tick) -> u32 {
        let Some(learned) = &mut self.learned else { return stated };
        if learned.limit.slots() != stated {
            learned.limit.reset(stated, now);
        }
        learned.limit.allowed(self.queue.running())
    }

    /// Sets the number of slots and starts queued requests, one after another as far as the
    /// learned limit allows each.
    fn allow(&mut self, stated: u32, now: Tick) {
        loop {
            let running = self.queue.running();
            let slots = self.allowed(stated, now);
            if self.queue.slots() == slots {
                return;
            }
            let release = self.queue.set_slots(slots, now);
            self.notify_waiters(release);
            if self.queue.running() == running {
                return;
            }
        }
    }

    fn begin(&mut self, request: &AdmissionRequest, now: Tick) -> Option<RunId> {
        let limit = &mut self.learned.as_mut()?.limit;
        Some(limit.begin(&request.route, request.objective_at, now))
    }

    fn end(&mut self, run: Option<RunId>, end: RunEnd, now: Tick) {
        let (Some(learned), Some(run)) = (&mut self.learned, run) else { return };
        learned.limit.end(run, end, now);
        let slots = learned.limit.slots();
        self.allow(slots, now);
    }

    /// Sends the queue's decisions to the waiting tasks.
    fn notify_waiters(&mut self, release: Release) {
        for ticket in release.started {
            self.decide(ticket, Ok(()));
        }
        for (ticket, code) in release.shed {
            self.decide(ticket, Err(code));
        }
    }

    fn decide(&mut self, ticket: Ticket, decision: Decision) {
        if let Some(tx) = self.waiters.remove(&ticket) {
            // The receiver still exists, because its guard removes the ticket first.
            let _ = tx.send(decision);
        }
    }
}

/// Slots of the backend server, shared by all worker threads.
#[derive(Clone)]
pub(crate) struct Slots {
    inner: Arc<Mutex<Inner>>,
    now: fn() -> Tick,
}

impl Slots {
    /// Creates an empty queue without slots; each request sets the current number of slots.
    ///
    /// `learns` states whether it is learned how many of them the backend server handles well.
    pub(crate) fn new(learns: bool) -> Self {
        let queue = AdmissionQueue::new(0);
        let now = savorykeel_ports::clock::Clock::default().tick;
        let limit = || Learned { limit: ConcurrencyLimit::new(1, now()), logged: None };
        let learned = learns.then(limit);
        let inner = Inner { queue, waiters: HashMap::new(), has_starter: false, learned };
        Self { inner: Arc::new(Mutex::new(inner)), now }
    }

    /// Returns the number of running and queued requests.
    pub(crate) fn load(&self) -> u32 {
        let inner = self.inner.lock();
        inner.queue.running() + inner.queue.queued() as u32
    }

    /// Returns the time that one more request would wait because of the stated rate.
    pub(crate) fn rate_wait(&self) -> Duration {
        let now = (self.now)();
        self.inner.lock().queue.rate_wait(now)
    }

    /// Returns how many requests the backend server handles well at once; zero if this isn't
    /// learned.
    pub(crate) fn concurrency_limit(&self) -> u32 {
        self.inner.lock().learned.as_ref().map_or(0, |learned| learned.limit.limit())
    }

    /// Returns the change of the learned limit since it was last asked for.
    pub(crate) fn take_limit_change(&self) -> Option<LimitChange> {
        let mut inner = self.inner.lock();
        let learned = inner.learned.as_mut()?;
        let (to, slots) = (learned.limit.limit(), learned.limit.slots());
        if learned.logged.unwrap_or(slots) == to {
            return None;
        }
        let from = learned.logged.replace(to);
        Some(LimitChange { from, to, slots })
    }

    /// Forgets what was learned, because another backend server was started.
    pub(crate) fn forget_server(&self) {
        let now = (self.now)();
        if let Some(learned) = &mut self.inner.lock().learned {
            let slots = learned.limit.slots();
            learned.limit.reset(slots, now);
        }
    }

    /// Returns the average run time of requests.
    pub(crate) fn run_time(&self) -> Duration {
        self.inner.lock().queue.run_time()
    }

    /// Waits at most `max_wait` for a slot within the limits.
    pub(crate) async fn acquire(
        &self,
        request: AdmissionRequest,
        limits: ServerLimits,
        max_wait: Duration,
    ) -> Result<Slot, Code> {
        let mut queued = match self.offer(&request, limits)? {
            Offer::Slot(slot) => return Ok(slot),
            Offer::Queued(queued) => queued,
        };
        self.start_queued_at_rate();
        match ntex::time::timeout(to_millis(max_wait), &mut queued.rx).await {
            Ok(Ok(Ok(()))) => {
                queued.is_decided = true;
                let run = self.inner.lock().begin(&request, (self.now)());
                Ok(Slot::new(self.clone(), request.route.clone(), run))
            }
            Ok(Ok(Err(code))) => {
                queued.is_decided = true;
                Err(code)
            }
            Ok(Err(_)) | Err(()) => Err(Code::Overloaded),
        }
    }

    /// Starts queued requests while the backend server states a rate, unless a task does so
    /// already. Without a rate, requests wait only for slots, and ends of runs start them.
    fn start_queued_at_rate(&self) {
        {
            let mut inner = self.inner.lock();
            if inner.has_starter || inner.queue.time_to_next_token((self.now)()).is_none() {
                return;
            }
            inner.has_starter = true;
        }
        let slots = self.clone();
        ntex::rt::spawn(async move {
            while let Some(wait) = slots.time_to_next_token() {
                ntex::time::sleep(to_millis(wait)).await;
                slots.start_queued();
            }
        })
        .detach();
    }

    /// Returns the time to the next token; `None` ends the task that asks for it.
    fn time_to_next_token(&self) -> Option<Duration> {
        let now = (self.now)();
        let mut inner = self.inner.lock();
        let wait = inner.queue.time_to_next_token(now);
        inner.has_starter = wait.is_some();
        wait
    }

    fn start_queued(&self) {
        let now = (self.now)();
        let mut inner = self.inner.lock();
        let release = inner.queue.start_queued(now);
        inner.notify_waiters(release);
    }

    /// Changes the rate at which requests that wait are started.
    pub(crate) fn set_rate(&self, rate: Option<RequestRate>) {
        let now = (self.now)();
        {
            let mut inner = self.inner.lock();
            let release = inner.queue.set_rate(rate, now);
            inner.notify_waiters(release);
        }
        self.start_queued_at_rate();
    }

    fn offer(&self, request: &AdmissionRequest, limits: ServerLimits) -> Result<Offer, Code> {
        let now = (self.now)();
        let mut inner = self.inner.lock();
        inner.allow(limits.slots, now);
        let release = inner.queue.set_rate(limits.rate, now);
        inner.notify_waiters(release);
        let mut release = Release::default();
        let decision = inner.queue.offer(request, now, &mut release);
        inner.notify_waiters(release);
        match decision {
            AdmissionDecision::Start => {
                let run = inner.begin(request, now);
                Ok(Offer::Slot(Slot::new(self.clone(), request.route.clone(), run)))
            }
            AdmissionDecision::Shed(code) => Err(code),
            AdmissionDecision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                inner.waiters.insert(ticket, tx);
                let (slots, route) = (self.clone(), request.route.clone());
                Ok(Offer::Queued(QueuedRequest { slots, route, ticket, rx, is_decided: false }))
            }
        }
    }

    fn release(&self, route: &RouteName, run_time: Duration) {
        let now = (self.now)();
        let mut inner = self.inner.lock();
        let release = inner.queue.release(route, run_time, now);
        inner.notify_waiters(release);
    }
}

enum Offer {
    Slot(Slot),
    Queued(QueuedRequest),
}

/// A queued request, which is removed from the queue when dropped.
struct QueuedRequest {
    slots: Slots,
    route: RouteName,
    ticket: Ticket,
    rx: oneshot::Receiver<Decision>,
    is_decided: bool,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let was_queued = {
            let mut inner = self.slots.inner.lock();
            inner.waiters.remove(&self.ticket);
            inner.queue.cancel(self.ticket)
        };
        // The queue may have granted the slot after the timeout and before the cancellation.
        if !was_queued && matches!(self.rx.try_recv(), Ok(Ok(()))) {
            self.slots.release(&self.route, Duration::ZERO);
        }
    }
}

/// An occupied slot of the backend server, which is released when dropped.
pub(crate) struct Slot {
    slots: Slots,
    route: RouteName,
    acquired_at: Instant,
    run: Option<RunId>,
    end: Cell<RunEnd>,
}

impl Slot {
    fn new(slots: Slots, route: RouteName, run: Option<RunId>) -> Self {
        let end = Cell::new(RunEnd::Unanswered);
        Self { slots, route, acquired_at: Instant::now(), run, end }
    }

    /// Notes that the backend server answered, so that the run time counts.
    pub(crate) fn set_answered(&self) {
        self.end.set(RunEnd::Answered);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = (self.slots.now)();
        self.slots.inner.lock().end(self.run, self.end.get(), now);
        self.slots.release(&self.route, self.acquired_at.elapsed());
    }
}
