//! Rows that queries show, from the state of all nodes.

use samphiredeck_core::burn_rate::{BurnRateRow, merge_burn_rates};
use serde_json::{Value, json};

/// Collects the items of the list `field` of all nodes, each with the name of its node.
pub fn collect_rows(cluster: &Value, field: &str) -> Vec<Value> {
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

/// Keeps the rows whose fields have the wanted values. Fields without a wanted value match any row.
pub fn filter_rows(rows: Vec<Value>, wanted: &[(&str, &Option<String>)]) -> Vec<Value> {
    let matches = |row: &Value| {
        wanted.iter().all(|(field, value)| {
            value.as_ref().is_none_or(|value| row[*field].as_str() == Some(value))
        })
    };
    rows.into_iter().filter(matches).collect()
}

/// Merges the rows that several nodes have of one upstream. The requests in flight are added up,
/// all other fields but the state are those of the first row.
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
        // Nodes learn of a change at different times, so the most cautious state is shown: any state
        // other than accepting wins.
        if row["state"] != "accepting" {
            known["state"] = row["state"].clone();
        }
    }
    merged.sort_by_key(|row| row["id"].as_str().unwrap_or_default().to_owned());
    merged
}

/// Merges the error budget burn of all nodes by workspace and class.
pub fn collect_burn(cluster: &Value) -> Vec<BurnRateRow> {
    let nodes = cluster["nodes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let rows = nodes.iter().map(|node| {
        // A node of another release may show rows of another form. They are left out.
        serde_json::from_value(node["burn"].clone()).unwrap_or_default()
    });
    merge_burn_rates(&rows.collect::<Vec<Vec<BurnRateRow>>>())
}
