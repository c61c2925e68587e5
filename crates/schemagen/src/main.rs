//! Generates `crates/schema/src/generated.rs` from `schema/hollowbarrow.json`.
//!
//! The output is committed, so that building the product does not need this
//! tool. With `--check` it compares the committed file with the output instead
//! of writing it, and exits with a failure if the file is out of date.

use std::path::Path;
use std::process::ExitCode;

use serde_json::Value;

const SCHEMA: &str = "schema/hollowbarrow.json";
const OUTPUT: &str = "crates/schema/src/generated.rs";
const HEADER: &str = "// Generated from schema/hollowbarrow.json by hollowbarrow-schemagen. \
                      Do not edit.\n\n";

/// Types that contain floating-point numbers and therefore cannot implement `Eq`.
const WITHOUT_EQ: &[&str] =
    &["OrganisationUse", "ObserverDigest", "PeerMessage", "OrganisationSettings", "Settings"];

fn main() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = std::fs::read_to_string(root.join(SCHEMA)).expect("the schema is readable");
    let rendered = render_types(&text);
    if std::env::args().any(|argument| argument == "--check") {
        let committed = std::fs::read_to_string(root.join(OUTPUT)).unwrap_or_default();
        if committed != rendered {
            eprintln!("{OUTPUT} is out of date; run cargo run -p hollowbarrow-schemagen");
            return ExitCode::FAILURE;
        }
        println!("{OUTPUT} matches the schema");
    } else {
        std::fs::write(root.join(OUTPUT), rendered).expect("the output is writable");
    }
    ExitCode::SUCCESS
}

/// Renders all definitions of the schema as formatted Rust.
fn render_types(text: &str) -> String {
    let mut document: Value = serde_json::from_str(text).expect("the schema is JSON");
    let definitions = document["definitions"].clone();
    prepare_schema(&mut document, &definitions);
    let schema: schemars::schema::RootSchema =
        serde_json::from_value(document).expect("the schema is JSON Schema");
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_map_type("::std::collections::BTreeMap".to_string());
    let names: Vec<String> = schema.definitions.keys().cloned().collect();
    for name in names.iter().filter(|name| !WITHOUT_EQ.contains(&name.as_str())) {
        let mut patch = typify::TypeSpacePatch::default();
        patch.with_derive("PartialEq");
        patch.with_derive("Eq");
        let definition = &schema.definitions[name];
        let integer = matches!(definition, schemars::schema::Schema::Object(object)
            if object.format.as_deref() == Some("uint64"));
        if integer {
            for derive in ["Copy", "Default", "Hash", "Ord", "PartialOrd"] {
                patch.with_derive(derive);
            }
        }
        settings.with_patch(name, &patch);
    }
    let mut space = typify::TypeSpace::new(&settings);
    space.add_ref_types(schema.definitions).expect("the definitions convert");
    let file = syn::parse2::<syn::File>(space.to_stream()).expect("the output parses");
    format!("{HEADER}{}", strip_schema_copies(&prettyplease::unparse(&file)))
}

/// Prepares the schema for the generator.
///
/// A default of `{}` is expanded to all properties, because the generator would
/// set the missing fields to zero. A minimum of 1 becomes 0, so that the
/// generator emits plain integers; the validation of settings enforces it.
fn prepare_schema(schema: &mut Value, definitions: &Value) {
    match schema {
        Value::Object(fields) => {
            if fields.get("minimum").and_then(Value::as_u64) == Some(1) {
                fields.insert("minimum".to_owned(), Value::from(0));
            }
            let target = fields.get("allOf").and_then(|members| members[0]["$ref"].as_str());
            if let (Some(target), Some(Value::Object(default))) = (target, fields.get("default"))
                && default.is_empty()
            {
                let expanded = expand_default(target, definitions);
                fields.insert("default".to_owned(), expanded);
            }
            fields.values_mut().for_each(|value| prepare_schema(value, definitions));
        }
        Value::Array(values) => {
            values.iter_mut().for_each(|value| prepare_schema(value, definitions));
        }
        _ => {}
    }
}

/// Returns the default of an object definition with all its properties.
fn expand_default(reference: &str, definitions: &Value) -> Value {
    let definition = &definitions[reference.trim_start_matches("#/definitions/")];
    let mut expanded = serde_json::Map::new();
    for (name, property) in definition["properties"].as_object().into_iter().flatten() {
        let target = property["allOf"][0]["$ref"].as_str();
        let value = match (target, property.get("default")) {
            (Some(target), Some(Value::Object(default))) if default.is_empty() => {
                expand_default(target, definitions)
            }
            (_, Some(default)) => default.clone(),
            (_, None) => continue,
        };
        expanded.insert(name.clone(), value);
    }
    Value::Object(expanded)
}

/// Removes the copies of the schema that the generator puts into doc comments.
fn strip_schema_copies(rendered: &str) -> String {
    let mut in_details = false;
    let mut output = String::with_capacity(rendered.len());
    for line in rendered.lines() {
        let comment = line.trim_start();
        if comment.starts_with("///") && comment.contains("<details>") {
            in_details = true;
        }
        if !in_details {
            output.push_str(line);
            output.push('\n');
        }
        if comment.starts_with("///") && comment.contains("</details>") {
            in_details = false;
        }
    }
    output
}
