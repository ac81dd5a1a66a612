//! Checks the measured shares against those that operators rely on.

use super::{
    Cell, family::Family, report::MIN_FAULT_CALL_RATE, simulation::Outcome, stats::Share,
    strategy::Strategy,
};

/// Minimum share of moves to good versions that are done on time.
const MIN_ON_TIME: f64 = 0.995;

/// Share of good versions below which rollbacks must stay.
const MAX_FALSE_ROLLBACKS: f64 = 0.005;

/// Minimum share of bad versions that are rolled back.
const MIN_ROLLED_BACK: f64 = 0.99;

/// Returns an error that lists the families for which the product's decisions miss a
/// required share.
pub(super) fn check(cells: &[Cell]) -> anyhow::Result<()> {
    let product_cells = cells.iter().filter(|cell| cell.strategy == Strategy::Savorykeel);
    let missed: Vec<String> = product_cells.filter_map(check_family).collect();
    anyhow::ensure!(missed.is_empty(), "{}", missed.join("; "));
    Ok(())
}

fn check_family(cell: &Cell) -> Option<String> {
    if cell.family.is_good() { check_good_family(cell) } else { check_bad_family(cell) }
}

fn check_good_family(cell: &Cell) -> Option<String> {
    let on_time = Share::count(&cell.outcomes, |outcome| outcome.is_on_time);
    let rolled_back = Share::count(&cell.outcomes, |outcome| outcome.is_rolled_back);
    let is_met = on_time.value() >= MIN_ON_TIME && rolled_back.value() < MAX_FALSE_ROLLBACKS;
    let (family, on_time, rolled_back) =
        (cell.family, on_time.format_percent(), rolled_back.format_percent());
    (!is_met).then(|| format!("{family}: {on_time}% on time, {rolled_back}% rolled back"))
}

fn check_bad_family(cell: &Cell) -> Option<String> {
    // The table shows faults this small, but their detection isn't guaranteed.
    if matches!(cell.family, Family::Slow20Percent | Family::FailHalfPercent) {
        return None;
    }
    let with_traffic: Vec<&Outcome> =
        cell.outcomes.iter().filter(|outcome| outcome.fault_rate >= MIN_FAULT_CALL_RATE).collect();
    let rolled_back = Share::count(&with_traffic, |outcome| outcome.is_rolled_back);
    let is_met = rolled_back.total == 0 || rolled_back.value() >= MIN_ROLLED_BACK;
    (!is_met).then(|| format!("{}: {}% rolled back", cell.family, rolled_back.format_percent()))
}
