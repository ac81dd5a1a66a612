//! Flags of `savorykeel report`.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Reports on the calls that nodes recorded.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportFlags {
    #[argh(subcommand)]
    pub kind: ReportKind,
}

/// Kind of report to print.
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

    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,

    /// also write the report with charts to this HTML file
    #[argh(option, arg_name = "FILE")]
    pub html: Option<PathBuf>,
}
