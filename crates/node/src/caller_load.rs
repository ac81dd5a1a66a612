//! What callers make a node hold, and whether that is so much that slow ones are given up.
//!
//! See `docs/design/0025-callers-outside-limits.md`.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use parking_lot::Mutex;
use savorykeel_adapters::body_memory::{BodyMemory, BodyReservation};
use savorykeel_policy::ids::RouteName;

use crate::settings::Limits;

/// Largest stated length of a body that is received whatever the number of unfinished ones.
const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Length from which on an answer counts as large.
const LARGE_ANSWER_BYTES: usize = 64 << 10;

/// Memory for bodies divided by the memory for answers that wait for their readers.
const WAITING_ANSWER_DIVISOR: usize = 2;

/// Largest part of the memory for waiting answers that one expected answer may take, as a divisor,
/// so that one large answer of a route doesn't keep out its further requests.
const EXPECTED_ANSWER_DIVISOR: usize = 8;

/// What the callers of all worker threads make the node hold.
pub(crate) struct CallerLoad {
    bodies: BodyMemory,
    bodies_limit: usize,
    /// Memory for answers until their readers have taken them.
    answers: BodyMemory,
    answers_limit: usize,
    unfinished: AtomicUsize,
    unfinished_limit: usize,
    pipelined: AtomicUsize,
    pipelined_limit: usize,
    /// Lengths of the last answers of routes whose last answer was large.
    large_answers: Mutex<HashMap<RouteName, usize>>,
}

/// Counts a body as unfinished until it is dropped.
pub(crate) struct UnfinishedBody {
    load: Arc<CallerLoad>,
}

impl Drop for UnfinishedBody {
    fn drop(&mut self) {
        self.load.unfinished.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts a pipelined request until it is dropped.
pub(crate) struct PipelinedRequest {
    load: Arc<CallerLoad>,
}

impl Drop for PipelinedRequest {
    fn drop(&mut self) {
        self.load.pipelined.fetch_sub(1, Ordering::AcqRel);
    }
}

impl CallerLoad {
    /// Creates the load of a node whose bodies take memory from `bodies`.
    pub(crate) fn new(limits: &Limits, bodies: BodyMemory) -> Self {
        let answers_limit = limits.body_memory_bytes / WAITING_ANSWER_DIVISOR;
        Self {
            bodies,
            bodies_limit: limits.body_memory_bytes,
            answers: BodyMemory::new(answers_limit),
            answers_limit,
            unfinished: AtomicUsize::new(0),
            unfinished_limit: limits.unfinished_bodies,
            pipelined: AtomicUsize::new(0),
            pipelined_limit: limits.pipelined_requests,
            large_answers: Mutex::default(),
        }
    }

    /// Returns whether callers take more than half of something that the node has for them.
    pub(crate) fn is_pressed(&self) -> bool {
        self.bodies.available() < self.bodies_limit / 2
            || self.answers.available() < self.answers_limit / 2
            || self.unfinished.load(Ordering::Acquire) > self.unfinished_limit / 2
    }

    /// Counts a body whose header section has arrived; `None` if there are too many already.
    pub(crate) fn begin_body(self: &Arc<Self>, stated: Option<u64>) -> Option<UnfinishedBody> {
        let before = self.unfinished.fetch_add(1, Ordering::AcqRel);
        let body = UnfinishedBody { load: self.clone() };
        let is_small = stated.is_some_and(|length| length <= SMALL_BODY_BYTES);
        (is_small || before < self.unfinished_limit).then_some(body)
    }

    /// Reserves memory for the answer to a request, as much as the last answer of its route took
    /// if that was large; `None` if answers that wait for their readers leave no room for it.
    ///
    /// One request is taken however large its answer may be.
    pub(crate) fn reserve_answer(&self, route: &RouteName) -> Option<BodyReservation> {
        let mut reservation = self.answers.reservation(0);
        let expected = self.large_answers.lock().get(route).copied().unwrap_or(0);
        // A single answer says little about the next one of its route.
        let expected = expected.min(self.answers_limit / EXPECTED_ANSWER_DIVISOR);
        if !reservation.grow_to(expected) {
            if self.answers.available() < self.answers_limit {
                return None;
            }
            reservation.hold(expected);
        }
        Some(reservation)
    }

    /// Counts an answer that has arrived until `reservation` is dropped.
    pub(crate) fn hold_answer(
        &self,
        route: &RouteName,
        length: usize,
        reservation: &mut BodyReservation,
    ) {
        reservation.hold(length);
        let mut large_answers = self.large_answers.lock();
        if length < LARGE_ANSWER_BYTES {
            large_answers.remove(route);
        } else {
            large_answers.insert(route.clone(), length);
        }
    }

    /// Returns whether a request may be read behind another one of its connection.
    pub(crate) fn takes_pipelined(&self) -> bool {
        !self.is_pressed() && self.pipelined.load(Ordering::Acquire) < self.pipelined_limit
    }

    /// Counts a request that was read behind another one of its connection.
    pub(crate) fn begin_pipelined(self: &Arc<Self>) -> PipelinedRequest {
        self.pipelined.fetch_add(1, Ordering::AcqRel);
        PipelinedRequest { load: self.clone() }
    }
}
