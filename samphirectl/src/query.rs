//! Rows that queries take out of what the nodes show.

use samphiredeck_core::burn_rate::{BurnRateRow, merge_burn_rates};
use serde_json::{Value, json};

/// Lists the items of `field` of all nodes, each with the node's name.
pub fn flatten(cluster: &Value, field: &str) -> Vec<Value> {
    let nodes = cluster["nodes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let mut rows = Vec::new();
    for node in nodes {
        for item in node[field].as_array().map(Vec::as_slice).unwrap_or_default() {
            let mut row = item.clone();
            row["node"] = node["node"].clone();
            rows.push(row);
        }
    }
    rows
}

/// Keeps the rows whose fields have the wanted values.
pub fn keep(rows: Vec<Value>, wanted: &[(&str, &Option<String>)]) -> Vec<Value> {
    let fits = |row: &Value| {
        wanted.iter().all(|(field, value)| {
            value.as_ref().is_none_or(|value| row[*field].as_str() == Some(value))
        })
    };
    rows.into_iter().filter(fits).collect()
}

/// Joins what the nodes see of each upstream: their requests add up, the newest load counts.
pub fn merge_upstreams(rows: Vec<Value>) -> Vec<Value> {
    let mut merged: Vec<Value> = Vec::new();
    for row in rows {
        let known = merged.iter_mut().find(|known| known["id"] == row["id"]);
        let Some(known) = known else {
            merged.push(row);
            continue;
        };
        let sum = known["in_flight"].as_u64().unwrap_or(0) + row["in_flight"].as_u64().unwrap_or(0);
        known["in_flight"] = json!(sum);
        // Nodes may learn of a change one after the other; the most cautious state is shown.
        if row["state"] != "accepting" {
            known["state"] = row["state"].clone();
        }
    }
    merged.sort_by_key(|row| row["id"].as_str().unwrap_or_default().to_owned());
    merged
}

/// Adds up the burn of all nodes by workspace and class.
pub fn collect_burn(cluster: &Value) -> Vec<BurnRateRow> {
    let nodes = cluster["nodes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let rows = nodes.iter().map(|node| {
        // A node of another release may show rows that are not understood here.
        serde_json::from_value(node["burn"].clone()).unwrap_or_default()
    });
    merge_burn_rates(&rows.collect::<Vec<Vec<BurnRateRow>>>())
}
