//! Parser of the nodes' JSON logs.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use eyre::WrapErr;
use serde_json::Value;

/// One line of a node's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time of day in milliseconds since 1970, by the clock of the node's machine.
    pub at_ms: i64,
    /// Node that wrote the line.
    pub node: String,
    /// Kind of the event.
    pub kind: String,
    /// All fields of the line.
    pub fields: Value,
}

impl LogLine {
    /// Parses a line. Returns nothing for lines that are not a node's.
    fn parse(text: &str) -> Option<Self> {
        // A log collector may have added a prefix.
        let fields: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(Self {
            at_ms: fields["at_ms"].as_i64()?,
            node: fields["node"].as_str()?.to_owned(),
            kind: fields["kind"].as_str()?.to_owned(),
            fields,
        })
    }

    /// Value of a field that holds a string.
    pub fn str_field(&self, field: &str) -> Option<&str> {
        self.fields[field].as_str()
    }
}

/// Reads the lines of `files`, sorted by time. Lines that are not a node's are skipped.
///
/// # Errors
///
/// Returns an error that names the file if a file can't be read.
pub fn read_lines(files: &[PathBuf]) -> eyre::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for path in files {
        let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
        parse_file(&mut lines, path, BufReader::new(file))?;
    }
    // The sort is stable: lines of a file that have the same time keep their order.
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

fn parse_file(lines: &mut Vec<LogLine>, path: &Path, mut file: impl BufRead) -> eyre::Result<()> {
    let mut bytes = Vec::new();
    while file.read_until(b'\n', &mut bytes).wrap_err_with(|| path.display().to_string())? > 0 {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&bytes)));
        bytes.clear();
    }
    Ok(())
}
