//! Plain-text tables.

use comfy_table::{Cell, ContentArrangement, Table, presets::NOTHING};
use serde_json::Value;

/// Builds an empty table with the column names `header`, shown in upper case.
pub fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header.iter().map(|name| Cell::new(name.to_uppercase())));
    table
}

/// Formats a JSON value as the text of a cell.
pub fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Adds a row with the named fields of `value`.
pub fn add_row_of_fields(table: &mut Table, value: &Value, fields: &[&str]) {
    table.add_row(fields.iter().map(|field| format_cell(&value[*field])));
}

/// Formats a table without trailing spaces.
pub fn format_table(table: &Table) -> String {
    let text = table.to_string();
    text.lines().map(str::trim_end).collect::<Vec<_>>().join("\n")
}
