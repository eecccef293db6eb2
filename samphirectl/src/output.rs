//! Tables for people.

use comfy_table::{Cell, ContentArrangement, Table, presets::NOTHING};
use serde_json::Value;

/// Builds a table with `header`.
pub fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header.iter().map(|name| Cell::new(name.to_uppercase())));
    table
}

/// Writes a JSON value as a cell.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Adds a row of the named fields of `value`.
pub fn add_fields(table: &mut Table, value: &Value, fields: &[&str]) {
    table.add_row(fields.iter().map(|field| cell(&value[*field])));
}

/// Writes a table without trailing blanks.
pub fn write_table(table: &Table) -> String {
    let text = table.to_string();
    text.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
}
