//! How the new version's share rises until the time asked for.
//!
//! The next share follows from the present one and the time left, so a node that
//! knows nothing of the move's past goes on where the others are. The schedule
//! and what was weighed are in `docs/design/0008-ramp.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{config::model::DueTime, time::WallMillis};

use super::state::Permille;

/// Time that a move takes when the configuration names none.
pub const DEFAULT_SPAN: Duration = Duration::from_secs(600);

/// Time that a move takes when the time asked for has passed.
pub const LATE_SPAN: Duration = Duration::from_secs(60);

/// Shortest time that a move takes.
pub const MIN_SPAN: Duration = Duration::from_secs(10);

/// Longest time that a move takes.
pub const MAX_SPAN: Duration = Duration::from_secs(86_400);

/// Part of the time that is kept in reserve before the time asked for.
const RESERVE_FRACTION: f64 = 0.1;

/// Shortest reserve.
const MIN_RESERVE: Duration = Duration::from_secs(3);

/// Longest reserve.
const MAX_RESERVE: Duration = Duration::from_secs(60);

/// Factor between two steps.
const STEP_FACTOR: u16 = 2;

/// Part of the time left that a step may take while evidence is too thin.
const INSUFFICIENT_STEP_FRACTION: f64 = 0.5;

/// Part of the time left that a step may take while evidence worries.
const ADVERSE_STEP_FRACTION: f64 = 0.7;

/// How the time asked for was understood.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DeadlineNote {
    /// As asked.
    AsAsked,
    /// None was asked for.
    Missing,
    /// It had passed when the move started.
    Past,
    /// It left less than the shortest time of a move.
    TooSoon,
    /// It left more than the longest time of a move.
    TooFar,
}

/// The time by which a move is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveDeadline {
    /// Start of the move as this node saw it.
    pub start: WallMillis,
    /// Time by which all traffic is to reach the new version.
    pub at: WallMillis,
    /// How the time asked for was understood.
    pub note: DeadlineNote,
}

impl MoveDeadline {
    /// Understands the time asked for by a move that starts now.
    pub fn new(start: WallMillis, asked: Option<DueTime>) -> Self {
        let asked = match asked {
            Some(DueTime::Within(span)) => {
                return Self { start, at: start + span.min(MAX_SPAN), note: DeadlineNote::AsAsked };
            }
            Some(DueTime::By(at)) => Some(at),
            None => None,
        };
        let (at, note) = match asked {
            None => (start + DEFAULT_SPAN, DeadlineNote::Missing),
            Some(by) if by <= start => (start + LATE_SPAN, DeadlineNote::Past),
            Some(by) if by < start + MIN_SPAN => (start + MIN_SPAN, DeadlineNote::TooSoon),
            Some(by) if by > start + MAX_SPAN => (start + MAX_SPAN, DeadlineNote::TooFar),
            Some(by) => (by, DeadlineNote::AsAsked),
        };
        Self { start, at, note }
    }

    /// Returns the time left for rising, without the reserve.
    pub fn time_left(&self, now: WallMillis) -> Duration {
        let span = Duration::from_millis(self.at.0.saturating_sub(self.start.0));
        let reserve = span.mul_f64(RESERVE_FRACTION).clamp(MIN_RESERVE, MAX_RESERVE);
        Duration::from_millis(self.at.0.saturating_sub(now.0)).saturating_sub(reserve)
    }
}

/// What is known about the new version at its present step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceLevel {
    /// Too few calls to show a fault.
    Insufficient,
    /// Enough calls, and nothing speaks against it.
    Sufficient,
    /// Something speaks against it.
    Adverse,
}

/// What the next share depends on.
#[derive(Debug, Clone, Copy)]
pub struct RampInput {
    /// Share reached so far.
    pub share: Permille,
    /// Time since it was reached.
    pub in_step: Duration,
    /// Time left for rising.
    pub time_left: Duration,
    /// What is known about the new version.
    pub evidence: EvidenceLevel,
    /// Largest share before there is evidence.
    pub unproven_share: Permille,
    /// Largest share that its instances can carry.
    pub max_share: Permille,
}

/// Returns the share from now on; it is never below the present one.
pub fn next_share(input: &RampInput) -> Permille {
    if input.share >= Permille::FULL {
        return input.share;
    }
    let first = first_step(input.unproven_share);
    if input.share < first {
        return first.min(input.max_share).max(input.share);
    }
    if input.in_step < step_duration(input) {
        return input.share;
    }
    let next = Permille(input.share.0.saturating_mul(STEP_FACTOR)).min(Permille::FULL);
    next.min(input.max_share).max(input.share)
}

fn first_step(unproven_share: Permille) -> Permille {
    unproven_share.max(Permille(1))
}

/// Returns how long the present step lasts, counted from the time left now and
/// the time already spent in it.
fn step_duration(input: &RampInput) -> Duration {
    let step_budget = input.time_left + input.in_step;
    match input.evidence {
        EvidenceLevel::Adverse => step_budget.mul_f64(ADVERSE_STEP_FRACTION),
        EvidenceLevel::Insufficient if input.share <= first_step(input.unproven_share) => {
            step_budget.mul_f64(INSUFFICIENT_STEP_FRACTION)
        }
        EvidenceLevel::Insufficient | EvidenceLevel::Sufficient => {
            step_budget / (steps_to_full(input.share) + 1)
        }
    }
}

/// Returns the steps until all traffic.
fn steps_to_full(share: Permille) -> u32 {
    let mut reached = share.0.max(1);
    let mut steps = 0;
    while reached < Permille::FULL.0 {
        reached = reached.saturating_mul(STEP_FACTOR);
        steps += 1;
    }
    steps
}
