//! Ramp of the new version's share up to the deadline of the move.
//!
//! The next share depends only on the current one and the time left, so that a
//! node without the move's history continues from the same step as the others.
//! `docs/design/0008-ramp.md` describes the schedule and its alternatives.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{config::model::DueTime, time::WallMillis};

use super::state::Permille;

/// Duration of a move when the configuration requests no completion time.
pub const DEFAULT_SPAN: Duration = Duration::from_secs(600);

/// Duration of a move when the requested completion time is already past.
pub const LATE_SPAN: Duration = Duration::from_secs(60);

/// Shortest duration of a move with a requested completion time.
pub const MIN_SPAN: Duration = Duration::from_secs(10);

/// Longest duration of a move.
pub const MAX_SPAN: Duration = Duration::from_secs(86_400);

/// Fraction of the duration that is reserved before the deadline.
const RESERVE_FRACTION: f64 = 0.1;

/// Shortest reserve before the deadline.
const MIN_RESERVE: Duration = Duration::from_secs(3);

/// Longest reserve before the deadline.
const MAX_RESERVE: Duration = Duration::from_secs(60);

/// Factor between the shares of two steps.
const STEP_FACTOR: u16 = 2;

/// Fraction of the time left that the first step may take while there is too
/// little evidence.
const INSUFFICIENT_STEP_FRACTION: f64 = 0.5;

/// Fraction of the time left that a step may take while evidence is adverse.
const ADVERSE_STEP_FRACTION: f64 = 0.7;

/// How the deadline was derived from the requested completion time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DeadlineNote {
    /// As requested; a requested duration is limited to the longest one of a move.
    AsAsked,
    /// No time was requested.
    Missing,
    /// The requested time had passed when the move started.
    Past,
    /// The requested time left less than the shortest duration of a move.
    TooSoon,
    /// The requested time left more than the longest duration of a move.
    TooFar,
}

/// The time by which a move should be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveDeadline {
    /// Start of the move, as seen by this node.
    pub start: WallMillis,
    /// Time by which all traffic should go to the new version.
    pub at: WallMillis,
    /// How `at` was derived from the requested time.
    pub note: DeadlineNote,
}

impl MoveDeadline {
    /// Derives the deadline of a move that starts at `start` from the requested time.
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

    /// Returns the time left for the ramp, which excludes the reserve.
    pub fn time_left(&self, now: WallMillis) -> Duration {
        let span = Duration::from_millis(self.at.0.saturating_sub(self.start.0));
        let reserve = span.mul_f64(RESERVE_FRACTION).clamp(MIN_RESERVE, MAX_RESERVE);
        Duration::from_millis(self.at.0.saturating_sub(now.0)).saturating_sub(reserve)
    }
}

/// Strength of the evidence about the new version at its current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceLevel {
    /// Too few calls ran to reveal a fault.
    Insufficient,
    /// Enough calls ran, and none of the evidence is against the version.
    Sufficient,
    /// Some evidence is against the version.
    Adverse,
}

/// Input of [`next_share`].
#[derive(Debug, Clone, Copy)]
pub struct RampInput {
    /// Current share.
    pub share: Permille,
    /// Time since the current share was reached.
    pub in_step: Duration,
    /// Time left for the ramp.
    pub time_left: Duration,
    /// Strength of the evidence at the current share.
    pub evidence: EvidenceLevel,
    /// Largest share of the new version before there is evidence about it.
    pub unproven_share: Permille,
    /// Largest share that the new version's instances can carry.
    pub max_share: Permille,
}

/// Returns the next share, which is never below the current one.
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

/// Returns the duration of the current step, as a part of the time left plus the
/// time already spent in the step.
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

/// Returns the number of steps from a share to all traffic.
fn steps_to_full(share: Permille) -> u32 {
    let mut reached = share.0.max(1);
    let mut steps = 0;
    while reached < Permille::FULL.0 {
        reached = reached.saturating_mul(STEP_FACTOR);
        steps += 1;
    }
    steps
}
