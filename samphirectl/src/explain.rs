//! History of one request, from the logs of nodes.

use std::path::PathBuf;

use crate::{
    log_lines::{LogLine, read_lines},
    statement::ExitKind,
};

/// Fields that are not listed, since they are printed in front of the list, are the same in all
/// lines, or are not about the request.
const OMITTED_FIELDS: [&str; 6] = ["at_ms", "boot_ms", "node", "kind", "request", "left_out"];

fn print_line(line: &LogLine, since_ms: i64) {
    let fields = line.fields.as_object().into_iter().flatten();
    let shown = fields.filter(|(name, value)| {
        !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null() && **value != ""
    });
    let shown: Vec<String> = shown
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
        shown.join(" ")
    );
}

/// Prints the state of the nodes that served `request`, then the lines of the request in order.
pub fn explain_request(request: &str, files: &[PathBuf]) -> eyre::Result<ExitKind> {
    let lines = read_lines(files)?;
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.str_field("request") == Some(request)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        eprintln!("samphirectl: no line of {request} in {} files", files.len());
        return Ok(ExitKind::Refused);
    };
    let mut nodes: Vec<&str> = request_lines.iter().map(|line| line.node.as_str()).collect();
    nodes.sort_unstable();
    nodes.dedup();
    let mut upstreams: Vec<&str> =
        request_lines.iter().filter_map(|line| line.str_field("upstream")).collect();
    upstreams.sort_unstable();
    upstreams.dedup();
    println!("node state:");
    for line in latest_node_state(&lines, &nodes, &upstreams, last.at_ms) {
        print_line(line, first.at_ms);
    }
    println!("{request}:");
    for line in &request_lines {
        print_line(line, first.at_ms);
    }
    Ok(ExitKind::Success)
}

/// Finds the newest line up to `until_ms` of each of `nodes` about its configuration, about each of
/// `upstreams` and its limit, about each dependency, and about its own start, stop or reload.
fn latest_node_state<'a>(
    lines: &'a [LogLine],
    nodes: &[&str],
    upstreams: &[&str],
    until_ms: i64,
) -> Vec<&'a LogLine> {
    let mut newest_by_key: Vec<(String, &LogLine)> = Vec::new();
    for line in lines.iter().take_while(|line| line.at_ms <= until_ms) {
        if !nodes.contains(&line.node.as_str()) {
            continue;
        }
        let subject = match line.kind.as_str() {
            "config" | "config-unreadable" => "config",
            "dependency-lost" | "dependency-back" => line.str_field("what").unwrap_or_default(),
            "upstream" | "upstream-limit" => match line.str_field("upstream") {
                Some(upstream) if upstreams.contains(&upstream) => upstream,
                _ => continue,
            },
            "start" | "stop" | "reload" => "run",
            _ => continue,
        };
        let is_limit = line.kind == "upstream-limit";
        let key = format!("{} {subject} {is_limit}", line.node);
        match newest_by_key.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(at) => newest_by_key[at].1 = line,
            Err(at) => newest_by_key.insert(at, (key, line)),
        }
    }
    let mut newest: Vec<&LogLine> = newest_by_key.into_iter().map(|(_, line)| line).collect();
    newest.sort_by_key(|line| line.at_ms);
    newest
}
