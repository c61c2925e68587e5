//! Prints results as tables or as JSON.

use comfy_table::{Table, presets};
use serde_json::Value;

/// Prints rows of JSON objects as a table of the fields in `columns`, or with all fields as JSON.
pub(crate) fn print_rows(rows: &Value, columns: &[(&str, &str)], json: bool) {
    if json {
        print_json(rows);
        return;
    }
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(columns.iter().map(|(title, _)| title.to_uppercase()));
    for row in rows.as_array().into_iter().flatten() {
        table.add_row(columns.iter().map(|(_, pointer)| to_cell(row.pointer(pointer))));
    }
    println!("{table}");
}

/// Prints a value as JSON.
pub(crate) fn print_json(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn to_cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Object(fields)) => fields
            .iter()
            .map(|(key, value)| format!("{key}={}", to_cell(Some(value))))
            .collect::<Vec<_>>()
            .join(","),
        Some(Value::Array(values)) => {
            values.iter().map(|value| to_cell(Some(value))).collect::<Vec<_>>().join(",")
        }
        Some(other) => other.to_string(),
    }
}
