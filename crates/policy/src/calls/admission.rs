//! Admission at the node beside the backend server.
//!
//! At most as many requests run as the backend server has slots. A short queue
//! takes the rest; what can't be fast any more is shed at once, while the caller can
//! still go elsewhere, unless the queue is nearly empty. Urgent and short requests go
//! first, and callers take turns, so that one of them can't starve the others. Among
//! alike ones the request goes first that has to start soonest to be fast, and one that
//! can't be fast goes after all that can. See `docs/design/0015-admission.md`.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{code::Code, config::model::MAX_ROUTES, ids::RouteName, time::Tick};

/// Starts in a row that requests of the first class may take while others wait; the
/// next start goes to the next class, so that none starves.
const MAX_CONSECUTIVE_STARTS: u32 = 8;

/// Queued requests for each slot.
const QUEUE_PER_SLOT: usize = 2;

/// Least length of the queue.
const MIN_QUEUE: usize = 8;

/// Runs that a request which can't be fast may have to wait for: with more than half
/// of the slots' number in the queue, requests that can be fast take every slot.
const MAX_LATE_QUEUE_PER_SLOT: f64 = 0.5;

/// Shortest time for which a queued request that can't be fast is kept; queues move
/// every few milliseconds.
const MIN_LATE_WAIT: Duration = Duration::from_millis(50);

/// Weight of the newest run in the average run time.
const RUN_TIME_WEIGHT: f64 = 0.1;

/// Identifies a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Name of the caller, for fairness.
    pub caller: Arc<str>,
    /// Route that took the request; its usual time of a run counts.
    pub route: RouteName,
    /// Rank among the requests that wait, 0 first.
    pub priority: u32,
    /// Moment until which an answer counts as fast.
    pub objective_at: Tick,
    /// Moment at which its caller stops waiting.
    pub deadline: Tick,
}

/// What becomes of an request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It has a slot and must be released.
    Start,
    /// It waits; its ticket is named by a later [`Release`].
    Wait(Ticket),
    /// It doesn't run.
    Shed(Code),
}

/// Queued requests whose wait ended.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// Requests that have a slot now and must be released.
    pub started: Vec<Ticket>,
    /// Requests that don't run.
    pub shed: Vec<(Ticket, Code)>,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    /// Moment at which it has to start to be fast.
    start_by: Tick,
    /// Moment after which it is shed, because it would be very late.
    shed_after: Tick,
    deadline: Tick,
}

impl Waiter {
    /// Returns why the request doesn't run any more, if it doesn't.
    fn expired(&self, now: Tick) -> Option<Code> {
        match (self.deadline <= now, self.shed_after < now) {
            (true, _) => Some(Code::DeadlineBeforeStart),
            (false, true) => Some(Code::Overloaded),
            (false, false) => None,
        }
    }
}

/// Queue of one class in which callers take turns.
#[derive(Debug, Default)]
struct FairQueue {
    /// Requests of each caller, the one that has to start soonest first.
    by_caller: HashMap<Arc<str>, VecDeque<Waiter>>,
    /// Callers with queued requests, the next to be served first.
    turns: VecDeque<Arc<str>>,
    len: usize,
}

impl FairQueue {
    fn push(&mut self, caller: &Arc<str>, waiter: Waiter) {
        let queue = self.by_caller.entry(caller.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(caller.clone());
        }
        let position = queue.partition_point(|other| other.start_by <= waiter.start_by);
        queue.insert(position, waiter);
        self.len += 1;
    }

    /// Takes the next request out: of the callers in turn, the first one that can
    /// still be fast, else the first one.
    fn pop(&mut self, now: Tick) -> Option<Waiter> {
        let fast = self.turns.iter().enumerate().find_map(|(turn, caller)| {
            let queue = &self.by_caller[caller];
            let i = queue.partition_point(|waiter| waiter.start_by < now);
            (i < queue.len()).then_some((turn, i))
        });
        let (turn, i) = fast.unwrap_or((0, 0));
        let caller = self.turns.get(turn)?.clone();
        let waiter = self.remove_at(&caller, i)?;
        if self.by_caller.contains_key(&caller) {
            self.turns.remove(turn);
            self.turns.push_back(caller);
        }
        Some(waiter)
    }

    /// Returns the number of requests that go before one that has to start by
    /// `start_by`.
    fn ahead_of(&self, start_by: Tick, now: Tick) -> usize {
        if start_by < now {
            return self.len;
        }
        let is_ahead = |waiter: &&Waiter| waiter.start_by <= start_by && waiter.start_by >= now;
        self.by_caller.values().flatten().filter(is_ahead).count()
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let found = self.by_caller.iter().find_map(|(caller, queue)| {
            let i = queue.iter().position(|waiter| waiter.ticket == ticket)?;
            Some((caller.clone(), i))
        });
        let Some((caller, i)) = found else { return false };
        self.remove_at(&caller, i);
        true
    }

    fn remove_at(&mut self, caller: &Arc<str>, i: usize) -> Option<Waiter> {
        let queue = self.by_caller.get_mut(caller)?;
        let waiter = queue.remove(i)?;
        self.len -= 1;
        if queue.is_empty() {
            self.by_caller.remove(caller);
            self.turns.retain(|turn| turn != caller);
        }
        Some(waiter)
    }

    /// Returns the caller with the longest queue, ties broken by name.
    fn longest(&self) -> Option<(Arc<str>, usize)> {
        let key =
            |(caller, queue): &(&Arc<str>, &VecDeque<Waiter>)| (queue.len(), (*caller).clone());
        self.by_caller.iter().max_by_key(key).map(|(caller, queue)| (caller.clone(), queue.len()))
    }

    fn len_of(&self, caller: &Arc<str>) -> usize {
        self.by_caller.get(caller).map_or(0, VecDeque::len)
    }

    fn drain_expired(&mut self, now: Tick, out: &mut Vec<(Ticket, Code)>) {
        for queue in self.by_caller.values_mut() {
            queue.retain(|waiter| {
                let expired = waiter.expired(now);
                out.extend(expired.map(|code| (waiter.ticket, code)));
                expired.is_none()
            });
        }
        self.by_caller.retain(|_, queue| !queue.is_empty());
        self.turns.retain(|caller| self.by_caller.contains_key(caller));
        self.len = self.by_caller.values().map(VecDeque::len).sum();
    }
}

/// Slots of one backend server and the queue before them.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    running: u32,
    /// Queued requests by [`AdmissionQueue::class`]; no queue is empty.
    classes: BTreeMap<u32, FairQueue>,
    next_ticket: u64,
    consecutive_starts: u32,
    /// Average time that a request holds a slot, in milliseconds.
    run_time_ms: f64,
    /// The same by route.
    run_time_ms_by_route: HashMap<RouteName, f64>,
}

impl AdmissionQueue {
    /// Creates the queue of a backend server with `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            classes: BTreeMap::new(),
            next_ticket: 0,
            consecutive_starts: 0,
            run_time_ms: 0.0,
            run_time_ms_by_route: HashMap::new(),
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.classes.values().map(|queue| queue.len).sum()
    }

    /// Returns the average time of a run; zero when none ended yet.
    pub fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.run_time_ms / 1_000.0)
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Changes the number of slots; more slots start queued requests.
    pub fn set_slots(&mut self, slots: u32, now: Tick) -> Release {
        self.slots = slots;
        self.start_queued(now)
    }

    /// Decides on a request.
    ///
    /// Queued requests that have to make room for it are added to `release`.
    pub fn offer(
        &mut self,
        request: &AdmissionRequest,
        now: Tick,
        release: &mut Release,
    ) -> AdmissionDecision {
        if request.deadline <= now {
            return AdmissionDecision::Shed(Code::DeadlineBeforeStart);
        }
        if self.running < self.slots && self.queued() == 0 {
            self.running += 1;
            return AdmissionDecision::Start;
        }
        if !self.should_queue(request, now) {
            return AdmissionDecision::Shed(Code::Overloaded);
        }
        if self.queued() >= self.queue_limit() && !self.make_room(request, release) {
            return AdmissionDecision::Shed(Code::Overloaded);
        }
        AdmissionDecision::Wait(self.enqueue(request, now))
    }

    /// Gives a slot back after a run of `run_time` and starts queued requests.
    pub fn release(&mut self, route: &RouteName, run_time: Duration, now: Tick) -> Release {
        self.running = self.running.saturating_sub(1);
        let run_time_ms = run_time.as_secs_f64() * 1_000.0;
        self.run_time_ms += RUN_TIME_WEIGHT * (run_time_ms - self.run_time_ms);
        if self.run_time_ms_by_route.len() >= MAX_ROUTES
            && !self.run_time_ms_by_route.contains_key(route)
        {
            self.run_time_ms_by_route.clear();
        }
        let average_ms = self.run_time_ms_by_route.entry(route.clone()).or_insert(run_time_ms);
        *average_ms += RUN_TIME_WEIGHT * (run_time_ms - *average_ms);
        self.start_queued(now)
    }

    /// Removes a queued request whose caller gave up; tells whether it was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let was_queued = self.classes.values_mut().any(|queue| queue.remove(ticket));
        self.remove_empty_classes();
        was_queued
    }

    /// Sheds queued requests that are past their deadline or very late.
    pub fn expire(&mut self, now: Tick) -> Release {
        let mut shed = Vec::new();
        for queue in self.classes.values_mut() {
            queue.drain_expired(now, &mut shed);
        }
        self.remove_empty_classes();
        Release { started: Vec::new(), shed }
    }

    fn queue_limit(&self) -> usize {
        (self.slots as usize * QUEUE_PER_SLOT).max(MIN_QUEUE)
    }

    /// Returns the usual time of a run of a route, in milliseconds.
    fn expected_run_ms(&self, route: &RouteName) -> f64 {
        self.run_time_ms_by_route.get(route).copied().unwrap_or(self.run_time_ms)
    }

    /// Returns a request's class among the others, 0 first: its rank, and one more for
    /// each doubling of its run.
    ///
    /// While more requests come than run, a slot is best given to what is worth most
    /// for its time. Calls of backend servers are short, and one that is refused wastes
    /// the longer run that made it.
    fn class(&self, request: &AdmissionRequest) -> u32 {
        let run_ms = self.expected_run_ms(&request.route) as u64;
        request.priority.saturating_add(run_ms.max(1).ilog2())
    }

    /// Returns the moment at which a request has to start to be fast; the past for
    /// one that can't be.
    fn start_by(&self, request: &AdmissionRequest) -> Tick {
        let run_ms = self.expected_run_ms(&request.route).ceil() as u64;
        Tick(request.objective_at.0.saturating_sub(run_ms))
    }

    /// Tells whether a request is likely to be fast, or meets a queue so short that it
    /// keeps no other one from being fast.
    ///
    /// While more requests come than run, a queue that is longer than what is fast
    /// makes every answer slow and lets no more of them through.
    fn should_queue(&self, request: &AdmissionRequest, now: Tick) -> bool {
        let start_by = self.start_by(request);
        let class = self.class(request);
        let higher_classes = self.classes.range(..class).map(|(_, queue)| queue.len);
        let same_class = self.classes.get(&class);
        let ahead: usize = higher_classes.sum::<usize>()
            + same_class.map_or(0, |queue| queue.ahead_of(start_by, now));
        let rounds = (ahead + 1) as f64 / f64::from(self.slots.max(1));
        let wait_ms = rounds * self.run_time_ms;
        let left_ms = |until: Tick| until.since(now).as_secs_f64() * 1_000.0;
        let is_fast = start_by >= now && left_ms(start_by) >= wait_ms;
        let needed_ms = wait_ms + self.expected_run_ms(&request.route);
        let whole_queue = self.queued() as f64 / f64::from(self.slots.max(1));
        left_ms(request.deadline) > needed_ms && (is_fast || whole_queue < MAX_LATE_QUEUE_PER_SLOT)
    }

    /// Sheds a queued request in favour of a new one; tells whether it did.
    ///
    /// The request comes from the last class, from the caller that has most there, and
    /// is the one that has most time to start. A request of a later class always makes
    /// room. Within one class a caller can't push out another one's request unless that
    /// one has more requests queued.
    fn make_room(&mut self, request: &AdmissionRequest, release: &mut Release) -> bool {
        let own_class = self.class(request);
        let Some((&class, queue)) = self.classes.iter_mut().next_back() else { return false };
        let Some((caller, len)) = queue.longest() else { return false };
        let is_outranked = class > own_class;
        let is_unfair = class == own_class && len > queue.len_of(&request.caller) + 1;
        if !is_outranked && !is_unfair {
            return false;
        }
        let victim = queue.remove_at(&caller, len - 1);
        self.remove_empty_classes();
        let Some(victim) = victim else { return false };
        release.shed.push((victim.ticket, Code::Overloaded));
        true
    }

    fn enqueue(&mut self, request: &AdmissionRequest, now: Tick) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let start_by = self.start_by(request);
        let run_time = Duration::from_secs_f64(self.expected_run_ms(&request.route) / 1_000.0);
        let shed_after = start_by.max(now) + run_time.max(MIN_LATE_WAIT);
        let waiter = Waiter { ticket, start_by, shed_after, deadline: request.deadline };
        let class = self.class(request);
        self.classes.entry(class).or_default().push(&request.caller, waiter);
        ticket
    }

    fn start_queued(&mut self, now: Tick) -> Release {
        let mut release = self.expire(now);
        while self.running < self.slots {
            let Some(waiter) = self.next_waiter(now) else { break };
            self.running += 1;
            release.started.push(waiter.ticket);
        }
        release
    }

    fn next_waiter(&mut self, now: Tick) -> Option<Waiter> {
        let first = *self.classes.keys().next()?;
        let second = self.classes.keys().nth(1).copied();
        let class = match second {
            Some(second) if self.consecutive_starts >= MAX_CONSECUTIVE_STARTS => {
                self.consecutive_starts = 0;
                second
            }
            Some(_) => {
                self.consecutive_starts += 1;
                first
            }
            None => first,
        };
        let waiter = self.classes.get_mut(&class)?.pop(now);
        self.remove_empty_classes();
        waiter
    }

    fn remove_empty_classes(&mut self) {
        self.classes.retain(|_, queue| queue.len > 0);
    }
}
