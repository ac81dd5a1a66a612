//! Flags of `savorykeel check`.

use std::path::PathBuf;

use argh::FromArgs;

/// Checks a settings file or a configuration and does nothing else.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckFlags {
    /// settings file of a node
    #[argh(option, arg_name = "FILE")]
    settings: Option<PathBuf>,

    /// configuration file, or - for standard input
    #[argh(option, arg_name = "FILE")]
    configuration: Option<PathBuf>,
}

/// File that the command checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckTarget {
    /// The settings file of a node.
    Settings(PathBuf),
    /// A configuration.
    Configuration(PathBuf),
}

impl TryFrom<CheckFlags> for CheckTarget {
    type Error = anyhow::Error;

    fn try_from(flags: CheckFlags) -> Result<Self, anyhow::Error> {
        match (flags.settings, flags.configuration) {
            (Some(file), None) => Ok(CheckTarget::Settings(file)),
            (None, Some(file)) => Ok(CheckTarget::Configuration(file)),
            _ => anyhow::bail!("use either --settings FILE or --configuration FILE"),
        }
    }
}
