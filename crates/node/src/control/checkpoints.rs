//! Writes checkpoints before records that are still needed expire from the log.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::{config::checkpoint::Checkpoint, time::Tick};
use savorykeel_ports::{
    desired::DesiredState,
    log::{CHECKPOINT_STREAM, LogError, LogService, Offset},
};
use slog::{crit, info, warn};

use super::{
    context::ControlContext,
    reader::{FoundCheckpoint, jittered, newest_checkpoint, to_millis},
    roles,
    state::Counters,
};

/// Number of folded records after which a checkpoint is written early.
const RECORDS_PER_CHECKPOINT: u64 = 64;

/// Number of checkpoints read in one check. Only the newest is read, so that an
/// invalid one is replaced.
const CHECKPOINTS_READ: u64 = 1;

/// Number of checks of the checkpoint stream within the maximum age of a
/// checkpoint.
const CHECKS_PER_CHECKPOINT_LIFETIME: u32 = 5;

/// Offset of the newest checkpoint seen and the time at which it was first seen.
#[derive(Default)]
struct NewestSeen {
    offset: Option<Offset>,
    first_seen_at: Tick,
}

/// Writes checkpoints while this node has that role.
pub(super) async fn write_when_due<L: LogService + DesiredState, P>(cx: Rc<ControlContext<L, P>>) {
    let mut newest_seen = NewestSeen::default();
    loop {
        sleep(to_millis(jittered(cx.times.checkpoint / CHECKS_PER_CHECKPOINT_LIFETIME))).await;
        let is_due = !cx.log.is_stored_by_platform()
            && cx.state.is_serving()
            && cx.state.held_position().0 > 0
            && !cx.state.is_stopped()
            && cx
                .state
                .with_members(|members| roles::writes_checkpoints(members, &cx.state.identity));
        if is_due && let Err(e) = check_and_write(&cx, &mut newest_seen).await {
            warn!(cx.state.logger, "failed to write a checkpoint"; "problem" => %e);
        }
    }
}

async fn check_and_write<L: LogService, P>(
    cx: &ControlContext<L, P>,
    newest_seen: &mut NewestSeen,
) -> Result<(), LogError> {
    let newest = newest_checkpoint(cx, CHECKPOINTS_READ).await?;
    if let Some(newest) = &newest {
        compare_digest(cx, &newest.checkpoint);
        record_newest(newest_seen, newest.offset, cx.state.now());
    }
    if !is_recent(cx, newest.as_ref(), newest_seen) {
        append(cx).await?;
    }
    Ok(())
}

/// Logs a critical error if another node folded the same records to a different
/// state.
fn compare_digest<L, P>(cx: &ControlContext<L, P>, newest: &Checkpoint) {
    let own =
        cx.state.with_fold(|fold| (fold.position() == newest.image.position).then(|| fold.image()));
    if own.is_some_and(|own| own.digest() != newest.digest) {
        crit!(cx.state.logger, "checkpoint differs from the state of this node"; "position" => newest.image.position.0);
    }
}

fn record_newest(newest_seen: &mut NewestSeen, newest: Offset, now: Tick) {
    if newest_seen.offset != Some(newest) {
        *newest_seen = NewestSeen { offset: Some(newest), first_seen_at: now };
    }
}

/// Returns whether the newest checkpoint is recent in both records and time.
fn is_recent<L, P>(
    cx: &ControlContext<L, P>,
    newest: Option<&FoundCheckpoint>,
    newest_seen: &NewestSeen,
) -> bool {
    let Some(newest) = newest else { return false };
    let records_since =
        cx.state.held_position().0.saturating_sub(newest.checkpoint.image.position.0);
    let age = cx.state.now().since(newest_seen.first_seen_at);
    records_since < RECORDS_PER_CHECKPOINT && age < rewrite_age(cx.times.checkpoint)
}

/// Returns the age at which a checkpoint is replaced, which is half of its maximum
/// age, so that the new one is written well in time.
fn rewrite_age(checkpoint: Duration) -> Duration {
    checkpoint / 2
}

async fn append<L: LogService, P>(cx: &ControlContext<L, P>) -> Result<(), LogError> {
    let checkpoint = cx.state.with_fold(|fold| Checkpoint::of(fold));
    Counters::add(&cx.state.counters.log_appends, 1);
    cx.log.append(CHECKPOINT_STREAM, checkpoint.to_bytes()).await?;
    info!(cx.state.logger, "checkpoint written"; "position" => checkpoint.image.position.0);
    Ok(())
}
