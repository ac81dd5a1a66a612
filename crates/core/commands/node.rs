//! `savorykeel node`: runs a node until a signal ends it.

use std::{io::Write, process, thread};

use savorykeel_adapters::logging;
use savorykeel_node::{Addresses, Ending, settings};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use crate::{exit::Exit, flags::NodeFlags};

/// Runs a node.
pub fn run(flags: NodeFlags) -> anyhow::Result<Exit> {
    let settings = match settings::read(&flags.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Ok(Exit::Usage);
        }
    };
    let logging = logging::start(flags.log_format, flags.log_level);
    let stop = CancellationToken::new();
    watch_signals(stop.clone(), logging.log.clone())?;
    match savorykeel_node::run(settings, logging.log, stop, print_ready_line)? {
        Ending::Graceful => Ok(Exit::Done),
        Ending::CallsCut => Ok(Exit::Forced),
    }
}

fn print_ready_line(addresses: &Addresses) {
    let line = serde_json::to_string(addresses).expect("addresses are JSON");
    let mut stdout = std::io::stdout().lock();
    // Nobody may read the line any more, which is no reason to stop.
    let _ = writeln!(stdout, "{line}").and_then(|()| stdout.flush());
}

/// Cancels `stop` at the first signal and ends the process at the second.
///
/// A thread waits for the signals, so that the second one ends a node whose
/// runtime hangs.
fn watch_signals(stop: CancellationToken, log: Logger) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in &mut signals {
            if stop.is_cancelled() {
                warn!(log, "second signal: calls in flight are cut"; "signal" => signal);
                process::exit(Exit::Forced as i32);
            }
            info!(log, "signal: graceful shutdown"; "signal" => signal);
            stop.cancel();
        }
    })?;
    Ok(())
}
