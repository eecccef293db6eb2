//! What happened to one request, out of the logs of the nodes.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use eyre::WrapErr;
use serde_json::Value;

use crate::statement::ExitKind;

/// Fields that stand in front of each printed line, or that are the same in all of them.
const COMMON_FIELDS: [&str; 6] = ["at_ms", "boot_ms", "node", "kind", "request", "left_out"];

/// One line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    /// Time of day in milliseconds since 1970, as the node's machine believed it.
    at_ms: i64,
    node: String,
    kind: String,
    fields: Value,
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

    fn text(&self, field: &str) -> Option<&str> {
        self.fields[field].as_str()
    }

    fn print(&self, since_ms: i64) {
        let fields = self.fields.as_object().into_iter().flatten();
        let told = fields.filter(|(name, value)| {
            !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null() && **value != ""
        });
        let told: Vec<String> = told
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text:?}"),
                None => format!("{name}={value}"),
            })
            .collect();
        println!(
            "{:>+9} ms  {:<14} {:<16} {}",
            self.at_ms - since_ms,
            self.node,
            self.kind,
            told.join(" ")
        );
    }
}

fn read_lines(files: &[PathBuf]) -> eyre::Result<Vec<LogLine>> {
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

/// Prints the lines of `request` in order, after what its nodes believed then.
pub fn explain_request(request: &str, files: &[PathBuf]) -> eyre::Result<ExitKind> {
    let lines = read_lines(files)?;
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.text("request") == Some(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        eprintln!("samphirectl: no line of {request} in {} files", files.len());
        return Ok(ExitKind::Refused);
    };
    let mut nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    nodes.sort_unstable();
    nodes.dedup();
    let mut upstreams: Vec<&str> = own.iter().filter_map(|line| line.text("upstream")).collect();
    upstreams.sort_unstable();
    upstreams.dedup();
    println!("beliefs in force:");
    for line in beliefs(&lines, &nodes, &upstreams, last.at_ms) {
        line.print(first.at_ms);
    }
    println!("{request}:");
    for line in &own {
        line.print(first.at_ms);
    }
    Ok(ExitKind::Success)
}

/// What `nodes` believed at `until_ms` of the configuration, of `upstreams` and of what they depend
/// on: the newest line of each.
fn beliefs<'a>(
    lines: &'a [LogLine],
    nodes: &[&str],
    upstreams: &[&str],
    until_ms: i64,
) -> Vec<&'a LogLine> {
    let mut found: Vec<(String, &LogLine)> = Vec::new();
    for line in lines.iter().take_while(|line| line.at_ms <= until_ms) {
        if !nodes.contains(&line.node.as_str()) {
            continue;
        }
        let subject = match line.kind.as_str() {
            "config" | "config-unreadable" => "config",
            "dependency-lost" | "dependency-back" => line.text("what").unwrap_or_default(),
            "upstream" => match line.text("upstream") {
                Some(upstream) if upstreams.contains(&upstream) => upstream,
                _ => continue,
            },
            "start" | "stop" | "reload" => "run",
            _ => continue,
        };
        let key = format!("{} {subject}", line.node);
        match found.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(at) => found[at].1 = line,
            Err(at) => found.insert(at, (key, line)),
        }
    }
    let mut newest: Vec<&LogLine> = found.into_iter().map(|(_, line)| line).collect();
    newest.sort_by_key(|line| line.at_ms);
    newest
}
