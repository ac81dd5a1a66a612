//! Reloads the settings file when it has changed.
//!
//! A thread polls the file and also checks it at once on request, which is how SIGHUP
//! triggers a reload. Settings that can't be read or are invalid leave the previous
//! ones in force.

use std::{
    path::{Path, PathBuf},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread,
    time::Duration,
};

use savorykeel_node::settings::{self, Settings};
use slog::{Logger, error};

/// Interval at which the file is checked, because it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Channel on which the node receives reloaded settings.
pub type Reloads = async_channel::Receiver<Settings>;

/// Starts a thread that watches `file`.
///
/// Returns a sender that requests an immediate check and the channel of the reloaded
/// settings.
pub fn watch(file: PathBuf, log: Logger) -> std::io::Result<(Sender<()>, Reloads)> {
    let (request_tx, request_rx) = channel();
    let (settings_tx, settings_rx) = async_channel::unbounded();
    let last_text = std::fs::read(&file).unwrap_or_default();
    thread::Builder::new()
        .name("settings".into())
        .spawn(move || poll_file(&file, last_text, &request_rx, &settings_tx, &log))?;
    Ok((request_tx, settings_rx))
}

fn poll_file(
    file: &Path,
    mut last_text: Vec<u8>,
    requests: &Receiver<()>,
    reloads: &async_channel::Sender<Settings>,
    log: &Logger,
) {
    loop {
        match requests.recv_timeout(POLL_INTERVAL) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let Ok(text) = std::fs::read(file) else { continue };
        if text == last_text {
            continue;
        }
        match settings::parse(file, &String::from_utf8_lossy(&text)) {
            Ok(settings) => {
                if reloads.send_blocking(settings).is_err() {
                    return;
                }
            }
            Err(e) => error!(log, "reloading the settings failed"; "problem" => %e),
        }
        last_text = text;
    }
}
