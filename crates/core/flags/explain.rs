//! Flags of `savorykeel explain`.

use std::path::PathBuf;

use argh::FromArgs;

/// Prints what the logs of nodes say about a request, and why it ended as it did.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainFlags {
    /// id of the request
    #[argh(positional, arg_name = "ID")]
    pub id: String,

    /// logs of nodes; a line starts with the node's name, or the file is named after it
    #[argh(positional, arg_name = "FILE")]
    pub files: Vec<PathBuf>,
}
