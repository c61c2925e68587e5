//! Compares the reference pages with the code from which they are generated.
//!
//! `HOLLOWBARROW_WRITE_REFERENCE=1` writes the pages before the comparison.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use hollowbarrow_controller::CONTROLLER_METRICS;
use hollowbarrow_daemon::{error_catalogue, metric_catalogue};
use hollowbarrow_gateway::GATEWAY_METRICS;
use hollowbarrow_ingress::CLIENT_METRICS;
use rstest::rstest;
use serde_json::Value;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Compares a committed page with the generated one, after writing it if requested.
fn check_page(name: &str, rendered: &str) {
    let path = root().join("docs/reference").join(name);
    if std::env::var_os("HOLLOWBARROW_WRITE_REFERENCE").is_some() {
        std::fs::write(&path, rendered).expect("the page is writable");
    }
    let committed = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(committed, rendered, "{name} is out of date, see CONTRIBUTING.md");
}

fn describe_type(rule: &Value) -> String {
    let reference = rule["$ref"].as_str().or_else(|| rule["allOf"][0]["$ref"].as_str());
    if let Some(reference) = reference {
        return reference.trim_start_matches("#/definitions/").to_owned();
    }
    match &rule["type"] {
        Value::String(kind) if kind == "array" => {
            format!("list of {}", describe_type(&rule["items"]))
        }
        Value::String(kind) => kind.clone(),
        Value::Array(kinds) => {
            kinds.iter().filter_map(Value::as_str).collect::<Vec<_>>().join(" or ")
        }
        _ => "object".to_owned(),
    }
}

#[rstest]
fn reference_settings() {
    let schema: Value =
        serde_json::from_str(hollowbarrow_schema::SCHEMA_TEXT).expect("the schema is JSON");
    let mut page =
        "# Settings\n\nGenerated from the schema. Required fields have no default.\n".to_owned();
    for name in [
        "Settings",
        "MemberSettings",
        "PeerSettings",
        "OrganisationSettings",
        "OperatorSettings",
        "KeySettings",
        "RouteSettings",
        "TimingSettings",
        "LimitSettings",
        "GroupSpec",
        "EndpointSpec",
        "Selector",
        "SelectorExpression",
    ] {
        let definition = &schema["definitions"][name];
        let description = definition["description"].as_str().unwrap_or_default();
        let _ = write!(
            page,
            "\n## {name}\n\n{description}\n\n| field | type | default | meaning |\n|---|---|---|---|\n"
        );
        for (field, rule) in definition["properties"].as_object().into_iter().flatten() {
            let default = rule.get("default").map(|value| format!("`{value}`")).unwrap_or_default();
            let meaning = rule["description"].as_str().unwrap_or_default();
            let _ =
                writeln!(page, "| `{field}` | {} | {default} | {meaning} |", describe_type(rule));
        }
    }
    check_page("settings.md", &page);
}

#[rstest]
fn reference_metrics() {
    let mut page = "# Metrics\n\nGenerated from the code. `GET /metrics` of the operators' interface; \
                    each name begins with `hollowbarrow_`.\n\n| metric | unit | meaning |\n|---|---|---|\n"
        .to_owned();
    for (name, unit, meaning) in metric_catalogue() {
        let _ = writeln!(page, "| `{name}` | {unit} | {meaning} |");
    }
    page.push_str(
        "\n## Gateways and controllers\n\n`GET /metrics` of the address that the setting `metrics` names.\n\n\
         | metric | unit | meaning |\n|---|---|---|\n",
    );
    for (name, unit, meaning) in GATEWAY_METRICS.iter().chain(CONTROLLER_METRICS) {
        let _ = writeln!(page, "| `{name}` | {unit} | {meaning} |");
    }
    page.push_str("\n## Every process\n\n| metric | unit | meaning |\n|---|---|---|\n");
    for (name, unit, meaning) in CLIENT_METRICS {
        let _ = writeln!(page, "| `{name}` | {unit} | {meaning} |");
    }
    check_page("metrics.md", &page);
}

#[rstest]
fn reference_errors() {
    let mut page = "# Errors that callers can be told\n\nGenerated from the code.\n\n\
                    | code | status | meaning |\n|---|---|---|\n"
        .to_owned();
    for (name, status, meaning) in error_catalogue() {
        let _ = writeln!(page, "| `{name}` | {status} | {meaning} |");
    }
    check_page("errors.md", &page);
}

fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the sources are readable") {
        let path = entry.expect("the sources are readable").path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the event and the other keys of the format string of a log line.
fn parse_fields(line: &str) -> (String, Vec<String>) {
    let mut pairs = line.split([' ', '"']).filter_map(|pair| pair.split_once('='));
    let event = pairs.next().map(|(_, name)| name.to_owned()).unwrap_or_default();
    (event, pairs.map(|(key, _)| key.to_owned()).collect())
}

#[rstest]
fn reference_events() {
    let mut files = Vec::new();
    for name in
        ["controller", "daemon", "fleet", "gateway", "log", "member", "peer", "telemetry", "zone"]
    {
        rust_files(&root().join("crates").join(name).join("src"), &mut files);
    }
    let mut events: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for file in files {
        let text =
            std::fs::read_to_string(file).expect("the sources are readable").replace("\\\n", "");
        for fragment in text.split("\"event=").skip(1) {
            let line = format!("event={}", fragment.split('"').next().unwrap_or_default());
            let (event, fields) = parse_fields(&line);
            // Some events are logged in several places with different fields.
            let known = events.entry(event).or_default();
            known.extend(
                fields.into_iter().filter(|field| !known.contains(field)).collect::<Vec<_>>(),
            );
        }
    }
    let mut page = "# Log events\n\nGenerated from the code. One line an event; each begins with \
                    `time`, `level` and `event`.\n\n| event | further fields |\n|---|---|\n"
        .to_owned();
    for (event, fields) in events {
        let fields: Vec<String> = fields.iter().map(|field| format!("`{field}`")).collect();
        let _ = writeln!(page, "| `{event}` | {} |", fields.join(", "));
    }
    check_page("events.md", &page);
}
