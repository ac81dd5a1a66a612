//! The share of a version whose move is to be done within seconds.
//!
//! There are three stages. In the first the new version gets a small share. In the
//! second one of its instances gets as much as it would carry in the end, so that a
//! fault which shows only under load shows on few calls. The third is all traffic.
//! See `docs/design/0014-short-moves.md`.

use std::time::Duration;

use super::{judge::Judgement, state::Permille};

/// Longest move that goes by this plan.
pub const MAX_SPAN: Duration = Duration::from_secs(120);

/// Part of the time for rising that the first stage takes.
const FIRST_STAGE_END: f64 = 0.45;

/// Part of the time for rising after which all traffic goes to the new version.
const LOADED_STAGE_END: f64 = 0.85;

/// Bounds of the second stage's share: what one instance carries in the end, as
/// long as a bad version then gets few enough calls.
const LOADED_SHARE_BOUNDS: (f64, f64) = (0.15, 0.22);

/// Time kept for the status to be written and read.
const STATUS_RESERVE: Duration = Duration::from_millis(1_500);

/// Time for which all traffic has gone to the new version before the move is done,
/// beyond the longest time that a request may take: by then none is on its way to
/// the old one.
const SETTLE_MARGIN: Duration = Duration::from_millis(600);

/// What the share depends on.
#[derive(Debug, Clone, Copy)]
pub struct ShortInput<'a> {
    /// Share reached so far.
    pub share: Permille,
    /// Time since the move began.
    pub elapsed: Duration,
    /// Time from its beginning within which it is to be done.
    pub span: Duration,
    /// Longest time that a request to the service may take.
    pub longest_request: Duration,
    /// What the evidence says.
    pub judgement: &'a Judgement,
    /// Largest share before there is evidence.
    pub unproven_share: Permille,
    /// Live instances of the new version.
    pub new_instances: u32,
}

/// Returns the share from now on; it is never below the present one, and it doesn't
/// rise while anything speaks against the version.
pub fn next_share(input: &ShortInput<'_>) -> Permille {
    if input.new_instances == 0 || *input.judgement != Judgement::Clear {
        return input.share;
    }
    let reserve = STATUS_RESERVE + settle_time(input.longest_request);
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
    planned.max(input.share)
}

/// Returns how long all traffic goes to the new version before the move is done.
pub fn settle_time(longest_request: Duration) -> Duration {
    longest_request + SETTLE_MARGIN
}

/// Returns on how many instances a share of the new version is concentrated, so
/// that each carries no less than it would in the end.
pub fn concentrated_instances(share: Permille, new_instances: usize) -> usize {
    let instances = (usize::from(share.0) * new_instances).div_ceil(usize::from(Permille::FULL.0));
    instances.clamp(1, new_instances.max(1))
}
