//! Tables that forwarding nodes show at their metrics addresses.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use eyre::{bail, eyre};
use serde_json::{Value, json};

use crate::{
    output::{add_row_of_fields, format_table, new_table},
    statement::ExitKind,
};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Table that each node shows.
#[derive(Clone, Copy, Debug)]
pub struct NodeTable {
    /// Path at the metrics address.
    pub path: &'static str,
    /// Field of the response that holds the rows.
    pub rows: &'static str,
    /// Fields of the rows, and `node`.
    pub fields: &'static [&'static str],
}

/// Creates the client for calls to metrics addresses.
pub fn new_client() -> Client {
    Client::builder().timeout(CALL_TIMEOUT).finish()
}

/// Parses the metrics addresses `texts`, of which there is at least one.
///
/// # Errors
///
/// Returns an error that names the argument that is invalid.
pub fn parse_addresses(texts: &[String]) -> eyre::Result<Vec<SocketAddr>> {
    if texts.is_empty() {
        bail!("at: give the metrics address of a node");
    }
    let parse = |text: &String| {
        let parsed = text.parse();
        parsed.map_err(|_parse| eyre!("at: {text:?} is not an IP address with a port"))
    };
    texts.iter().map(parse).collect()
}

/// Prints `table` of all `nodes`.
pub async fn show_table(
    client: &Client,
    nodes: &[SocketAddr],
    table: &NodeTable,
    json: bool,
) -> ExitKind {
    let mut rows = new_table(table.fields);
    let mut kind = ExitKind::Success;
    for node in nodes {
        let body = match call(client.get(format!("http://{node}{}", table.path))).await {
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
        for row in body[table.rows].as_array().unwrap_or(&Vec::new()) {
            let mut row = row.clone();
            row["node"] = json!(body["node"]);
            add_row_of_fields(&mut rows, &row, table.fields);
        }
    }
    if !json {
        println!("{}", format_table(&rows));
    }
    kind
}

/// Sends a request and reads the JSON of its response.
///
/// # Errors
///
/// Returns an error if there is no response, or if it is not a success.
pub async fn call(request: awc::ClientRequest) -> eyre::Result<Value> {
    let mut response = request.send().await.map_err(|error| eyre!("{error}"))?;
    let bytes = response.body().await?;
    let body: Value = serde_json::from_slice(&bytes)?;
    if !response.status().is_success() {
        bail!("{}: {}", response.status(), body["error"].as_str().unwrap_or_default());
    }
    Ok(body)
}
