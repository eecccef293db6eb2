//! Lines of nodes' logs.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use eyre::WrapErr;
use serde_json::Value;

/// One line of a log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time of day in milliseconds since 1970, as the node's machine believed it.
    pub at_ms: i64,
    /// Node that wrote it.
    pub node: String,
    /// What it tells of.
    pub kind: String,
    /// All fields.
    pub fields: Value,
}

impl LogLine {
    /// Reads a line, or nothing if it is no line of a node's log.
    fn parse(text: &str) -> Option<Self> {
        // A collector may have put its own words in front.
        let fields: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(Self {
            at_ms: fields["at_ms"].as_i64()?,
            node: fields["node"].as_str()?.to_owned(),
            kind: fields["kind"].as_str()?.to_owned(),
            fields,
        })
    }

    /// Text of a field.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields[field].as_str()
    }
}

/// Reads the lines of `files`, sorted by time.
///
/// # Errors
///
/// Returns the file that can't be read.
pub fn read_lines(files: &[PathBuf]) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for path in files {
        let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
        read_into(&mut lines, path, BufReader::new(file))?;
    }
    // Lines of one node stay in their order where their times are the same.
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

fn read_into(lines: &mut Vec<LogLine>, path: &Path, mut file: impl BufRead) -> eyre::Result<()> {
    let mut bytes = Vec::new();
    while file.read_until(b'\n', &mut bytes).wrap_err_with(|| path.display().to_string())? > 0 {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&bytes)));
        bytes.clear();
    }
    Ok(())
}
