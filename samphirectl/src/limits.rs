//! Limits that upstreams have named, as forwarding nodes know them.

use crate::{
    cli::LimitsArgs,
    node_table::{NodeTable, new_client, parse_addresses, show_table},
    statement::ExitKind,
};

const LIMITS_TABLE: NodeTable = NodeTable {
    path: "/limits",
    rows: "limits",
    fields: &["node", "upstream", "pool", "rate", "node_rate", "stated_ms", "next_ms"],
};

/// Prints the limits in force at each node.
///
/// # Errors
///
/// Returns an error that names the argument that is invalid.
pub async fn show_limits(args: &LimitsArgs, json: bool) -> eyre::Result<ExitKind> {
    let nodes = parse_addresses(&args.at)?;
    Ok(show_table(&new_client(), &nodes, &LIMITS_TABLE, json).await)
}
