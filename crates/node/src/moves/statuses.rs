//! Keeps how moves stand where a platform shows it to operators.
//!
//! Any node of the service may write a status, because the newest one holds and all
//! nodes come to the same. They take turns, so that usually one of them writes.
//! A node writes only after it has read what is kept, so that one that starts
//! doesn't replace the end of a move by its beginning.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::{
    ids::{ConfigVersion, InstanceName},
    membership::entry::NodeRecord,
    moves::status::{MovePhase, MoveStatus},
};
use savorykeel_ports::{desired::DesiredState, log::LogError};
use slog::{info, warn};

use crate::control::{ControlContext, jittered, to_millis};

/// Time between two looks at whether a status is to be written.
const PERIOD: Duration = Duration::from_millis(100);

/// Time for which each further node of a service waits for the ones before it.
const TURN: Duration = Duration::from_millis(500);

/// Wait after the store failed, before jitter.
const RETRY: Duration = Duration::from_millis(500);

/// What is kept of a move, as far as this node knows.
type Kept = Option<(ConfigVersion, MovePhase)>;

/// Reads the statuses once and writes new ones for ever.
pub(super) async fn keep<L: DesiredState, P>(cx: Rc<ControlContext<L, P>>) {
    let mut kept: Kept = None;
    let mut is_read = false;
    loop {
        sleep(to_millis(PERIOD)).await;
        let result = if is_read { write_when_due(&cx, &mut kept).await } else { read(&cx).await };
        match result {
            Ok(()) => is_read = true,
            Err(e) => {
                warn!(cx.state.logger, "statuses of moves can't be kept"; "problem" => %e);
                sleep(to_millis(jittered(RETRY))).await;
            }
        }
    }
}

async fn read<L: DesiredState, P>(cx: &ControlContext<L, P>) -> Result<(), LogError> {
    let statuses = cx.log.statuses().await?;
    cx.state.moves.merge_statuses(&statuses);
    Ok(())
}

async fn write_when_due<L: DesiredState, P>(
    cx: &ControlContext<L, P>,
    kept: &mut Kept,
) -> Result<(), LogError> {
    let Some(status) = due_status(cx, *kept) else { return Ok(()) };
    let turn = turn(cx, &status);
    if turn > 0 {
        sleep(to_millis(TURN * turn)).await;
        let statuses = cx.log.statuses().await?;
        cx.state.moves.merge_statuses(&statuses);
        if let Some(found) = statuses.iter().find(|found| found.service == status.service)
            && found.asked >= status.asked
        {
            *kept = Some((found.asked, found.phase));
        }
    }
    // What was due before the wait may be outdated, or kept by now.
    let Some(status) = due_status(cx, *kept) else { return Ok(()) };
    cx.log.store_status(&status).await?;
    info!(cx.state.logger, "status of a move kept"; "service" => %status.service,
        "move" => status.asked.0, "to" => %status.version, "phase" => %status.phase,
        "since_ms" => status.since.0);
    *kept = Some((status.asked, status.phase));
    Ok(())
}

fn due_status<L, P>(cx: &ControlContext<L, P>, kept: Kept) -> Option<MoveStatus> {
    let table = cx.state.table()?;
    let status = cx.state.moves.status(&table)?;
    let is_outdated = kept.is_some_and(|(asked, _)| asked > status.asked);
    (!is_outdated && kept != Some((status.asked, status.phase))).then_some(status)
}

/// Returns the place of this node among those of the service that may write.
fn turn<L, P>(cx: &ControlContext<L, P>, status: &MoveStatus) -> u32 {
    let own = &cx.state.identity.instance;
    let is_before = |record: &&NodeRecord| {
        let backend = record.backend.as_ref();
        let is_of_service = backend.is_some_and(|backend| backend.service == status.service);
        let name: &InstanceName = &record.instance;
        is_of_service && !record.leaving && name < own
    };
    cx.state.with_members(|members| members.active().filter(is_before).count() as u32)
}
