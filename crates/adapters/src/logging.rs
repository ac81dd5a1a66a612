//! Structured logs on standard output.
//!
//! A separate thread writes the lines, so that a slow reader of standard output never delays
//! a request. Lines that don't fit into the queue are dropped, and their number is logged.
//! The lines are listed in `docs/OPERATIONS.md`.

use std::io::stdout;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Maximum number of queued lines.
const QUEUE_LINES: usize = 4_096;

/// Format of log lines.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line, for programs.
    #[default]
    Json,
    /// Plain text, for people.
    Human,
}

/// Minimum severity that is logged.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// A fault that an operator must attend to.
    Error,
    /// A problem that an operator should know of.
    Warn,
    /// A change of state.
    #[default]
    Info,
    /// Details for diagnosis.
    Debug,
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Level {
        match level {
            LogLevel::Error => Level::Error,
            LogLevel::Warn => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}

/// A logger with the guard that writes queued lines when dropped.
pub struct Logging {
    /// The logger.
    pub log: Logger,
    /// Owns the writing thread; must be dropped last.
    pub guard: AsyncGuard,
}

/// Starts logging to standard output.
pub fn start(format: LogFormat, level: LogLevel) -> Logging {
    let level = Level::from(level);
    match format {
        LogFormat::Json => start_async(slog_json::Json::default(stdout()), level),
        LogFormat::Human => {
            let decorator = slog_term::PlainDecorator::new(stdout());
            start_async(slog_term::FullFormat::new(decorator).build(), level)
        }
    }
}

fn start_async<D>(drain: D, level: Level) -> Logging
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let (drain, guard) = Async::new(drain.ignore_res())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = LevelFilter::new(drain, level);
    Logging { log: Logger::root(drain.ignore_res(), o!()), guard }
}
