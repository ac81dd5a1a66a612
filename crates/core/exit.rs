//! Exit codes, described for operators in `docs/EXIT-CODES.md`.

use std::process::ExitCode;

/// How a command ended.
///
/// Scripts branch on these numbers, so a number is never reused with another
/// meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason that has no code of its own.
    Failed = 1,
    /// The command line, the settings or the configuration is invalid.
    Usage = 2,
    /// The publish was derived from a version that is no longer in force.
    Conflict = 3,
    /// The published configuration breaks a rule.
    Refused = 4,
    /// The outcome is not known yet; it is safe to repeat the command.
    Pending = 5,
    /// The bearer token is missing or wrong.
    Unauthorized = 6,
    /// The operators' API can't be reached.
    Unreachable = 7,
    /// A node exited while requests were still in flight.
    Forced = 8,
    /// The move that the command waited for was rolled back.
    TakenBack = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
