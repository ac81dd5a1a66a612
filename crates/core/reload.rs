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
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Settings that were read again, for the node.
pub type Reloads = async_channel::Receiver<Settings>;

/// Starts to watch `file`; the sender asks for a look at once.
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
            Err(e) => error!(log, "settings not read again"; "problem" => %e),
        }
        last_text = text;
    }
}
