//! Writes checkpoints before the log drops records that are still needed.

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
    duty,
    reader::{FoundCheckpoint, jittered, newest_checkpoint, to_millis},
    state::Counters,
};

/// Number of folded records after which a checkpoint is written early.
const RECORDS_PER_CHECKPOINT: u64 = 64;

/// Number of checkpoints read at one look; one that can't be used is replaced.
const LOOKED_AT: u64 = 1;

/// Number of looks at the checkpoint stream in the time that one is good for.
const LOOKS_PER_CHECKPOINT: u32 = 5;

/// The newest checkpoint that was seen and when it was first seen.
#[derive(Default)]
struct Seen {
    offset: Option<Offset>,
    at: Tick,
}

/// Writes checkpoints for as long as this node has the duty.
pub(super) async fn write<L: LogService + DesiredState, P>(cx: Rc<ControlContext<L, P>>) {
    let mut seen = Seen::default();
    loop {
        sleep(to_millis(jittered(cx.times.checkpoint / LOOKS_PER_CHECKPOINT))).await;
        let is_due = !cx.log.is_kept()
            && cx.state.is_serving()
            && cx.state.held_position().0 > 0
            && !cx.state.is_stopped()
            && cx
                .state
                .with_members(|members| duty::writes_checkpoints(members, &cx.state.identity));
        if is_due && let Err(e) = look_and_write(&cx, &mut seen).await {
            warn!(cx.state.logger, "no checkpoint written"; "problem" => %e);
        }
    }
}

async fn look_and_write<L: LogService, P>(
    cx: &ControlContext<L, P>,
    seen: &mut Seen,
) -> Result<(), LogError> {
    let newest = newest_checkpoint(cx, LOOKED_AT).await?;
    if let Some(newest) = &newest {
        compare(cx, &newest.checkpoint);
        note(seen, newest.offset, cx.state.now());
    }
    if !is_good(cx, newest.as_ref(), seen) {
        append(cx).await?;
    }
    Ok(())
}

/// Alarms when another node folded the same records to something else.
fn compare<L, P>(cx: &ControlContext<L, P>, newest: &Checkpoint) {
    let own =
        cx.state.with_fold(|fold| (fold.position() == newest.image.position).then(|| fold.image()));
    if own.is_some_and(|own| own.digest() != newest.digest) {
        crit!(cx.state.logger, "a checkpoint differs from this node's own state"; "position" => newest.image.position.0);
    }
}

fn note(seen: &mut Seen, newest: Offset, now: Tick) {
    if seen.offset != Some(newest) {
        *seen = Seen { offset: Some(newest), at: now };
    }
}

/// Tells whether a checkpoint is recent in both records and time.
fn is_good<L, P>(cx: &ControlContext<L, P>, newest: Option<&FoundCheckpoint>, seen: &Seen) -> bool {
    let Some(newest) = newest else { return false };
    let behind = cx.state.held_position().0.saturating_sub(newest.checkpoint.image.position.0);
    let age = cx.state.now().since(seen.at);
    behind < RECORDS_PER_CHECKPOINT && age < to_good(cx.times.checkpoint)
}

/// A checkpoint is written anew well before it is too old.
fn to_good(checkpoint: Duration) -> Duration {
    checkpoint / 2
}

async fn append<L: LogService, P>(cx: &ControlContext<L, P>) -> Result<(), LogError> {
    let checkpoint = cx.state.with_fold(|fold| Checkpoint::of(fold));
    Counters::add(&cx.state.counters.log_appends, 1);
    cx.log.append(CHECKPOINT_STREAM, checkpoint.to_bytes()).await?;
    info!(cx.state.logger, "checkpoint written"; "position" => checkpoint.image.position.0);
    Ok(())
}
