//! Reads the settings file again when it changed or a signal says so.

use std::{
    path::{Path, PathBuf},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread,
    time::Duration,
};

use savorykeel_node::settings::{self, Settings};
use slog::{Logger, error};

/// Time between two looks at the file, because it may change without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Settings that were read again, for the node.
pub type Reloads = async_channel::Receiver<Settings>;

/// Starts to watch `file`; the sender asks for a look at once.
pub fn watch(file: PathBuf, log: Logger) -> std::io::Result<(Sender<()>, Reloads)> {
    let (asked_tx, asked_rx) = channel();
    let (reload_tx, reload_rx) = async_channel::unbounded();
    let known = std::fs::read(&file).unwrap_or_default();
    thread::Builder::new()
        .name("settings".into())
        .spawn(move || look_on(&file, known, &asked_rx, &reload_tx, &log))?;
    Ok((asked_tx, reload_rx))
}

fn look_on(
    file: &Path,
    mut known: Vec<u8>,
    asked: &Receiver<()>,
    reloads: &async_channel::Sender<Settings>,
    log: &Logger,
) {
    loop {
        match asked.recv_timeout(LOOK_PERIOD) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let Ok(text) = std::fs::read(file) else { continue };
        if text == known {
            continue;
        }
        match settings::parse(file, &String::from_utf8_lossy(&text)) {
            Ok(settings) => {
                if reloads.send_blocking(settings).is_err() {
                    return;
                }
            }
            Err(e) => error!(log, "settings not read again"; "problem" => %e),
        }
        known = text;
    }
}
