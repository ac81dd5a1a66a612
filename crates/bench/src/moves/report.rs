//! Prints the results of the experiment as a table.

use savorykeel_policy::moves::state::BadKind;
use strum::IntoEnumIterator;

use super::{
    Cell,
    simulation::Outcome,
    stats::{Share, mean, quantile},
    strategy::Strategy,
};

/// Lowest rate of calls that meet the fault, in calls per second with all traffic on
/// the new version, at which traffic is sufficient to detect the fault.
pub(super) const MIN_FAULT_CALL_RATE: f64 = 1.0;

/// Prints one row for each family and strategy.
pub(crate) fn print(cells: &[Cell], seeds: u64) {
    println!("{seeds} seeds a family; shares in percent with 95% intervals");
    println!(
        "| family | strategy | on time | taken back | of those with 1 call/s on the fault | peak share % p50/max | calls harmed mean | p95 | s to verdict p50/p95 | new calls at verdict p50 | rechecks mean | reasons |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for cell in cells {
        println!("{}", format_row(cell));
    }
}

fn format_row(cell: &Cell) -> String {
    let outcomes = &cell.outcomes;
    let on_time = Share::count(outcomes, |outcome| outcome.is_on_time).format_percent();
    let rolled_back = Share::count(outcomes, |outcome| outcome.is_rolled_back).format_percent();
    let with_traffic: Vec<&Outcome> =
        outcomes.iter().filter(|o| o.fault_rate >= MIN_FAULT_CALL_RATE).collect();
    let with_traffic = Share::count(&with_traffic, |outcome| outcome.is_rolled_back);
    let with_traffic =
        if with_traffic.total == 0 { "-".to_owned() } else { with_traffic.format_percent() };
    let peaks: Vec<f64> = outcomes.iter().map(|o| f64::from(o.peak_permille) / 10.0).collect();
    let harmed: Vec<f64> = outcomes.iter().map(|o| o.harmed_calls as f64).collect();
    let verdict_times: Vec<f64> = outcomes.iter().filter_map(|o| o.seconds_to_verdict).collect();
    let calls: Vec<f64> =
        outcomes.iter().filter(|o| o.is_rolled_back).map(|o| o.new_calls as f64).collect();
    let rechecks: Vec<f64> = outcomes.iter().map(|o| f64::from(o.rechecks)).collect();
    let harm = mean(&harmed);
    let on_time_or_dash = if cell.family.is_good() { on_time } else { "-".to_owned() };
    format!(
        "| {} | {} | {on_time_or_dash} | {rolled_back} | {with_traffic} | {}/{} | {:.0} ± {:.0} | {} | {}/{} | {} | {:.2} | {} |",
        cell.family,
        cell.strategy,
        format_number(quantile(peaks.clone(), 0.5)),
        format_number(quantile(peaks, 1.0)),
        harm.value,
        harm.half_width,
        format_number(quantile(harmed, 0.95)),
        format_number(quantile(verdict_times.clone(), 0.5)),
        format_number(quantile(verdict_times, 0.95)),
        format_number(quantile(calls, 0.5)),
        mean(&rechecks).value,
        reasons(cell),
    )
}

/// Returns how often the product rolled versions back for each kind of reason.
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

fn format_number(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.0}"))
}
