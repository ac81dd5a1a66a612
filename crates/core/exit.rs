//! Exit codes, described for operators in `docs/EXIT-CODES.md`.

use std::process::ExitCode;

/// How a command ended.
///
/// Scripts branch on these numbers, so that a number is never used again for
/// something else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command did what it was asked.
    Done = 0,
    /// The command failed for a reason that no other code names.
    Failed = 1,
    /// The command line, the settings or the configuration can't be used.
    Usage = 2,
    /// The publish was derived from a version that is no longer in force.
    Conflict = 3,
    /// The published configuration breaks a rule.
    Refused = 4,
    /// The outcome isn't known yet; the command may be repeated.
    Pending = 5,
    /// The bearer token is missing or wrong.
    Unauthorized = 6,
    /// The operators' API can't be reached.
    Unreachable = 7,
    /// A node ended before its requests in flight were finished.
    Forced = 8,
    /// The move that was waited for was taken back.
    TakenBack = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
