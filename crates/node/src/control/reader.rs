//! Reads the configuration stream of the log and folds its records.

use std::time::Duration;

use ntex::time::{Millis, sleep};
use rand::RngExt;
use savorykeel_policy::{
    config::{checkpoint::Checkpoint, fold::Step},
    time::Tick,
};
use savorykeel_ports::desired::DesiredState;
use savorykeel_ports::log::{
    BEYOND_END, CHECKPOINT_STREAM, CONFIGURATION_STREAM, LogError, LogPage, LogRecord, LogService,
    Offset,
};
use savorykeel_ports::peer::PeerLinks;
use slog::{Logger, crit, error, info, warn};

use super::{
    context::{ControlContext, ControlMode},
    desired::DesiredReader,
    event::Event,
    restore::FoldedRecords,
    state::{ControlState, Counters},
};

/// Outcome of a read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Every record of the log has been folded.
    AtEnd,
    /// The log has more records.
    More,
    /// The log can't be read, or the requested records have expired.
    Failed,
    /// The fold has stopped at a record of unknown format.
    Stopped,
}

/// Reads the log while this node needs to.
///
/// Failed reads are retried after a wait that grows with each failure and is
/// jittered, so that the readers don't retry at the same time.
pub(super) async fn read_while_needed<L, P>(cx: &ControlContext<L, P>)
where
    L: LogService + DesiredState,
    P: PeerLinks,
{
    let mut failures = 0;
    let mut reason = None;
    let mut desired = DesiredReader::default();
    let mut folded = FoldedRecords::default();
    loop {
        let previous = std::mem::replace(&mut reason, reason_to_read(cx));
        log_reason(&cx.state.logger, previous, reason);
        if reason.is_none() {
            sleep(to_millis(ROLE_CHECK_INTERVAL)).await;
            continue;
        }
        let outcome = match cx.log.is_stored_by_platform() {
            true => desired.read_once(cx, cx.times.log_wait).await,
            false => read_once(cx, &mut folded, cx.times.log_wait).await,
        };
        match outcome {
            ReadOutcome::Failed | ReadOutcome::Stopped => {
                failures = (failures + 1).min(MAX_BACKOFF_STEPS);
                sleep(to_millis(jittered(cx.times.log_retry * failures))).await;
            }
            ReadOutcome::AtEnd | ReadOutcome::More => failures = 0,
        }
    }
}

/// Why a node reads the log itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum ReadReason {
    /// Every node reads in this mode.
    Mode,
    /// It started and hasn't recovered in time, perhaps because it doesn't know other nodes.
    NotRecovered,
    /// Several of the nodes that it watches don't answer, so that the readers may be lost.
    ManySilent,
    /// It reads for its availability zone.
    Role,
}

/// Returns why this node reads the log, if it does.
pub(super) fn reason_to_read<L, P: PeerLinks>(cx: &ControlContext<L, P>) -> Option<ReadReason> {
    let state = &cx.state;
    if cx.mode == ControlMode::Poll {
        return Some(ReadReason::Mode);
    }
    if !state.has_joined() {
        return None;
    }
    if cx.reads_log() {
        return Some(ReadReason::Role);
    }
    if !state.is_serving() && state.uptime() > cx.times.isolation_timeout {
        return Some(ReadReason::NotRecovered);
    }
    cx.are_many_silent().then_some(ReadReason::ManySilent)
}

fn log_reason(logger: &Logger, previous: Option<ReadReason>, reason: Option<ReadReason>) {
    match reason {
        _ if reason == previous => {}
        Some(reason) => info!(logger, "this node reads the log"; "reason" => %reason),
        None => info!(logger, "this node doesn't read the log any more"),
    }
}

/// Time between two checks of whether this node has to read the log.
pub(super) const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Largest factor by which the wait after a failure grows.
const MAX_BACKOFF_STEPS: u32 = 8;

/// Reads and folds one page that starts at the position of the fold, waiting up to
/// `wait` for records.
async fn read_once<L: LogService, P>(
    cx: &ControlContext<L, P>,
    folded: &mut FoldedRecords,
    wait: Duration,
) -> ReadOutcome {
    let from = cx.state.held_position();
    let requested_at = cx.state.now();
    Counters::add(&cx.state.counters.log_reads, 1);
    match cx.log.read(CONFIGURATION_STREAM, Offset(from.0), wait).await {
        Ok(page) => fold_page(cx, folded, page, requested_at),
        Err(LogError::Restored) => restore_lost_records(cx, folded).await,
        Err(LogError::Expired { earliest }) => restore_checkpoint(cx, earliest).await,
        Err(e) => {
            Counters::add(&cx.state.counters.log_failures, 1);
            warn!(cx.state.logger, "failed to read the log"; "problem" => %e);
            ReadOutcome::Failed
        }
    }
}

/// Writes records again that the log has lost, because it came back from an older copy.
async fn restore_lost_records<L: LogService, P>(
    cx: &ControlContext<L, P>,
    folded: &FoldedRecords,
) -> ReadOutcome {
    match folded.restore(cx).await {
        Ok(()) => ReadOutcome::More,
        Err(e) => {
            Counters::add(&cx.state.counters.log_failures, 1);
            error!(cx.state.logger, "failed to write lost records to the log again"; "problem" => %e);
            ReadOutcome::Failed
        }
    }
}

fn fold_page<L, P>(
    cx: &ControlContext<L, P>,
    folded: &mut FoldedRecords,
    page: LogPage,
    requested_at: Tick,
) -> ReadOutcome {
    let state = &cx.state;
    Counters::add(&state.counters.log_records, page.records.len());
    state.record_log_next(page.next.0);
    let previous = state.held_position();
    let step = fold_records(cx, &page.records);
    let next = page.next;
    let is_empty = page.records.is_empty();
    let position = state.held_position();
    for record in page.records.into_iter().filter(|record| record.offset.0 < position.0) {
        folded.push(record);
    }
    if position > previous {
        state.emit(Event::FoldAdvanced);
    }
    if step == Some(Step::Stopped) {
        return ReadOutcome::Stopped;
    }
    if position.0 < next.0 {
        state.rebuild();
        return if is_empty { ReadOutcome::Failed } else { ReadOutcome::More };
    }
    state.confirm_log_end(position, requested_at);
    state.rebuild();
    ReadOutcome::AtEnd
}

/// Folds records and logs the result of each; returns the result of the last one.
fn fold_records<L, P>(cx: &ControlContext<L, P>, records: &[LogRecord]) -> Option<Step> {
    let mut last = None;
    for record in records {
        let was_stopped = cx.state.with_fold(|fold| fold.stopped_at());
        let step = cx.state.with_fold(|fold| fold.apply(record.offset.0, &record.body));
        last = Some(step);
        let offset = record.offset.0;
        match step {
            Step::Accepted(version) => {
                info!(cx.state.logger, "configuration accepted"; "version" => version.0, "offset" => offset);
            }
            Step::Conflict | Step::Refused | Step::Duplicate => {
                info!(cx.state.logger, "publish not accepted"; "step" => %step, "offset" => offset);
            }
            Step::Stopped if was_stopped.is_none() => {
                crit!(cx.state.logger, "record of unknown format: upgrade this node"; "offset" => offset);
            }
            Step::Stopped | Step::Gap => return last,
            Step::Replayed => {}
        }
    }
    last
}

/// Restores the newest checkpoint, because needed records have expired.
async fn restore_checkpoint<L: LogService, P>(
    cx: &ControlContext<L, P>,
    earliest: Offset,
) -> ReadOutcome {
    match newest_checkpoint(cx, CHECKPOINT_TAIL).await {
        Ok(Some(newest)) if newest.checkpoint.image.position.0 >= earliest.0 => {
            apply_checkpoint(cx, newest.checkpoint)
        }
        Ok(_) => {
            error!(cx.state.logger, "records lost: they expired from the log and no checkpoint covers them"; "earliest" => earliest.0);
            ReadOutcome::Failed
        }
        Err(e) => {
            warn!(cx.state.logger, "failed to read checkpoints"; "problem" => %e);
            ReadOutcome::Failed
        }
    }
}

fn apply_checkpoint<L, P>(cx: &ControlContext<L, P>, checkpoint: Checkpoint) -> ReadOutcome {
    let position = checkpoint.image.position;
    let result = cx.state.with_fold(|fold| fold.restore(checkpoint.image, checkpoint.digest));
    match result {
        Ok(_) => {
            info!(cx.state.logger, "checkpoint restored"; "position" => position.0);
            cx.state.emit(Event::FoldAdvanced);
            ReadOutcome::More
        }
        Err(e) => {
            error!(cx.state.logger, "checkpoint rejected"; "problem" => %e);
            ReadOutcome::Failed
        }
    }
}

/// A checkpoint and its offset in the checkpoint stream.
pub(super) struct FoundCheckpoint {
    /// Offset of the checkpoint in the stream.
    pub(super) offset: Offset,
    /// The parsed checkpoint.
    pub(super) checkpoint: Checkpoint,
}

/// Returns the newest valid checkpoint among the last `tail` checkpoints.
pub(super) async fn newest_checkpoint<L: LogService, P>(
    cx: &ControlContext<L, P>,
    tail: u64,
) -> Result<Option<FoundCheckpoint>, LogError> {
    let records = read_tail(cx, CHECKPOINT_STREAM, tail).await?;
    let parse = |record: &LogRecord| match Checkpoint::parse(&record.body) {
        Ok(checkpoint) => Some(FoundCheckpoint { offset: record.offset, checkpoint }),
        Err(e) => {
            warn!(cx.state.logger, "invalid checkpoint skipped"; "offset" => record.offset.0, "problem" => %e);
            None
        }
    };
    Ok(records
        .iter()
        .filter_map(parse)
        .max_by_key(|newest| (newest.checkpoint.image.position, newest.offset)))
}

/// Number of newest checkpoints among which a valid one is searched for.
const CHECKPOINT_TAIL: u64 = 8;

/// Reads the last `length` records of a stream.
pub(super) async fn read_tail<L: LogService, P>(
    cx: &ControlContext<L, P>,
    stream: &str,
    length: u64,
) -> Result<Vec<LogRecord>, LogError> {
    Counters::add(&cx.state.counters.log_reads, 2);
    let end = cx.log.read(stream, BEYOND_END, Duration::ZERO).await?;
    let from = end.next.0.saturating_sub(length).max(end.earliest.0);
    Ok(cx.log.read(stream, Offset(from), Duration::ZERO).await?.records)
}

/// Returns a random duration between half of `span` and one and a half times `span`.
pub(crate) fn jittered(span: Duration) -> Duration {
    span.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Converts a duration for the timers of the runtime, which need at least 1 ms.
pub(crate) fn to_millis(span: Duration) -> Millis {
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX).max(1))
}

impl ControlState {
    /// Returns whether the fold has stopped at a record of unknown format.
    pub fn is_stopped(&self) -> bool {
        self.with_fold(|fold| fold.stopped_at().is_some())
    }
}
