//! Applies the configuration and the orders that a platform stores for operators.

use std::{collections::BTreeMap, time::Duration};

use savorykeel_policy::{
    config::fold::ReplaceOutcome,
    distribution::floor::Recovery,
    ids::ServiceName,
    moves::orders::{MoveOrder, OrderOutcome, may_be_repeated},
    refusal::Refusal,
};
use savorykeel_ports::{
    desired::{Desired, DesiredRead, DesiredState},
    log::LogService,
};
use slog::{error, info, warn};

use super::{context::ControlContext, event::Event, reader::ReadOutcome, state::Counters};

/// Number of unusual values of one configuration that are logged.
const MAX_UNUSUAL_LOGGED: usize = 8;

/// Reads the platform's store.
#[derive(Default)]
pub(super) struct DesiredReader {
    /// The newest order of each service whose newest order is held; see
    /// [`OrderOutcome::Held`].
    held_orders: BTreeMap<ServiceName, MoveOrder>,
}

impl DesiredReader {
    /// Reads what operators have written, waiting up to `wait` for it, and puts it in force on
    /// this node.
    ///
    /// A successful read confirms that the position that this node then holds isn't behind the
    /// store.
    pub(super) async fn read_once<L: LogService + DesiredState, P>(
        &mut self,
        cx: &ControlContext<L, P>,
        wait: Duration,
    ) -> ReadOutcome {
        let state = &cx.state;
        let requested_at = state.now();
        Counters::add(&state.counters.log_reads, 1);
        let read = match cx.log.read_desired(wait).await {
            Ok(read) => read,
            Err(e) => {
                Counters::add(&state.counters.log_failures, 1);
                warn!(state.logger, "failed to read the store"; "problem" => %e);
                return ReadOutcome::Failed;
            }
        };
        // The orders that the read repeats are judged by the era that it states.
        if let Some(era) = cx.log.era() {
            state.record_era(era, "store");
        }
        log_problems(cx, &read);
        if let Some(desired) = read.configuration {
            apply_configuration(cx, *desired);
        }
        // Before the end of the log is confirmed, which says that this node knows all of them.
        state.apply_stored_evacuations(&read.evacuations);
        state.record_evacuations_known(requested_at);
        self.apply_orders(cx, read.orders);
        state.record_moves(Recovery::confirm_orders);
        state.confirm_log_end(state.held_position(), requested_at);
        state.rebuild();
        ReadOutcome::AtEnd
    }

    /// Applies new orders, and those that were held before unless a new one of the same
    /// service replaces them.
    fn apply_orders<L, P>(&mut self, cx: &ControlContext<L, P>, orders: Vec<MoveOrder>) {
        let new = orders.into_iter().map(|order| (order.service.clone(), order));
        let mut pending = std::mem::take(&mut self.held_orders);
        pending.extend(new);
        let state = &cx.state;
        let may_be_repeated = state
            .with_store_era(|era| may_be_repeated(state.now(), era.changed_at(), state.started_at));
        for (service, order) in pending {
            let outcome = state.moves.apply_order(&order, may_be_repeated);
            match outcome {
                OrderOutcome::New(id) => {
                    info!(state.logger, "order to move accepted"; "service" => %service,
                        "version" => %order.version, "move" => id.0, "record" => order.record,
                        "within_ms" => order.within.as_millis() as u64);
                }
                OrderOutcome::Held => {
                    info!(state.logger, "order to move may be an earlier one, written again";
                        "service" => %service, "version" => %order.version,
                        "record" => order.record);
                    self.held_orders.insert(service, order);
                }
                OrderOutcome::Known => {}
            }
        }
    }
}

fn log_problems<L, P>(cx: &ControlContext<L, P>, read: &DesiredRead) {
    let logger = &cx.state.logger;
    for problem in &read.unusable {
        warn!(logger, "invalid operator document ignored"; "problem" => problem);
    }
    for warning in &read.warnings {
        warn!(logger, "unknown value in the configuration replaced"; "problem" => warning);
    }
    let problems = read.unusable.len() + read.warnings.len();
    Counters::add(&cx.state.counters.document_problems, problems);
}

/// Reports the values of a configuration in force that a publisher would have been refused.
fn log_unusual<L, P>(cx: &ControlContext<L, P>, number: u64, unusual: &[Refusal]) {
    for value in unusual.iter().take(MAX_UNUSUAL_LOGGED) {
        warn!(cx.state.logger, "unusual value in the configuration"; "label" => number,
            "path" => &value.path, "problem" => &value.problem);
    }
    Counters::add(&cx.state.counters.document_problems, unusual.len());
}

fn apply_configuration<L, P>(cx: &ControlContext<L, P>, desired: Desired) {
    let state = &cx.state;
    Counters::add(&state.counters.log_records, 1);
    let (position, number) = (desired.position(), desired.number);
    state.record_log_next(position.0);
    match state.with_fold(|fold| fold.replace(position, desired.configuration)) {
        Ok(ReplaceOutcome::Applied(unusual)) => {
            info!(state.logger, "configuration accepted"; "version" => position.0, "label" => number);
            log_unusual(cx, number, &unusual);
            state.emit(Event::FoldAdvanced);
        }
        Ok(ReplaceOutcome::Stale) => {
            info!(state.logger, "configuration in the store isn't newer than the one held";
                "version" => position.0, "label" => number, "held" => state.held_position().0);
        }
        Err(refusals) => {
            let reasons: Vec<String> = refusals.0.iter().map(ToString::to_string).collect();
            error!(state.logger, "configuration refused; the previous one stays in force";
                "version" => position.0, "label" => number, "reasons" => reasons.join("; "));
        }
    }
}
