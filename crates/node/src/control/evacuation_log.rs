//! Reads evacuations from the log service, where no platform stores them.
//!
//! Each record of the stream names all evacuated zones, so the newest one says everything. A
//! reader writes it again before the log service may have dropped it.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::{
    distribution::era::StoreEra,
    evacuation::{EvacuationRecord, StoredEvacuations},
    time::Tick,
};
use savorykeel_ports::{
    desired::DesiredState,
    log::{BEYOND_END, EVACUATION_STREAM, LogError, LogService, Offset},
    peer::PeerLinks,
};
use slog::{info, warn};

use super::{
    context::ControlContext,
    reader::{ROLE_CHECK_INTERVAL, jittered, reason_to_read, to_millis},
    state::Counters,
};

/// The newest record, as one reader knows it.
struct Newest {
    record: EvacuationRecord,
    offset: u64,
    read_at: Tick,
}

/// Where this node reads on, and what it has read.
#[derive(Default)]
struct StreamReader {
    next: Option<Offset>,
    era: Option<StoreEra>,
    newest: Option<Newest>,
}

/// Reads the stream while this node reads the log.
pub(super) async fn read_while_needed<L, P>(cx: Rc<ControlContext<L, P>>)
where
    L: LogService + DesiredState,
    P: PeerLinks,
{
    let mut reader = StreamReader::default();
    while !cx.log.is_stored_by_platform() {
        if reason_to_read(&cx).is_none() {
            sleep(to_millis(ROLE_CHECK_INTERVAL)).await;
            continue;
        }
        match reader.read_once(&cx).await {
            Ok(()) => {}
            // The records are other ones than before.
            Err(LogError::Expired { .. } | LogError::Restored) => reader.next = None,
            Err(e) => {
                Counters::add(&cx.state.counters.log_failures, 1);
                warn!(cx.state.logger, "failed to read evacuations"; "problem" => %e);
                sleep(to_millis(jittered(cx.times.log_retry))).await;
            }
        }
    }
}

impl StreamReader {
    async fn read_once<L: LogService, P>(
        &mut self,
        cx: &ControlContext<L, P>,
    ) -> Result<(), LogError> {
        let asked_at = cx.state.now();
        let (from, wait) = match self.next {
            Some(next) => (next, cx.times.log_wait),
            None => (newest_offset(cx).await?, Duration::ZERO),
        };
        Counters::add(&cx.state.counters.log_reads, 1);
        let page = cx.log.read(EVACUATION_STREAM, from, wait).await?;
        for stored in &page.records {
            match EvacuationRecord::parse(&stored.body) {
                Ok(record) => {
                    let offset = stored.offset.0;
                    self.newest = Some(Newest { record, offset, read_at: cx.state.now() });
                }
                Err(e) => {
                    Counters::add(&cx.state.counters.document_problems, 1);
                    warn!(cx.state.logger, "invalid record of evacuations ignored";
                        "offset" => stored.offset.0, "problem" => %e);
                }
            }
        }
        self.next = Some(page.next);
        let has_returned = self.era.is_some() && self.era != cx.log.era();
        self.era = cx.log.era();
        if has_returned {
            // What the log service has lost is written again before it is taken for revoked.
            return self.write_known(cx, page.next).await;
        }
        self.apply(cx, page.next);
        cx.state.with_recovery(|recovery| recovery.confirm_evacuations());
        cx.state.record_evacuations_known(asked_at);
        cx.state.rebuild();
        self.write_before_expiry(cx, page.next).await
    }

    fn apply<L, P>(&self, cx: &ControlContext<L, P>, end: Offset) {
        // Without any record nobody has requested an evacuation yet.
        let Some(newest) = &self.newest else { return };
        let zones = newest.record.evacuated.iter().cloned();
        cx.state.apply_stored_evacuations(&StoredEvacuations {
            era: self.era.unwrap_or_default(),
            end: end.0,
            requested: zones.map(|zone| (zone, newest.offset)).collect(),
            ..StoredEvacuations::default()
        });
    }

    async fn write_before_expiry<L: LogService, P>(
        &mut self,
        cx: &ControlContext<L, P>,
        end: Offset,
    ) -> Result<(), LogError> {
        let is_due = |newest: &Newest| {
            let age = cx.state.now().since(newest.read_at);
            !newest.record.evacuated.is_empty() && age > cx.times.checkpoint
        };
        match self.newest.as_ref().is_some_and(is_due) {
            true => self.write_known(cx, end).await,
            false => Ok(()),
        }
    }

    /// Writes what this node knows, unless another record has been written since the read.
    async fn write_known<L: LogService, P>(
        &mut self,
        cx: &ControlContext<L, P>,
        end: Offset,
    ) -> Result<(), LogError> {
        let record = EvacuationRecord::of(&cx.state.evacuations());
        Counters::add(&cx.state.counters.log_appends, 1);
        match cx.log.append_at(EVACUATION_STREAM, end, record.to_bytes()).await {
            Ok(()) => info!(cx.state.logger, "evacuations written to the log again"),
            Err(LogError::EndsElsewhere { .. }) => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }
}

/// Returns the offset of the newest record of the stream.
async fn newest_offset<L: LogService, P>(cx: &ControlContext<L, P>) -> Result<Offset, LogError> {
    Counters::add(&cx.state.counters.log_reads, 1);
    let end = cx.log.read(EVACUATION_STREAM, BEYOND_END, Duration::ZERO).await?;
    Ok(Offset(end.next.0.saturating_sub(1).max(end.earliest.0)))
}
