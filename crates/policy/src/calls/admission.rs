//! Admission of requests on the node that runs next to the backend server.
//!
//! At most as many requests run as the backend server has slots; a short queue holds the
//! rest. A request that can no longer meet its objective is shed at once, while the
//! caller can still try another instance, unless the queue is nearly empty. Requests of
//! high priority and short requests start first, and callers are served round-robin, so
//! that no caller can starve the others. Among a caller's requests of the same class, the
//! one that has to start earliest to meet its objective goes first. Within a class,
//! requests that can't meet it go after all that can.
//!
//! A backend server in need may state how many requests a second it takes. Then each start
//! takes a token as well, so that a surplus waits and is shed in the same order. See
//! `docs/design/0015-admission.md`.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    code::Code,
    config::model::MAX_ROUTES,
    ids::RouteName,
    server::rate::{RequestRate, TokenBucket},
    time::Tick,
};

/// Consecutive starts that the first class may take while another class waits. The next
/// start goes to the second class, so that it isn't starved.
const MAX_CONSECUTIVE_STARTS: u32 = 8;

/// Length limit of the queue for each slot.
const QUEUE_PER_SLOT: usize = 2;

/// Lower bound of the queue's length limit, for backend servers with few slots.
const MIN_QUEUE: usize = 8;

/// Queue length per slot from which a request that can't meet its objective is shed. With
/// more than half as many queued requests as slots, requests that can still meet theirs
/// use every slot.
const MAX_LATE_QUEUE_PER_SLOT: f64 = 0.5;

/// Shortest time for which a queued request that can't meet its objective is kept. Queues
/// advance every few milliseconds.
const MIN_LATE_WAIT: Duration = Duration::from_millis(50);

/// Shortest time after which queued requests are checked for tokens again.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(2);

/// Weight of the newest run in the moving average of the run time.
const RUN_TIME_WEIGHT: f64 = 0.1;

/// Identifies a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Name of the caller, by which slots are shared out fairly.
    pub caller: Arc<str>,
    /// Route that matched the request; its average run time enters the estimates.
    pub route: RouteName,
    /// Priority among the waiting requests; 0 goes first.
    pub priority: u32,
    /// Time until which an answer meets the latency objective.
    pub objective_at: Tick,
    /// Time at which the caller stops waiting.
    pub deadline: Tick,
}

/// Decision on a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request has a slot, which must be given back with [`AdmissionQueue::release`].
    Start,
    /// The request is queued; a later [`Release`] names its ticket.
    Wait(Ticket),
    /// The request is refused and doesn't run.
    Shed(Code),
}

/// Queued requests whose wait has ended.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// Requests that now hold a slot, which must be given back.
    pub started: Vec<Ticket>,
    /// Requests that are refused and don't run.
    pub shed: Vec<(Ticket, Code)>,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    /// Latest start with which the request is expected to meet its objective.
    start_by: Tick,
    /// Time after which the request is shed because it would be very late.
    shed_after: Tick,
    deadline: Tick,
}

impl Waiter {
    /// Returns whether the request is not expected to meet its objective any more.
    fn is_late(&self, now: Tick) -> bool {
        self.start_by < now
    }

    /// Returns the code to shed the request with, or `None` while it may wait.
    fn expired(&self, now: Tick) -> Option<Code> {
        match (self.deadline <= now, self.shed_after < now) {
            (true, _) => Some(Code::DeadlineBeforeStart),
            (false, true) => Some(Code::Overloaded),
            (false, false) => None,
        }
    }
}

/// Queue of one class, which serves callers round-robin.
#[derive(Debug, Default)]
struct FairQueue {
    /// Requests of each caller, ordered by their latest start.
    by_caller: HashMap<Arc<str>, VecDeque<Waiter>>,
    /// Callers with queued requests; the front is served next.
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

    /// Removes and returns the next request. The turn is that of the first caller, in
    /// round-robin order, that has a request that can still meet its objective; its request
    /// with the earliest latest start goes first.
    ///
    /// If a request can't meet its objective any more, more come than run. Then the caller's
    /// request with the most time left goes first instead: starting each at its latest start
    /// would make all runs late that take longer than usual.
    fn pop(&mut self, now: Tick) -> Option<Waiter> {
        let can_be_fast = |caller: &Arc<str>| {
            self.by_caller[caller].back().is_some_and(|waiter| !waiter.is_late(now))
        };
        let turn = self.turns.iter().position(can_be_fast).unwrap_or(0);
        let caller = self.turns.get(turn)?.clone();
        let i = match self.is_overloaded(now) {
            true => self.len_of(&caller).saturating_sub(1),
            false => 0,
        };
        let waiter = self.remove_at(&caller, i)?;
        if self.by_caller.contains_key(&caller) {
            self.turns.remove(turn);
            self.turns.push_back(caller);
        }
        Some(waiter)
    }

    /// Returns whether a queued request can't meet its objective any more.
    fn is_overloaded(&self, now: Tick) -> bool {
        let is_first_late =
            |queue: &VecDeque<Waiter>| queue.front().is_some_and(|waiter| waiter.is_late(now));
        self.by_caller.values().any(is_first_late)
    }

    /// Returns the number of requests that start before one whose latest start is
    /// `start_by`.
    fn ahead_of(&self, start_by: Tick, now: Tick) -> usize {
        if start_by < now {
            return self.len;
        }
        let is_overloaded = self.is_overloaded(now);
        let is_ahead = |waiter: &&Waiter| match is_overloaded {
            true => waiter.start_by > start_by,
            false => waiter.start_by <= start_by,
        };
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

    /// Returns the caller with the longest queue; ties are broken by name.
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

/// Slots of one backend server and the queue for them.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    running: u32,
    /// Queued requests by [`AdmissionQueue::class`]; empty queues are removed.
    classes: BTreeMap<u32, FairQueue>,
    next_ticket: u64,
    consecutive_starts: u32,
    /// Moving average of the time that a request holds a slot, in milliseconds.
    run_time_ms: f64,
    /// Moving average of the same time for each route, in milliseconds.
    run_time_ms_by_route: HashMap<RouteName, f64>,
    /// Tokens for starts while the backend server states a rate.
    tokens: Option<TokenBucket>,
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
            tokens: None,
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

    /// Returns the average run time; zero when no run has ended yet.
    pub fn run_time(&self) -> Duration {
        Duration::from_secs_f64(self.run_time_ms / 1_000.0)
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Changes the number of slots and starts queued requests if slots became free.
    pub fn set_slots(&mut self, slots: u32, now: Tick) -> Release {
        self.slots = slots;
        self.start_queued(now)
    }

    /// Changes the rate that the backend server states; `None` if it states none.
    pub fn set_rate(&mut self, rate: Option<RequestRate>, now: Tick) -> Release {
        match (rate, &mut self.tokens) {
            (Some(rate), Some(tokens)) if tokens.rate() == rate => return Release::default(),
            (Some(rate), Some(tokens)) => tokens.set_rate(rate, now),
            (Some(rate), None) => self.tokens = Some(TokenBucket::new(rate, now)),
            (None, None) => return Release::default(),
            (None, Some(_)) => self.tokens = None,
        }
        self.start_queued(now)
    }

    /// Returns the time after which [`AdmissionQueue::start_queued`] may start a request
    /// although no run ends, or `None` if requests wait only for slots.
    pub fn time_to_next_token(&self, now: Tick) -> Option<Duration> {
        let tokens = self.tokens.as_ref().filter(|_| self.queued() > 0)?;
        Some(tokens.time_until(1, now).max(MIN_TOKEN_WAIT))
    }

    /// Returns the time that one more request would wait because of the stated rate; zero
    /// without one.
    pub fn rate_wait(&self, now: Tick) -> Duration {
        self.token_wait(self.queued() + 1, now)
    }

    /// Starts, queues or sheds a request.
    ///
    /// Queued requests that are shed to make room for it are added to `release`.
    pub fn offer(
        &mut self,
        request: &AdmissionRequest,
        now: Tick,
        release: &mut Release,
    ) -> AdmissionDecision {
        if request.deadline <= now {
            return AdmissionDecision::Shed(Code::DeadlineBeforeStart);
        }
        if self.running < self.slots && self.queued() == 0 && self.try_take_token(now) {
            self.running += 1;
            return AdmissionDecision::Start;
        }
        if !self.should_queue(request, now) {
            return AdmissionDecision::Shed(Code::Overloaded);
        }
        if self.queued() >= self.queue_limit() && !self.make_room(request, now, release) {
            return AdmissionDecision::Shed(Code::Overloaded);
        }
        AdmissionDecision::Wait(self.enqueue(request, now))
    }

    /// Gives back a slot after a run of `run_time` and starts queued requests.
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

    /// Removes a queued request whose caller gave up. Returns whether it was queued.
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

    /// Returns the expected run time of a route in milliseconds: its own average, or that
    /// of all routes before its first run.
    fn expected_run_ms(&self, route: &RouteName) -> f64 {
        self.run_time_ms_by_route.get(route).copied().unwrap_or(self.run_time_ms)
    }

    /// Returns the class of a request, 0 first: its priority, plus one for each doubling
    /// of its expected run time.
    ///
    /// Under overload, slots are best spent on the requests with the highest value per
    /// unit of time. Calls made by backend servers are short, and refusing one wastes the
    /// longer run that made it.
    fn class(&self, request: &AdmissionRequest) -> u32 {
        let run_ms = self.expected_run_ms(&request.route) as u64;
        request.priority.saturating_add(run_ms.max(1).ilog2())
    }

    /// Returns the latest start with which a request meets its objective. It lies in the
    /// past when the objective can't be met.
    fn start_by(&self, request: &AdmissionRequest) -> Tick {
        let run_ms = self.expected_run_ms(&request.route).ceil() as u64;
        Tick(request.objective_at.0.saturating_sub(run_ms))
    }

    /// Returns whether a request is likely to meet its objective, or the queue is so
    /// short that queueing it keeps no other request from meeting its own.
    ///
    /// Under overload, a queue longer than that makes every answer slow without letting
    /// more requests through.
    fn should_queue(&self, request: &AdmissionRequest, now: Tick) -> bool {
        let start_by = self.start_by(request);
        let class = self.class(request);
        let higher_classes = self.classes.range(..class).map(|(_, queue)| queue.len);
        let same_class = self.classes.get(&class);
        let ahead: usize = higher_classes.sum::<usize>()
            + same_class.map_or(0, |queue| queue.ahead_of(start_by, now));
        let rounds = (ahead + 1) as f64 / f64::from(self.slots.max(1));
        let token_wait_ms = self.token_wait(ahead + 1, now).as_secs_f64() * 1_000.0;
        let wait_ms = (rounds * self.run_time_ms).max(token_wait_ms);
        let left_ms = |until: Tick| until.since(now).as_secs_f64() * 1_000.0;
        let is_fast = start_by >= now && left_ms(start_by) >= wait_ms;
        let needed_ms = wait_ms + self.expected_run_ms(&request.route);
        let whole_queue = self.queued() as f64 / f64::from(self.slots.max(1));
        left_ms(request.deadline) > needed_ms && (is_fast || whole_queue < MAX_LATE_QUEUE_PER_SLOT)
    }

    /// Sheds a queued request in favour of a new one. Returns whether it did.
    ///
    /// The request is taken from the last class, from the caller with the most requests
    /// there, and is the one that would start last. A request of a later class than
    /// the new one always makes room, and so does one of the same class while a request there
    /// can't meet its objective any more. Otherwise, a caller can displace within its class
    /// only a request of a caller that has more requests queued, the new one counted.
    fn make_room(&mut self, request: &AdmissionRequest, now: Tick, release: &mut Release) -> bool {
        let own_class = self.class(request);
        let Some((&class, queue)) = self.classes.iter_mut().next_back() else { return false };
        let Some((caller, len)) = queue.longest() else { return false };
        let is_outranked = class > own_class;
        let is_unfair = class == own_class && len > queue.len_of(&request.caller) + 1;
        let is_overloaded = queue.is_overloaded(now);
        let is_late = class == own_class && is_overloaded;
        if !is_outranked && !is_unfair && !is_late {
            return false;
        }
        let last_to_start = match is_overloaded {
            true => 0,
            false => len - 1,
        };
        let victim = queue.remove_at(&caller, last_to_start);
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

    /// Starts queued requests as far as slots and tokens allow, and sheds those that are past
    /// their deadline or very late.
    pub fn start_queued(&mut self, now: Tick) -> Release {
        let mut release = self.expire(now);
        while self.running < self.slots && self.queued() > 0 && self.try_take_token(now) {
            let Some(waiter) = self.next_waiter(now) else { break };
            self.running += 1;
            release.started.push(waiter.ticket);
        }
        release
    }

    /// Takes a token for a start; returns whether there was one or none is needed.
    fn try_take_token(&mut self, now: Tick) -> bool {
        self.tokens.as_mut().is_none_or(|tokens| tokens.try_take(now))
    }

    /// Returns the time until the `n`th next start has a token.
    fn token_wait(&self, n: usize, now: Tick) -> Duration {
        self.tokens.as_ref().map_or(Duration::ZERO, |tokens| tokens.time_until(n, now))
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
