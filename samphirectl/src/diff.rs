//! Difference between two declarations, entry by entry.

use std::fmt::{self, Display, Formatter};

use samphiredeck_core::declaration::RawDeclaration;
use serde::Serialize;
use serde_json::Value;

/// Kind of change of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryChange {
    /// The entry is new.
    Added,
    /// The entry is removed.
    Removed,
    /// The entry stays; these of its fields change.
    Changed(Vec<String>),
}

/// Change of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DiffRow {
    /// `workspace`, `model`, `service` or `setting`.
    pub kind: &'static str,
    /// Name of the entry.
    pub name: String,
    /// Kind of the change.
    pub change: EntryChange,
}

impl Display for DiffRow {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        match &self.change {
            EntryChange::Added => write!(f, "+ {kind} {name}"),
            EntryChange::Removed => write!(f, "- {kind} {name}"),
            EntryChange::Changed(fields) => write!(f, "~ {kind} {name}: {}", fields.join(", ")),
        }
    }
}

/// Lists the entries and settings that differ between `old` and `new`.
pub fn diff_declarations(old: &RawDeclaration, new: &RawDeclaration) -> Vec<DiffRow> {
    let (old, new) = (to_value(old), to_value(new));
    let mut rows = Vec::new();
    for (kind, list) in [("workspace", "workspaces"), ("model", "models"), ("service", "services")]
    {
        diff_lists(kind, &old[list], &new[list], &mut rows);
    }
    for field in ["fencing", "drained"] {
        if old[field] != new[field] {
            let change = EntryChange::Changed(vec![format!("{} -> {}", old[field], new[field])]);
            rows.push(DiffRow { kind: "setting", name: field.to_owned(), change });
        }
    }
    rows
}

fn to_value(declaration: &RawDeclaration) -> Value {
    serde_json::to_value(declaration).unwrap_or_default()
}

fn named_entries(list: &Value) -> Vec<(&str, &Value)> {
    let items = list.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().map(|item| (item["name"].as_str().unwrap_or_default(), item)).collect()
}

fn diff_lists(kind: &'static str, old: &Value, new: &Value, rows: &mut Vec<DiffRow>) {
    let (old, new) = (named_entries(old), named_entries(new));
    let find = |list: &[(&str, &Value)], name: &str| {
        list.iter().find(|(known, _)| *known == name).map(|(_, item)| (*item).clone())
    };
    for (name, item) in &new {
        let change = match find(&old, name) {
            None => EntryChange::Added,
            Some(before) if before == **item => continue,
            Some(before) => EntryChange::Changed(changed_fields(&before, item)),
        };
        rows.push(DiffRow { kind, name: (*name).to_owned(), change });
    }
    for (name, _) in &old {
        if find(&new, name).is_none() {
            let change = EntryChange::Removed;
            rows.push(DiffRow { kind, name: (*name).to_owned(), change });
        }
    }
}

fn changed_fields(old: &Value, new: &Value) -> Vec<String> {
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else { return Vec::new() };
    new.iter()
        .filter(|(field, value)| old.get(*field) != Some(*value))
        .map(|(field, value)| {
            let before = old.get(field).cloned().unwrap_or_default();
            // Key hashes are long and mean nothing to a reader.
            if field == "keys" { field.clone() } else { format!("{field} {before} -> {value}") }
        })
        .collect()
}
