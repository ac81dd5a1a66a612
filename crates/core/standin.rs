//! `savorykeel standin`: runs a stand-in as a separate process.
//!
//! A stand-in prints one JSON line with its address once it listens and runs until
//! a signal ends the process.

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
};

use anyhow::Context;
use argh::FromArgs;
use savorykeel_standins::{backend, log, proxy};
use serde::{Serialize, de::DeserializeOwned};

/// Run a stand-in for a system that savorykeel works with, for trials and tests.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "standin")]
pub struct StandinCommand {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand)]
enum Kind {
    Log(LogCommand),
    Backend(BackendCommand),
    Proxy(ProxyCommand),
}

/// Run an append-only log service that keeps its records in memory.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "log")]
struct LogCommand {
    /// file with the settings as JSON
    #[argh(option)]
    settings: Option<PathBuf>,

    /// address to listen on, in place of the one in the settings
    #[argh(option)]
    listen: Option<SocketAddr>,
}

/// Run a backend server that announces itself to its node.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "backend")]
struct BackendCommand {
    /// file with the settings as JSON; replaces every flag but --listen
    #[argh(option)]
    settings: Option<PathBuf>,

    /// address to listen on, in place of the one in the settings
    #[argh(option)]
    listen: Option<SocketAddr>,

    /// service that the backend server belongs to
    #[argh(option)]
    service: Option<String>,

    /// version of the backend server's software
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,

    /// instance name, included in each answer
    #[argh(option)]
    name: Option<String>,

    /// address on which its node accepts announcements
    #[argh(option)]
    node: Option<SocketAddr>,
}

/// Run a TCP proxy that injects faults.
#[derive(FromArgs, PartialEq, Debug)]
#[argh(subcommand, name = "proxy")]
struct ProxyCommand {
    /// file with the settings as JSON; replaces every flag but --listen
    #[argh(option)]
    settings: Option<PathBuf>,

    /// address to listen on, in place of the one in the settings
    #[argh(option)]
    listen: Option<SocketAddr>,

    /// address to forward to
    #[argh(option)]
    target: Option<SocketAddr>,

    /// address of the HTTP interface that sets the faults
    #[argh(option)]
    control: Option<SocketAddr>,
}

/// The JSON line that a stand-in prints once it listens.
#[derive(Serialize)]
struct ReadyLine<'a> {
    standin: &'a str,
    address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    control: Option<SocketAddr>,
}

/// Runs the chosen stand-in until a signal ends the process.
pub fn run(command: StandinCommand) -> anyhow::Result<()> {
    match command.kind {
        Kind::Log(command) => run_log(command),
        Kind::Backend(command) => run_backend(command),
        Kind::Proxy(command) => run_proxy(command),
    }
}

fn run_log(command: LogCommand) -> anyhow::Result<()> {
    let mut settings: log::Settings = match &command.settings {
        Some(file) => read_settings(file)?,
        None => log::Settings::default(),
    };
    settings.listen = command.listen.unwrap_or(settings.listen);
    let listen = settings.listen;
    let handle = log::start(settings).with_context(|| cannot_listen(listen))?;
    print_ready_line("log", handle.addr(), None)?;
    handle.join();
    Ok(())
}

fn run_backend(command: BackendCommand) -> anyhow::Result<()> {
    let mut settings = match &command.settings {
        Some(file) => read_settings(file)?,
        None => backend_settings(&command)?,
    };
    settings.listen = command.listen.unwrap_or(settings.listen);
    let listen = settings.listen;
    let handle = backend::start(settings).with_context(|| cannot_listen(listen))?;
    print_ready_line("backend", handle.addr(), None)?;
    handle.join();
    Ok(())
}

fn backend_settings(command: &BackendCommand) -> anyhow::Result<backend::Settings> {
    let service = command.service.as_deref().context("use --service or --settings")?;
    let mut settings = backend::Settings::new(service, &command.version);
    settings.node = command.node;
    settings.crash = backend::CrashMode::Exit;
    if let Some(name) = &command.name {
        settings = settings.with_name(name);
    }
    Ok(settings)
}

fn run_proxy(command: ProxyCommand) -> anyhow::Result<()> {
    let mut settings = match &command.settings {
        Some(file) => read_settings(file)?,
        None => proxy_settings(&command)?,
    };
    settings.listen = command.listen.unwrap_or(settings.listen);
    let listen = settings.listen;
    let handle = proxy::start(settings).with_context(|| cannot_listen(listen))?;
    print_ready_line("proxy", handle.addr(), handle.control_addr())?;
    handle.join();
    Ok(())
}

fn proxy_settings(command: &ProxyCommand) -> anyhow::Result<proxy::Settings> {
    let target = command.target.context("use --target or --settings")?;
    let mut settings = proxy::Settings::for_target(target);
    settings.control = command.control;
    Ok(settings)
}

fn read_settings<T: DeserializeOwned>(file: &Path) -> anyhow::Result<T> {
    let text = fs::read(file).with_context(|| format!("can't read {}", file.display()))?;
    let mut de = serde_json::Deserializer::from_slice(&text);
    let settings = serde_path_to_error::deserialize(&mut de)
        .with_context(|| format!("{} has no valid stand-in settings", file.display()))?;
    Ok(settings)
}

fn cannot_listen(addr: SocketAddr) -> String {
    format!("can't listen on {addr}")
}

fn print_ready_line(
    standin: &str,
    address: SocketAddr,
    control: Option<SocketAddr>,
) -> io::Result<()> {
    let line = serde_json::to_string(&ReadyLine { standin, address, control })?;
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()
}
