//! Tests that the table in `docs/CODES.md` lists exactly the codes of [`Code`].

use savorykeel_policy::code::Code;
use strum::IntoEnumIterator;

/// Returns the start of a code's row: number, name, outcome and HTTP status.
fn row_of(code: Code) -> String {
    let (number, status) = (code.number(), code.http_status());
    format!("| {number} | `{code}` | {} | {status} |", code.outcome())
}

#[test]
fn every_code_has_its_row_in_the_table() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CODES.md");
    let table = std::fs::read_to_string(path).unwrap();
    for code in Code::iter() {
        let row = row_of(code);
        assert!(table.lines().any(|line| line.starts_with(&row)), "no row begins with {row:?}");
    }
    let rows = table.lines().filter(|line| {
        line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
    });
    assert_eq!(rows.count(), Code::iter().count(), "the table has a row without a code");
}
