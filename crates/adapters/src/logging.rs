//! Structured logs on standard output.
//!
//! A line is written by a thread of its own, so that a slow reader of standard
//! output never holds up a request. Lines that don't fit the queue are counted
//! and their number is logged. The lines are listed in `docs/OPERATIONS.md`.

use std::io::stdout;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Lines that may wait to be written.
const QUEUE_LINES: usize = 4_096;

/// How log lines look.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line, for programs.
    #[default]
    Json,
    /// Text for people.
    Human,
}

/// Least severity that is logged.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Something that an operator must look at.
    Error,
    /// Something that an operator should know.
    Warn,
    /// A change of state.
    #[default]
    Info,
    /// What helps to find a fault.
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

/// A logger with the guard that writes waiting lines when it is dropped.
pub struct Logging {
    /// The logger.
    pub log: Logger,
    /// Keeps the writing thread; dropped last.
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
