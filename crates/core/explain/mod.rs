//! Follows a request through the logs of nodes. `docs/OPERATIONS.md` has the same walks by hand.

mod cause;
mod line;

pub use cause::Cause;
pub use line::LogLine;

/// What logs say about a request.
#[derive(Debug, Clone)]
pub struct Explanation {
    /// Lines about the request and the calls of its runs, in order of time.
    pub lines: Vec<LogLine>,
    /// Why it ended as it did.
    pub cause: Cause,
}

impl Explanation {
    /// Explains the request `id` from the lines of all nodes, in any order; `None` if no line
    /// is about it.
    pub fn of(id: &str, mut lines: Vec<LogLine>) -> Option<Self> {
        lines.sort_by_key(|line| line.at);
        let cause = Cause::of(id, &lines);
        lines.retain(|line| line.is_about(id));
        (!lines.is_empty()).then_some(Self { lines, cause })
    }
}
