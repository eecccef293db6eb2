//! Suspected prompt parts of forwarding nodes, at their metrics addresses.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use eyre::{bail, eyre};
use samphiredeck_core::ids::PartKey;
use serde_json::{Value, json};

use crate::{
    cli::SuspectsArgs,
    output::{add_row_of_fields, format_table, new_table},
    statement::ExitKind,
};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Columns of the table.
const FIELDS: [&str; 7] =
    ["node", "part", "crashes", "engine_runs", "last_crash_ms", "trial_in_ms", "response_ms"];

/// Prints which parts each node suspects, after the release of one if that is asked for.
///
/// # Errors
///
/// Returns an error that names the argument that is invalid.
pub async fn show_suspects(args: &SuspectsArgs, json: bool) -> eyre::Result<ExitKind> {
    let mut nodes: Vec<SocketAddr> = Vec::new();
    for text in &args.at {
        let parsed = text.parse();
        nodes
            .push(parsed.map_err(|_parse| eyre!("at: {text:?} is not an IP address with a port"))?);
    }
    let Some(first) = nodes.first() else {
        bail!("at: give the metrics address of a node");
    };
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    if let Some(release) = &args.release {
        let part: PartKey = release.parse().map_err(|error| eyre!("release: {error}"))?;
        let released = call(client.post(format!("http://{first}/suspects/release/{part}"))).await;
        match released {
            Ok(body) => println!("{body}"),
            Err(error) => {
                eprintln!("samphirectl: {first}: {error}");
                return Ok(ExitKind::Unreachable);
            }
        }
    }
    let mut table = new_table(&FIELDS);
    let mut kind = ExitKind::Success;
    for node in &nodes {
        let body = match call(client.get(format!("http://{node}/suspects"))).await {
            Ok(body) => body,
            Err(error) => {
                eprintln!("samphirectl: {node}: {error}");
                kind = ExitKind::Unreachable;
                continue;
            }
        };
        if json {
            println!("{body}");
        }
        for part in body["parts"].as_array().unwrap_or(&Vec::new()) {
            let mut row = part.clone();
            row["node"] = json!(body["node"]);
            add_row_of_fields(&mut table, &row, &FIELDS);
        }
    }
    if !json {
        println!("{}", format_table(&table));
    }
    Ok(kind)
}

/// Sends a request and reads the JSON of its response.
async fn call(request: awc::ClientRequest) -> eyre::Result<Value> {
    let mut response = request.send().await.map_err(|error| eyre!("{error}"))?;
    let bytes = response.body().await?;
    let body: Value = serde_json::from_slice(&bytes)?;
    if !response.status().is_success() {
        bail!("{}: {}", response.status(), body["error"].as_str().unwrap_or_default());
    }
    Ok(body)
}
