//! `savorykeel explain`: prints what logs say about a request.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
    sync::Arc,
};

use anyhow::Context;

use crate::{
    exit::Exit,
    explain::{Explanation, LogLine},
    flags::ExplainFlags,
};

/// Prints the lines about a request in order of time, and its cause.
pub fn run(flags: ExplainFlags) -> anyhow::Result<Exit> {
    if flags.files.is_empty() {
        eprintln!("savorykeel: name the logs to search: savorykeel explain ID FILE...");
        return Ok(Exit::Usage);
    }
    let mut lines = Vec::new();
    for file in &flags.files {
        lines.extend(read(file).with_context(|| format!("{}: can't be read", file.display()))?);
    }
    let Some(explanation) = Explanation::of(&flags.id, lines) else {
        let files = flags.files.len();
        eprintln!("savorykeel: no line in {files} files is about {}; check the id", flags.id);
        return Ok(Exit::Failed);
    };
    for line in &explanation.lines {
        println!("{line}");
    }
    println!("cause: {}", explanation.cause);
    Ok(Exit::Done)
}

fn read(file: &Path) -> std::io::Result<Vec<LogLine>> {
    let stem = file.file_stem().unwrap_or_default().to_string_lossy();
    let node: Arc<str> = stem.into();
    let mut lines = Vec::new();
    for bytes in BufReader::new(File::open(file)?).split(b'\n') {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&bytes?), &node));
    }
    Ok(lines)
}
