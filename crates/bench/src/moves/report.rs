//! The experiment's table.

use savorykeel_policy::moves::state::BadKind;
use strum::IntoEnumIterator;

use super::{
    Cell,
    stats::{Share, mean, quantile},
    strategy::Strategy,
    world::Outcome,
};

/// Calls a second on the fault, with all traffic on the new version, from which
/// on traffic suffices.
pub(super) const BUSY_RATE: f64 = 1.0;

/// Prints one line for each family and strategy.
pub(crate) fn print(cells: &[Cell], seeds: u64) {
    println!("{seeds} seeds a family; shares in percent with 95% intervals");
    println!(
        "| family | strategy | on time | taken back | of those with 1 call/s on the fault | peak share % p50/max | calls harmed mean | p95 | s to verdict p50/p95 | new calls at verdict p50 | rechecks mean | reasons |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for cell in cells {
        println!("{}", line(cell));
    }
}

fn line(cell: &Cell) -> String {
    let outcomes = &cell.outcomes;
    let on_time = Share::of(outcomes, |outcome| outcome.is_on_time).text();
    let taken_back = Share::of(outcomes, |outcome| outcome.is_taken_back).text();
    let busy: Vec<&Outcome> = outcomes.iter().filter(|o| o.fault_rate >= BUSY_RATE).collect();
    let busy = Share::of(&busy, |outcome| outcome.is_taken_back);
    let busy = if busy.total == 0 { "-".to_owned() } else { busy.text() };
    let peaks: Vec<f64> = outcomes.iter().map(|o| f64::from(o.peak_permille) / 10.0).collect();
    let harmed: Vec<f64> = outcomes.iter().map(|o| o.harmed as f64).collect();
    let verdicts: Vec<f64> = outcomes.iter().filter_map(|o| o.verdict_after).collect();
    let calls: Vec<f64> =
        outcomes.iter().filter(|o| o.is_taken_back).map(|o| o.new_calls as f64).collect();
    let rechecks: Vec<f64> = outcomes.iter().map(|o| f64::from(o.rechecks)).collect();
    let harm = mean(&harmed);
    let shown = if cell.family.is_good() { on_time } else { "-".to_owned() };
    format!(
        "| {} | {} | {shown} | {taken_back} | {busy} | {}/{} | {:.0} ± {:.0} | {} | {}/{} | {} | {:.2} | {} |",
        cell.family,
        cell.strategy,
        number(quantile(peaks.clone(), 0.5)),
        number(quantile(peaks, 1.0)),
        harm.value,
        harm.half_width,
        number(quantile(harmed, 0.95)),
        number(quantile(verdicts.clone(), 0.5)),
        number(quantile(verdicts, 0.95)),
        number(quantile(calls, 0.5)),
        mean(&rechecks).value,
        reasons(cell),
    )
}

/// Counts the kinds of the reasons for which the product took versions back.
fn reasons(cell: &Cell) -> String {
    if cell.strategy != Strategy::Savorykeel {
        return "-".to_owned();
    }
    let kinds = BadKind::iter().filter_map(|kind| {
        let is_kind = |o: &&Outcome| o.reason.as_ref().is_some_and(|r| r.kind == kind);
        let count = cell.outcomes.iter().filter(is_kind).count();
        (count > 0).then(|| format!("{kind} {count}"))
    });
    kinds.collect::<Vec<_>>().join(", ")
}

fn number(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.0}"))
}
