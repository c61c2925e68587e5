//! Reads and checks settings and the documents of operators.
//!
//! Both are JSON with comments. All faults of a text are reported at once.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::validate::{find_faults, line_at};
use crate::{DaemonId, FieldFault, GroupSpec, KeySettings, SelectorExpression, Settings, keys};

/// Maximum number of nodes in a replica.
pub const MAX_REPLICA_SIZE: u32 = 32;

/// Faults of a text.
#[derive(Debug, Error)]
#[error("{} in {origin}", count_faults(faults))]
pub struct ReadSettingsError {
    /// Name of the file or field that contains the text.
    pub origin: String,
    /// All faults, at least one.
    pub faults: Vec<FieldFault>,
}

fn count_faults(faults: &[FieldFault]) -> String {
    if faults.len() == 1 { "1 fault".to_owned() } else { format!("{} faults", faults.len()) }
}

impl std::fmt::Display for FieldFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        write!(formatter, "{}: found {}, allowed: {}", self.field, self.found, self.allowed)
    }
}

/// Reads the settings of a daemon.
///
/// # Errors
///
/// Returns all faults of syntax and schema or, if there are none, all faults
/// that [`check_settings`] finds.
pub fn read_settings(origin: &str, text: &str) -> Result<Settings, ReadSettingsError> {
    let settings: Settings = read_document(origin, text, "Settings")?;
    let mut faults = check_settings(&settings);
    for fault in &mut faults {
        fault.line = find_line(text, &fault.field);
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(ReadSettingsError { origin: origin.to_owned(), faults })
    }
}

/// Reads JSON with comments as the named definition of the schema.
///
/// # Errors
///
/// Returns all faults of syntax and schema.
pub fn read_document<T: DeserializeOwned>(
    origin: &str,
    text: &str,
    definition: &str,
) -> Result<T, ReadSettingsError> {
    let fail = |faults| ReadSettingsError { origin: origin.to_owned(), faults };
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
            .map_err(|error| {
                fail(vec![FieldFault {
                    field: "(syntax)".to_owned(),
                    line: Some(line_at(text, error.range().start)),
                    found: error.kind().to_string(),
                    allowed: "JSON with comments".to_owned(),
                }])
            })?;
    let Some(node) = parsed.value else {
        return Err(fail(vec![FieldFault {
            field: "(top)".to_owned(),
            line: Some(1),
            found: "an empty text".to_owned(),
            allowed: "a JSON object".to_owned(),
        }]));
    };
    let faults = find_faults(text, &node, definition);
    if !faults.is_empty() {
        return Err(fail(faults));
    }
    jsonc_parser::parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
        fail(vec![FieldFault {
            field: "(top)".to_owned(),
            line: Some(1),
            found: error.to_string(),
            allowed: format!("what the schema says of {definition}"),
        }])
    })
}

/// Returns the line of the field with the given path, or of its innermost existing parent.
fn find_line(text: &str, field: &str) -> Option<u32> {
    let ast =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let mut node = ast.ok()?.value?;
    let mut start = node.range().start;
    let steps = field.replace('[', ".[");
    for step in steps.split('.').filter(|step| !step.is_empty()) {
        let next = if let Some(index) = step.strip_prefix('[') {
            let index: usize = index.trim_end_matches(']').parse().ok()?;
            match node {
                jsonc_parser::ast::Value::Array(array) => array.elements.into_iter().nth(index),
                _ => None,
            }
        } else {
            match node {
                jsonc_parser::ast::Value::Object(object) => object
                    .properties
                    .into_iter()
                    .find(|property| property.name.as_str() == step)
                    .map(|property| property.value),
                _ => None,
            }
        };
        let Some(next) = next else { break };
        start = next.range().start;
        node = next;
    }
    Some(line_at(text, start))
}

/// Returns the faults that the keywords of the schema cannot express.
pub fn check_settings(settings: &Settings) -> Vec<FieldFault> {
    let mut checker = SettingsChecker { faults: Vec::new() };
    checker.check_addresses(settings);
    checker.check_peers(settings);
    checker.check_times(settings);
    checker.check_principals(settings);
    checker.check_routes(settings);
    checker.faults.extend(settings.managed.faults("managed"));
    checker.faults
}

/// Returns the faults of a group that an operator requests.
pub fn check_group(spec: &GroupSpec) -> Vec<FieldFault> {
    let mut checker = SettingsChecker { faults: Vec::new() };
    checker.check_name("name", &spec.name);
    checker.check_name("model", &spec.model);
    checker.check_name("version", &spec.version);
    if !(1..=MAX_REPLICA_SIZE).contains(&spec.size) {
        let allowed = format!("1 to {MAX_REPLICA_SIZE} nodes");
        checker.fault("size", spec.size.to_string(), &allowed);
    }
    checker.faults.extend(spec.selector.faults("selector"));
    checker.faults
}

struct SettingsChecker {
    faults: Vec<FieldFault>,
}

impl SettingsChecker {
    fn fault(&mut self, field: &str, found: String, allowed: &str) {
        self.faults.push(FieldFault {
            field: field.to_owned(),
            line: None,
            found,
            allowed: allowed.to_owned(),
        });
    }

    fn check_name(&mut self, field: &str, name: &str) {
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
        if name.is_empty() || name.len() > 128 || !name.chars().all(fits) {
            let allowed = "1 to 128 letters, digits and -_./:";
            self.fault(field, format!("{name:?}"), allowed);
        }
    }

    fn check_address(&mut self, field: &str, address: &str) {
        if address.parse::<SocketAddr>().is_err() {
            self.fault(field, format!("{address:?}"), "an IP number and port, as 10.0.0.1:8080");
        }
    }

    fn check_addresses(&mut self, settings: &Settings) {
        self.check_address("listen", &settings.listen);
        self.check_address("operator_listen", &settings.operator_listen);
        self.check_address("peer_listen", &settings.peer_listen);
        if !settings.platform.starts_with("http://") {
            self.fault(
                "platform",
                format!("{:?}", settings.platform),
                "a URL that starts with http://",
            );
        }
    }

    fn check_peers(&mut self, settings: &Settings) {
        let mut seen: BTreeSet<&DaemonId> = BTreeSet::new();
        for (index, peer) in settings.peers.iter().enumerate() {
            self.check_name(&format!("peers[{index}].id"), &peer.id);
            self.check_address(&format!("peers[{index}].address"), &peer.address);
            if !seen.insert(&peer.id) {
                let found = format!("{:?} a second time", *peer.id);
                self.fault(&format!("peers[{index}].id"), found, "each daemon once");
            }
        }
        let local = settings.peers.iter().find(|peer| peer.id == settings.id);
        match local {
            None => self.fault("id", format!("{:?}", *settings.id), "the id of one of the peers"),
            Some(local) if local.zone != settings.zone => {
                let allowed = format!("{:?}, as its entry in peers says", *local.zone);
                self.fault("zone", format!("{:?}", *settings.zone), &allowed);
            }
            Some(local) if local.voter && settings.data.is_none() => {
                self.fault("data", "nothing".to_owned(), "a folder; this daemon is a voter");
            }
            Some(_) => {}
        }
        let voters = settings.peers.iter().filter(|peer| peer.voter).count();
        if voters % 2 == 0 {
            self.fault("peers", format!("{voters} voters"), "an odd number of voters");
        }
        if settings.cluster_keys.is_empty() {
            self.fault("cluster_keys", "no key".to_owned(), "one key or, while changing it, two");
        }
        for (index, key) in settings.cluster_keys.iter().enumerate() {
            if key.len() < 16 {
                let found = format!("{} characters", key.len());
                self.fault(&format!("cluster_keys[{index}]"), found, "at least 16 characters");
            }
        }
    }

    fn check_times(&mut self, settings: &Settings) {
        let timing = &settings.timing;
        if timing.lease_ms < 2 * timing.probe_ms {
            let allowed = format!("at least twice probe_ms, {}", 2 * timing.probe_ms);
            self.fault("timing.lease_ms", timing.lease_ms.to_string(), &allowed);
        }
        if timing.lease_ms < 2 * timing.digest_ms {
            let allowed = format!("at most half of lease_ms, {}", timing.lease_ms / 2);
            self.fault("timing.digest_ms", timing.digest_ms.to_string(), &allowed);
        }
    }

    fn check_keys(&mut self, field: &str, keys: &[KeySettings]) {
        for (index, key) in keys.iter().enumerate() {
            if keys::decode_digest(&key.sha256).is_none() {
                let found = format!("{} characters", key.sha256.len());
                let field = format!("{field}.keys[{index}].sha256");
                self.fault(&field, found, "64 hexadecimal digits; `hash-key` makes them");
            }
        }
    }

    fn check_principals(&mut self, settings: &Settings) {
        let mut seen = BTreeSet::new();
        for (index, organisation) in settings.organisations.iter().enumerate() {
            let field = format!("organisations[{index}]");
            self.check_name(&format!("{field}.id"), &organisation.id);
            self.check_keys(&field, &organisation.keys);
            if !seen.insert(&organisation.id) {
                let found = format!("{:?} a second time", *organisation.id);
                self.fault(&format!("{field}.id"), found, "each organisation once");
            }
        }
        for (index, operator) in settings.operators.iter().enumerate() {
            self.check_keys(&format!("operators[{index}]"), &operator.keys);
        }
    }

    fn check_routes(&mut self, settings: &Settings) {
        for (index, route) in settings.routes.iter().enumerate() {
            let field = format!("routes[{index}]");
            if !route.path.starts_with('/') || route.path.starts_with("/v1/") {
                let allowed = "a path that starts with / and is not below /v1/";
                self.fault(&format!("{field}.path"), format!("{:?}", route.path), allowed);
            }
            if route.not_repeatable && route.hedge_ms.is_some() {
                let allowed = "none, since the route is not repeatable";
                self.fault(&format!("{field}.hedge_ms"), "a number".to_owned(), allowed);
            }
        }
    }
}

/// Parses a condition of the form `key in (a,b)`, `key notin (a,b)`, `key`, `!key` or `key=value`.
///
/// # Errors
///
/// Returns a fault if the text has none of these forms.
pub fn parse_condition(text: &str) -> Result<SelectorExpression, FieldFault> {
    use crate::SelectorOperator::{Exists, In, NotExists, NotIn};
    let text = text.trim();
    let list = |values: &str| -> Option<Vec<String>> {
        let inner = values.trim().strip_prefix('(')?.strip_suffix(')')?;
        Some(inner.split(',').map(|value| value.trim().to_owned()).collect())
    };
    let expression = |key: &str, operator, values| SelectorExpression {
        key: key.trim().to_owned(),
        operator,
        values,
    };
    let parsed = if let Some((key, values)) = text.split_once(" notin ") {
        list(values).map(|values| expression(key, NotIn, values))
    } else if let Some((key, values)) = text.split_once(" in ") {
        list(values).map(|values| expression(key, In, values))
    } else if let Some((key, value)) = text.split_once('=') {
        Some(expression(key, In, vec![value.trim().to_owned()]))
    } else if let Some(key) = text.strip_prefix('!') {
        Some(expression(key, NotExists, Vec::new()))
    } else {
        Some(expression(text, Exists, Vec::new()))
    };
    parsed.filter(|expression| !expression.key.is_empty()).ok_or_else(|| FieldFault {
        field: "selector".to_owned(),
        line: None,
        found: format!("{text:?}"),
        allowed: "key=value, key in (a,b), key notin (a,b), key or !key".to_owned(),
    })
}
