//! Stages of the new version's share in a move that must be done within seconds.
//!
//! There are three stages. In the first the new version gets a small share. In the
//! second one of its instances gets as many calls as at the full share, so that a
//! fault that appears only under load affects few calls. In the third the new
//! version gets all traffic. See `docs/design/0014-short-moves.md`.

use std::time::Duration;

use super::{judge::Judgement, state::Permille};

/// Longest requested duration of a move that follows this plan.
pub const MAX_SPAN: Duration = Duration::from_secs(120);

/// End of the first stage, as a fraction of the time for the ramp.
const FIRST_STAGE_END: f64 = 0.45;

/// End of the second stage, as a fraction of the time for the ramp.
const LOADED_STAGE_END: f64 = 0.85;

/// Calls of the new version that a stage needs before the next one begins.
const CALLS_PER_STAGE: u64 = 10;

/// Fraction of the time for the ramp from which the last stage begins without these calls.
const LAST_STAGE_START: f64 = 0.95;

/// Least and greatest share of the second stage.
///
/// In between, the share is what one instance carries at the full share. The upper
/// bound limits the calls that a bad version gets.
const LOADED_SHARE_BOUNDS: (f64, f64) = (0.15, 0.22);

/// Time reserved for the status to be written and read.
const STATUS_RESERVE: Duration = Duration::from_millis(1_500);

/// Time added to the longest request before a move with all traffic on the new
/// version is done, so that no request to the old version is still in flight.
const SETTLE_MARGIN: Duration = Duration::from_millis(600);

/// Largest part of the move that this wait may take, so that a route with a long timeout leaves
/// time for the stages.
const MAX_SETTLE_FRACTION: f64 = 0.6;

/// Input of [`next_share`].
#[derive(Debug, Clone, Copy)]
pub struct ShortInput<'a> {
    /// Current share.
    pub share: Permille,
    /// Calls of the new version at this share.
    pub step_calls: u64,
    /// Time since the start of the move.
    pub elapsed: Duration,
    /// Time from the start of the move within which it should be done.
    pub span: Duration,
    /// Longest time that a request to the service may take.
    pub longest_request: Duration,
    /// Judgement of the evidence so far.
    pub judgement: &'a Judgement,
    /// Largest share of the new version before there is evidence about it.
    pub unproven_share: Permille,
    /// Number of live instances of the new version.
    pub new_instances: u32,
}

/// Returns the next share.
///
/// It is never below the current one, and doesn't rise while any evidence is against
/// the version. Nor does it before the version has run a few calls, as long as there is time: a
/// version whose instances were out of reach until now has shown nothing.
pub fn next_share(input: &ShortInput<'_>) -> Permille {
    if input.new_instances == 0 || *input.judgement != Judgement::Clear {
        return input.share;
    }
    let reserve = STATUS_RESERVE + settle_time(input.longest_request, input.span);
    let ramp_time = input.span.saturating_sub(reserve);
    let progress = input.elapsed.as_secs_f64() / ramp_time.as_secs_f64().max(0.001);
    let planned = if progress < FIRST_STAGE_END {
        input.unproven_share
    } else if progress < LOADED_STAGE_END {
        let (least, most) = LOADED_SHARE_BOUNDS;
        let one_instance = 1.0 / f64::from(input.new_instances);
        Permille::from_share(one_instance.clamp(least, most)).max(input.unproven_share)
    } else {
        Permille::FULL
    };
    let has_calls = input.share > Permille::NONE && input.step_calls >= CALLS_PER_STAGE;
    if !has_calls && progress < LAST_STAGE_START {
        return input.share.max(input.unproven_share);
    }
    planned.max(input.share)
}

/// Returns the time for which the new version must have all traffic before a move that should be
/// done within `span` is done.
pub fn settle_time(longest_request: Duration, span: Duration) -> Duration {
    let longest = span.saturating_sub(STATUS_RESERVE).mul_f64(MAX_SETTLE_FRACTION);
    (longest_request + SETTLE_MARGIN).min(longest)
}

/// Returns the number of instances to concentrate a share of the new version on.
///
/// It is the share's part of the instances, rounded up and at least one, so that
/// each instance gets nearly the load that it has at the full share.
pub fn concentrated_instances(share: Permille, new_instances: usize) -> usize {
    let instances = (usize::from(share.0) * new_instances).div_ceil(usize::from(Permille::FULL.0));
    instances.clamp(1, new_instances.max(1))
}
