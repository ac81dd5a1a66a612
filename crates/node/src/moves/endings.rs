//! Stores the ends of moves in the log and reads them back.
//!
//! Any node of the service may append an end. Each node first waits a random time and
//! then checks whether another node has appended it, so that the nodes of a service
//! append about one record for each end. Repeated records are harmless because they
//! merge to the same state.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use ntex::time::sleep;
use rand::RngExt;
use savorykeel_policy::{
    moves::{state::MoveKey, status::MoveEnding},
    table::Table,
};
use savorykeel_ports::log::{LogError, LogService, MOVE_STREAM, Offset};
use slog::{info, warn};

use crate::control::{CheckedEra, ControlContext, to_millis};

/// Time between two checks of whether a move has ended, before jitter.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Longest random wait before an end is appended.
const WRITE_JITTER: Duration = Duration::from_secs(2);

/// Wait after a failure of the log, before jitter.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Identifies an end. A move can have two, because a completed move may still be
/// rolled back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct EndingKey {
    key: MoveKey,
    is_bad: bool,
}

impl From<&MoveEnding> for EndingKey {
    fn from(ending: &MoveEnding) -> Self {
        let key = MoveKey { service: ending.service.clone(), asked: ending.asked };
        Self { key, is_bad: ending.state.bad.is_some() }
    }
}

/// Position in the stream and the ends that are known to be stored there.
#[derive(Default)]
struct StreamState {
    next: Offset,
    stored: BTreeSet<EndingKey>,
}

/// Reads the stored ends once and then appends new ones, without end.
pub(super) async fn run<L: LogService, P>(cx: Rc<ControlContext<L, P>>) {
    let mut stream = StreamState::default();
    let mut has_read = false;
    let mut checked_era = CheckedEra::default();
    loop {
        sleep(to_millis(crate::control::jittered(POLL_PERIOD))).await;
        if checked_era.has_returned(&cx.state) {
            // The log may lack ends that were stored.
            stream = StreamState::default();
        }
        let Some(table) = cx.state.table() else { continue };
        let result = if has_read {
            write_when_ended(&cx, &mut stream, &table).await
        } else if cx.reads_log() {
            read_new(&cx, &mut stream).await
        } else {
            // This node receives the ends from the nodes of its availability zone that read
            // the log.
            Ok(())
        };
        match result {
            Ok(()) => has_read = true,
            Err(e) => {
                warn!(cx.state.logger, "reading or storing ends of moves failed"; "problem" => %e);
                sleep(to_millis(crate::control::jittered(RETRY_DELAY))).await;
            }
        }
    }
}

async fn write_when_ended<L: LogService, P>(
    cx: &ControlContext<L, P>,
    stream: &mut StreamState,
    table: &Table,
) -> Result<(), LogError> {
    let Some(ending) = cx.state.moves.ending(table, (cx.state.clock.wall)()) else {
        return Ok(());
    };
    let key = EndingKey::from(&ending);
    if stream.stored.contains(&key) {
        return Ok(());
    }
    let jitter = WRITE_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
    sleep(to_millis(jitter)).await;
    read_new(cx, stream).await?;
    if stream.stored.contains(&key) {
        return Ok(());
    }
    let body = serde_json::to_vec(&ending).unwrap_or_default();
    cx.log.append(MOVE_STREAM, body).await?;
    info!(cx.state.logger, "end of a move stored in the log";
        "service" => %ending.service, "move" => ending.asked.0, "is_bad" => key.is_bad);
    stream.stored.insert(key);
    Ok(())
}

/// Reads and merges the records that were appended since the last read.
async fn read_new<L: LogService, P>(
    cx: &ControlContext<L, P>,
    stream: &mut StreamState,
) -> Result<(), LogError> {
    loop {
        let page = match cx.log.read(MOVE_STREAM, stream.next, Duration::ZERO).await {
            Err(LogError::Expired { earliest }) => {
                stream.next = earliest;
                continue;
            }
            Err(LogError::Restored) => {
                *stream = StreamState::default();
                continue;
            }
            result => result?,
        };
        let parsed = page.records.iter().map(|r| serde_json::from_slice::<MoveEnding>(&r.body));
        let endings: Vec<MoveEnding> = parsed.flatten().collect();
        cx.state.moves.merge_endings(&endings);
        stream.stored.extend(endings.iter().map(EndingKey::from));
        let Some(last) = page.records.last() else { return Ok(()) };
        stream.next = Offset(last.offset.0 + 1);
    }
}
