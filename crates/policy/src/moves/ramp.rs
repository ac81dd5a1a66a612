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
const RESERVE_PART: f64 = 0.1;

/// Shortest reserve.
const MIN_RESERVE: Duration = Duration::from_secs(3);

/// Longest reserve.
const MAX_RESERVE: Duration = Duration::from_secs(60);

/// Factor between two steps.
const STEP_FACTOR: u16 = 2;

/// Part of the time left that a step may take while evidence is too thin.
const THIN_PART: f64 = 0.5;

/// Part of the time left that a step may take while evidence worries.
const WORRYING_PART: f64 = 0.7;

/// How the time asked for was understood.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ByNote {
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
pub struct Due {
    /// Start of the move as this node saw it.
    pub start: WallMillis,
    /// Time by which all traffic is to reach the new version.
    pub at: WallMillis,
    /// How the time asked for was understood.
    pub note: ByNote,
}

impl Due {
    /// Understands the time asked for by a move that starts now.
    pub fn new(start: WallMillis, asked: Option<DueTime>) -> Self {
        let asked = match asked {
            Some(DueTime::Within(span)) => {
                return Self { start, at: start + span.min(MAX_SPAN), note: ByNote::AsAsked };
            }
            Some(DueTime::By(at)) => Some(at),
            None => None,
        };
        let (at, note) = match asked {
            None => (start + DEFAULT_SPAN, ByNote::Missing),
            Some(by) if by <= start => (start + LATE_SPAN, ByNote::Past),
            Some(by) if by < start + MIN_SPAN => (start + MIN_SPAN, ByNote::TooSoon),
            Some(by) if by > start + MAX_SPAN => (start + MAX_SPAN, ByNote::TooFar),
            Some(by) => (by, ByNote::AsAsked),
        };
        Self { start, at, note }
    }

    /// Returns the time left for rising, without the reserve.
    pub fn left(&self, now: WallMillis) -> Duration {
        let span = Duration::from_millis(self.at.0.saturating_sub(self.start.0));
        let reserve = span.mul_f64(RESERVE_PART).clamp(MIN_RESERVE, MAX_RESERVE);
        Duration::from_millis(self.at.0.saturating_sub(now.0)).saturating_sub(reserve)
    }
}

/// What is known about the new version at its present step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// Too few calls to show a fault.
    Thin,
    /// Enough calls, and nothing speaks against it.
    Enough,
    /// Something speaks against it.
    Worrying,
}

/// What the next share depends on.
#[derive(Debug, Clone, Copy)]
pub struct RampInput {
    /// Share reached so far.
    pub share: Permille,
    /// Time since it was reached.
    pub in_step: Duration,
    /// Time left for rising.
    pub left: Duration,
    /// What is known about the new version.
    pub proof: Proof,
    /// Largest share before there is evidence.
    pub unproven: Permille,
    /// Largest share that its instances can carry.
    pub ceiling: Permille,
}

/// Returns the share from now on; it is never below the present one.
pub fn next_share(input: &RampInput) -> Permille {
    if input.share >= Permille::FULL {
        return input.share;
    }
    let first = first_step(input.unproven);
    if input.share < first {
        return first.min(input.ceiling).max(input.share);
    }
    if input.in_step < step_time(input) {
        return input.share;
    }
    let next = Permille(input.share.0.saturating_mul(STEP_FACTOR)).min(Permille::FULL);
    next.min(input.ceiling).max(input.share)
}

fn first_step(unproven: Permille) -> Permille {
    unproven.max(Permille(1))
}

/// Returns how long the present step lasts, counted from the time left now and
/// the time already spent in it.
fn step_time(input: &RampInput) -> Duration {
    let whole = input.left + input.in_step;
    match input.proof {
        Proof::Worrying => whole.mul_f64(WORRYING_PART),
        Proof::Thin if input.share <= first_step(input.unproven) => whole.mul_f64(THIN_PART),
        Proof::Thin | Proof::Enough => whole / (steps_left(input.share) + 1),
    }
}

/// Returns the steps until all traffic.
fn steps_left(share: Permille) -> u32 {
    let mut reached = share.0.max(1);
    let mut steps = 0;
    while reached < Permille::FULL.0 {
        reached = reached.saturating_mul(STEP_FACTOR);
        steps += 1;
    }
    steps
}
