//! What happened to one request, out of the logs of the nodes.

use std::path::PathBuf;

use crate::{
    log_lines::{LogLine, read_lines},
    statement::ExitKind,
};

/// Fields that stand in front of each printed line, or that are the same in all of them.
const COMMON_FIELDS: [&str; 6] = ["at_ms", "boot_ms", "node", "kind", "request", "left_out"];

fn print_line(line: &LogLine, since_ms: i64) {
    let fields = line.fields.as_object().into_iter().flatten();
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
        line.at_ms - since_ms,
        line.node,
        line.kind,
        told.join(" ")
    );
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
        print_line(line, first.at_ms);
    }
    println!("{request}:");
    for line in &own {
        print_line(line, first.at_ms);
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
