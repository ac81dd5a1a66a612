//! Stores the statuses of moves where the platform shows them to operators.
//!
//! Any evaluator of the service may write a status, because the newest one counts and all
//! of them arrive at the same one. Evaluators wait in their order, so that usually only one
//! of them writes. A node writes only after it has read the stored statuses,
//! so that a node that has just started doesn't replace the status of an ended move by
//! that of a running one. It reads them again when the store has come back from an older copy,
//! which may lack the last ones.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::{distribution::floor::Recovery, moves::status::MoveStatus};
use savorykeel_ports::{desired::DesiredState, log::LogError};
use slog::{info, warn};

use crate::control::{CheckedEra, ControlContext, jittered, to_millis};

/// Time between two checks of whether a status has to be written.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Wait before writing for each evaluator of the service that comes before this one.
const WRITER_DELAY: Duration = Duration::from_millis(500);

/// Wait after a failure of the store, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the stored statuses once and then writes new ones, without end.
pub(super) async fn run<L: DesiredState, P>(cx: Rc<ControlContext<L, P>>) {
    // The stored status, as this node last wrote or found it.
    let mut stored: Option<MoveStatus> = None;
    let mut checked_era = CheckedEra::default();
    let mut has_read = false;
    loop {
        sleep(to_millis(POLL_PERIOD)).await;
        if checked_era.has_returned(&cx.state) {
            stored = None;
        }
        let result =
            if has_read { write_when_due(&cx, &mut stored).await } else { read(&cx).await };
        match result {
            Ok(()) => has_read = true,
            Err(e) => {
                warn!(cx.state.logger, "reading or storing move statuses failed"; "problem" => %e);
                sleep(to_millis(jittered(RETRY_DELAY))).await;
            }
        }
    }
}

async fn read<L: DesiredState, P>(cx: &ControlContext<L, P>) -> Result<(), LogError> {
    let statuses = cx.log.statuses().await?;
    cx.state.moves.merge_statuses(&statuses);
    cx.state.record_moves(Recovery::confirm_ends);
    Ok(())
}

async fn write_when_due<L: DesiredState, P>(
    cx: &ControlContext<L, P>,
    stored: &mut Option<MoveStatus>,
) -> Result<(), LogError> {
    let Some(status) = due_status(cx, stored.as_ref()) else { return Ok(()) };
    let Some(position) = cx.state.evidence_plan().position else { return Ok(()) };
    sleep(to_millis(WRITER_DELAY * position as u32)).await;
    let statuses = cx.log.statuses().await?;
    cx.state.moves.merge_statuses(&statuses);
    *stored = statuses.into_iter().find(|existing| existing.service == status.service);
    // After the wait the status may be outdated or stored by another node.
    let Some(status) = due_status(cx, stored.as_ref()) else { return Ok(()) };
    cx.log.store_status(&status).await?;
    info!(cx.state.logger, "move status stored"; "service" => %status.service,
        "move" => status.asked.0, "to" => %status.version, "phase" => %status.phase,
        "since_ms" => status.since.0, "found" => stored.as_ref().map(|s| s.phase.to_string()));
    *stored = Some(status);
    Ok(())
}

fn due_status<L, P>(cx: &ControlContext<L, P>, stored: Option<&MoveStatus>) -> Option<MoveStatus> {
    let table = cx.state.table()?;
    let status = cx.state.moves.status(&table)?;
    stored.is_none_or(|stored| stored.is_replaced_by(&status)).then_some(status)
}
