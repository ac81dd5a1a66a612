//! The transcript of a session, compared with a golden file.

use std::{env, fmt::Write, fs, path::PathBuf};

use savorykeel_standins::caller::Reply;

use super::command::CommandOutput;

/// Environment variable that, when set, rewrites golden files.
const UPDATE_VAR: &str = "UPDATE_GOLDEN";

/// What differs from run to run, and what stands in its place.
#[derive(Debug, Clone)]
struct Replacement {
    pattern: String,
    placeholder: String,
}

/// A session as text.
#[derive(Default)]
pub struct Transcript {
    text: String,
    replacements: Vec<Replacement>,
}

impl Transcript {
    /// Shows `shown` wherever `actual` comes up.
    pub fn replace(&mut self, pattern: impl ToString, placeholder: &str) {
        let replacement =
            Replacement { pattern: pattern.to_string(), placeholder: placeholder.to_owned() };
        self.replacements.push(replacement);
        // The longest first, so that 127.0.0.1:70001 isn't shown by 127.0.0.1:7000.
        self.replacements.sort_by_key(|replacement| std::cmp::Reverse(replacement.pattern.len()));
    }

    /// Adds a heading.
    pub fn heading(&mut self, title: &str) {
        let gap = if self.text.is_empty() { "" } else { "\n" };
        writeln!(self.text, "{gap}# {title}").expect("text grows");
    }

    /// Adds a line.
    pub fn line(&mut self, line: impl AsRef<str>) {
        writeln!(self.text, "{}", line.as_ref().trim_end()).expect("text grows");
    }

    /// Adds a command with everything that it printed and its exit code.
    pub fn command(&mut self, args: &[&str], output: &CommandOutput) {
        self.line(format!("$ savorykeel {}", args.join(" ")));
        output.stdout.lines().for_each(|line| self.line(line));
        output.stderr.lines().for_each(|line| self.line(format!("stderr: {line}")));
        self.line(format!("exit code {}", output.code.map_or("none".into(), |c| c.to_string())));
    }

    /// Adds a request with its answer: status, the headers of savorykeel, body.
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

    /// Panics unless the session is the one in `tests/golden/NAME`.
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
        assert!(expected == actual, "the session differs {at}; it was:\n{actual}");
    }
}

/// Leaves out how many calls a move's evidence counted, which no run repeats.
fn strip_evidence_counts(line: &str) -> &str {
    const EVIDENCE_PREFIX: &str = "  evidence:";
    if line.starts_with(EVIDENCE_PREFIX) { EVIDENCE_PREFIX } else { line }
}
