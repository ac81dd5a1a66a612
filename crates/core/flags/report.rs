//! Flags of `savorykeel report`.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Reports what nodes recorded.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportFlags {
    #[argh(subcommand)]
    pub kind: ReportKind,
}

/// A kind of report.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ReportKind {
    /// The burn report.
    Burn(BurnFlags),
}

/// Reports how fast each service spends its error budget, and why.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
pub struct BurnFlags {
    /// operators' address of any node
    #[argh(option, arg_name = "IP:PORT")]
    pub operators: SocketAddr,

    /// print JSON in place of text
    #[argh(switch)]
    pub json: bool,

    /// also write one HTML file with pictures
    #[argh(option, arg_name = "FILE")]
    pub html: Option<PathBuf>,
}
