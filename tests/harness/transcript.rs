//! Records a session as text and compares it with a golden file.

use std::{env, fmt::Write, fs, path::PathBuf};

use savorykeel_standins::caller::Reply;

use super::command::CommandOutput;

/// Environment variable that, when set, rewrites golden files.
const UPDATE_VAR: &str = "UPDATE_GOLDEN";

/// A text that differs from run to run and its placeholder.
#[derive(Debug, Clone)]
struct Replacement {
    pattern: String,
    placeholder: String,
}

/// The text of a session.
#[derive(Default)]
pub struct Transcript {
    text: String,
    replacements: Vec<Replacement>,
}

impl Transcript {
    /// Replaces every occurrence of `pattern` by `placeholder`.
    pub fn replace(&mut self, pattern: impl ToString, placeholder: &str) {
        let replacement =
            Replacement { pattern: pattern.to_string(), placeholder: placeholder.to_owned() };
        self.replacements.push(replacement);
        // The longest pattern comes first, so that 127.0.0.1:7000 does not match
        // within 127.0.0.1:70001.
        self.replacements.sort_by_key(|replacement| std::cmp::Reverse(replacement.pattern.len()));
    }

    /// Adds a heading.
    pub fn heading(&mut self, title: &str) {
        let gap = if self.text.is_empty() { "" } else { "\n" };
        writeln!(self.text, "{gap}# {title}").expect("writing to a string succeeds");
    }

    /// Adds a line of text.
    pub fn line(&mut self, line: impl AsRef<str>) {
        writeln!(self.text, "{}", line.as_ref().trim_end()).expect("writing to a string succeeds");
    }

    /// Adds a command with its standard output, standard error and exit code.
    pub fn command(&mut self, args: &[&str], output: &CommandOutput) {
        self.line(format!("$ savorykeel {}", args.join(" ")));
        output.stdout.lines().for_each(|line| self.line(line));
        output.stderr.lines().for_each(|line| self.line(format!("stderr: {line}")));
        self.line(format!("exit code {}", output.code.map_or("none".into(), |c| c.to_string())));
    }

    /// Adds a request with its answer: the status, the headers that start with
    /// `savorykeel-` or `x-`, and the body.
    pub fn exchange(&mut self, request: &str, reply: &Reply) {
        self.line(format!("> {request}"));
        self.line(format!("< {}", reply.status));
        let is_shown = |name: &str| name.starts_with("savorykeel-") || name.starts_with("x-");
        let mut headers: Vec<_> = reply.headers.iter().filter(|h| is_shown(&h.name)).collect();
        headers.sort_by(|a, b| a.name.cmp(&b.name));
        for header in headers {
            self.line(format!("< {}: {}", header.name, header.value));
        }
        self.line(format!("< {}", reply.text()));
    }

    fn normalized(&self) -> String {
        let replace = |text: String, replacement: &Replacement| {
            text.replace(&replacement.pattern, &replacement.placeholder)
        };
        let text: String =
            self.text.lines().map(|line| format!("{}\n", strip_evidence_counts(line))).collect();
        self.replacements.iter().fold(text, replace)
    }

    /// Panics unless the session equals the golden file `tests/golden/NAME`.
    #[track_caller]
    pub fn assert_golden(&self, name: &str) {
        let file: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect();
        let actual = self.normalized();
        if env::var_os(UPDATE_VAR).is_some() {
            fs::write(&file, &actual).expect("the golden file is written");
            return;
        }
        let expected = fs::read_to_string(&file).expect("the golden file is read");
        let differs =
            expected.lines().zip(actual.lines()).position(|(expected, actual)| expected != actual);
        let at = differs.map_or("in length".into(), |line| format!("from line {}", line + 1));
        assert!(
            expected == actual,
            "the session differs from the golden file {at}; actual session:\n{actual}"
        );
    }
}

/// Removes the call counts of a move's evidence, which differ in every run.
fn strip_evidence_counts(line: &str) -> &str {
    const EVIDENCE_PREFIX: &str = "  evidence:";
    if line.starts_with(EVIDENCE_PREFIX) { EVIDENCE_PREFIX } else { line }
}
