//! `savorykeel node`: runs a node until a signal ends it.

use std::{io::Write, process, sync::mpsc::Sender, thread};

use savorykeel_adapters::logging;
use savorykeel_node::{Addresses, Lifecycle, ShutdownOutcome, settings};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use slog::{Logger, info, warn};
use tokio_util::sync::CancellationToken;

use crate::{exit::Exit, flags::NodeFlags, reload};

/// Runs a node until a signal stops it.
pub fn run(flags: NodeFlags) -> anyhow::Result<Exit> {
    let Some(file) = flags.settings.or_else(savorykeel_platform::settings_file) else {
        eprintln!("savorykeel node: no settings file: specify one with --settings FILE");
        return Ok(Exit::Usage);
    };
    let settings = match settings::read(&file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Ok(Exit::Usage);
        }
    };
    let logging = logging::start(flags.log_format, flags.log_level);
    let stop = CancellationToken::new();
    let (reload_requests, reloads) = reload::watch(file, logging.log.clone())?;
    handle_signals(stop.clone(), reload_requests, logging.log.clone())?;
    let lifecycle = Lifecycle { stop, reloads };
    match savorykeel_node::run(settings, logging.log, lifecycle, print_ready_line)? {
        ShutdownOutcome::Graceful => Ok(Exit::Done),
        ShutdownOutcome::CallsAborted => Ok(Exit::Forced),
    }
}

fn print_ready_line(addresses: &Addresses) {
    let line = serde_json::to_string(addresses).expect("addresses are JSON");
    let mut stdout = std::io::stdout().lock();
    // The node keeps running if standard output is closed.
    let _ = writeln!(stdout, "{line}").and_then(|()| stdout.flush());
}

/// Cancels `stop` at the first SIGTERM or SIGINT and exits the process at the second.
/// SIGHUP requests a reload of the settings file.
///
/// A dedicated thread handles the signals, so that the second one ends the process
/// even if the node's runtime hangs.
fn handle_signals(
    stop: CancellationToken,
    reload_requests: Sender<()>,
    log: Logger,
) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in &mut signals {
            if signal == SIGHUP {
                info!(log, "signal: reloading the settings");
                // The receiving thread ends only after the node has stopped, when no reload
                // is needed any more.
                let _ = reload_requests.send(());
                continue;
            }
            if stop.is_cancelled() {
                warn!(log, "second signal: exiting with calls in flight"; "signal" => signal);
                process::exit(Exit::Forced as i32);
            }
            info!(log, "signal: graceful shutdown"; "signal" => signal);
            stop.cancel();
        }
    })?;
    Ok(())
}
