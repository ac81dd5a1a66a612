//! Writes records to the log again that it has lost, because it came back from an older copy.
//!
//! Every node of the mesh has folded the lost records, so each goes back to the offset that it
//! had. Then offsets mean again what they meant, for the nodes that have folded the records and
//! for those that start later. See `docs/design/0018-store-eras.md`.

use std::{collections::VecDeque, time::Duration};

use savorykeel_ports::log::{
    BEYOND_END, CONFIGURATION_STREAM, LogError, LogRecord, LogService, Offset,
};
use slog::{crit, info};

use super::{context::ControlContext, state::Counters};

/// Largest number of folded records that a reader of the log keeps.
const MAX_RECORDS: usize = 256;

/// Largest total size of the folded records that a reader of the log keeps, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// The newest records of the configuration stream that this node has read and folded.
#[derive(Default)]
pub(super) struct FoldedRecords {
    records: VecDeque<LogRecord>,
    bytes: usize,
}

/// Why lost records can't be written again.
#[derive(Debug, thiserror::Error)]
pub(super) enum RestoreError {
    /// The log service failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// This node didn't read the record itself, or no longer keeps it.
    #[error("this node doesn't keep the record at offset {0}")]
    Unknown(u64),
    /// Another record was appended at the offset of a lost one.
    #[error("the log has another record at offset {0} than this node has folded")]
    Replaced(u64),
}

impl FoldedRecords {
    /// Keeps a folded record. A record that doesn't follow the last one replaces all.
    pub(super) fn push(&mut self, record: LogRecord) {
        let next = self.records.back().map(|last| last.offset.0 + 1);
        if next.is_some_and(|next| next != record.offset.0) {
            *self = Self::default();
        }
        self.bytes += record.body.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.records.pop_front() else { return };
            self.bytes -= oldest.body.len();
        }
    }

    fn get(&self, offset: u64) -> Option<&LogRecord> {
        let first = self.records.front()?.offset.0;
        self.records.get(usize::try_from(offset.checked_sub(first)?).ok()?)
    }

    /// Writes the records again that this node has folded and the log has lost.
    ///
    /// Several nodes may do so at the same time: a record is appended only at its own offset, and
    /// one that stands there already is compared.
    pub(super) async fn restore<L: LogService, P>(
        &self,
        cx: &ControlContext<L, P>,
    ) -> Result<(), RestoreError> {
        let position = cx.state.held_position().0;
        let end = cx.log.read(CONFIGURATION_STREAM, BEYOND_END, Duration::ZERO).await?.next.0;
        for offset in end..position {
            let record = self.get(offset).ok_or(RestoreError::Unknown(offset))?;
            self.restore_record(cx, record).await?;
        }
        Ok(())
    }

    async fn restore_record<L: LogService, P>(
        &self,
        cx: &ControlContext<L, P>,
        record: &LogRecord,
    ) -> Result<(), RestoreError> {
        let offset = record.offset;
        Counters::add(&cx.state.counters.log_appends, 1);
        match cx.log.append_at(CONFIGURATION_STREAM, offset, record.body.clone()).await {
            Ok(()) => {
                info!(cx.state.logger, "lost record written to the log again"; "offset" => offset.0);
                Ok(())
            }
            Err(LogError::EndsElsewhere { next }) if next > offset => {
                compare(cx, offset, record).await
            }
            Err(e) => Err(e.into()),
        }
    }
}

/// Checks that the record which stands at an offset now is the one that was lost there.
async fn compare<L: LogService, P>(
    cx: &ControlContext<L, P>,
    offset: Offset,
    lost: &LogRecord,
) -> Result<(), RestoreError> {
    let page = cx.log.read(CONFIGURATION_STREAM, offset, Duration::ZERO).await?;
    if page.records.first().is_some_and(|found| found.body == lost.body) {
        return Ok(());
    }
    crit!(cx.state.logger, "the log has another record than this node has folded";
        "offset" => offset.0);
    Err(RestoreError::Replaced(offset.0))
}
