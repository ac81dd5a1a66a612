//! Syntax of timestamps in a configuration.

/// Returns whether a timestamp has the syntax of RFC 3339.
///
/// The parser accepts further forms, which the published JSON Schema refuses and
/// which another release of the parser may interpret differently.
pub(crate) fn has_rfc3339_shape(raw: &str) -> bool {
    let Some((seconds, rest)) = raw.split_at_checked("2026-12-04T18:00:00".len()) else {
        return false;
    };
    let has_date_and_time = seconds.bytes().enumerate().all(|(i, c)| match i {
        4 | 7 => c == b'-',
        10 => c == b'T' || c == b't',
        13 | 16 => c == b':',
        _ => c.is_ascii_digit(),
    });
    has_date_and_time && is_utc_offset(without_fraction(rest))
}

fn without_fraction(rest: &str) -> &str {
    let Some(fraction) = rest.strip_prefix('.') else { return rest };
    let end = fraction.trim_start_matches(|c: char| c.is_ascii_digit());
    let has_digits = end.len() < fraction.len();
    if has_digits { end } else { rest }
}

fn is_utc_offset(raw: &str) -> bool {
    if raw == "Z" || raw == "z" {
        return true;
    }
    let has_shape = raw.bytes().enumerate().all(|(i, c)| match i {
        0 => c == b'+' || c == b'-',
        3 => c == b':',
        _ => c.is_ascii_digit(),
    });
    has_shape && raw.len() == "+02:00".len()
}
