//! Holds the shares against what operators rely on.

use super::{
    Cell, family::Family, report::BUSY_RATE, stats::Share, strategy::Strategy, world::Outcome,
};

/// Least share of good versions that are done on time.
const ON_TIME: f64 = 0.995;

/// Share of good versions below which take-backs must stay.
const FALSE_TAKE_BACKS: f64 = 0.005;

/// Least share of bad versions that are taken back.
const TAKEN_BACK: f64 = 0.99;

/// Fails when the product's decisions miss a share.
pub(super) fn check(cells: &[Cell]) -> anyhow::Result<()> {
    let own = cells.iter().filter(|cell| cell.strategy == Strategy::Savorykeel);
    let missed: Vec<String> = own.filter_map(problem).collect();
    anyhow::ensure!(missed.is_empty(), "{}", missed.join("; "));
    Ok(())
}

fn problem(cell: &Cell) -> Option<String> {
    if cell.family.is_good() { good_problem(cell) } else { bad_problem(cell) }
}

fn good_problem(cell: &Cell) -> Option<String> {
    let on_time = Share::of(&cell.outcomes, |outcome| outcome.is_on_time);
    let taken_back = Share::of(&cell.outcomes, |outcome| outcome.is_taken_back);
    let is_met = on_time.value() >= ON_TIME && taken_back.value() < FALSE_TAKE_BACKS;
    let (family, on_time, taken_back) = (cell.family, on_time.text(), taken_back.text());
    (!is_met).then(|| format!("{family}: {on_time}% on time, {taken_back}% taken back"))
}

fn bad_problem(cell: &Cell) -> Option<String> {
    // Faults this small are reported and not promised.
    if matches!(cell.family, Family::Slow20Percent | Family::FailHalfPercent) {
        return None;
    }
    let busy: Vec<&Outcome> =
        cell.outcomes.iter().filter(|outcome| outcome.fault_rate >= BUSY_RATE).collect();
    let taken_back = Share::of(&busy, |outcome| outcome.is_taken_back);
    let is_met = taken_back.total == 0 || taken_back.value() >= TAKEN_BACK;
    (!is_met).then(|| format!("{}: {}% taken back", cell.family, taken_back.text()))
}
