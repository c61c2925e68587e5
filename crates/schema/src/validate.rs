//! Validates JSON with comments against a definition of the schema.
//!
//! Unlike deserialization, validation does not stop at the first fault: it
//! collects every fault with its line, the field's path, the value found and
//! the allowed values. It supports the keywords that
//! `schema/hollowbarrow.json` uses.

use jsonc_parser::ast::Value as Node;
use jsonc_parser::common::Ranged;
use serde_json::Value;

use crate::{FieldFault, SCHEMA_TEXT};

/// Collects the faults of a parsed text against the named definition.
pub(crate) fn find_faults(text: &str, node: &Node, definition: &str) -> Vec<FieldFault> {
    let schema: Value = serde_json::from_str(SCHEMA_TEXT).expect("the embedded schema is JSON");
    let mut validator = SchemaValidator { text, schema: &schema, faults: Vec::new() };
    let root = validator.definition(definition);
    validator.check_value(node, root, "");
    validator.faults
}

/// Returns the line of a byte offset, counted from 1.
pub(crate) fn line_at(text: &str, offset: usize) -> u32 {
    let newlines = text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n');
    u32::try_from(newlines.count() + 1).unwrap_or(u32::MAX)
}

struct SchemaValidator<'a> {
    text: &'a str,
    schema: &'a Value,
    faults: Vec<FieldFault>,
}

impl<'a> SchemaValidator<'a> {
    fn definition(&self, name: &str) -> &'a Value {
        &self.schema["definitions"][name]
    }

    /// Follows references and single-member `allOf` rules, which the schema uses for fields with a
    /// default.
    fn resolve(&self, mut rule: &'a Value) -> &'a Value {
        loop {
            if let Some(reference) = rule["$ref"].as_str() {
                rule = self.definition(reference.trim_start_matches("#/definitions/"));
            } else if let Some(member) = rule["allOf"].get(0) {
                rule = member;
            } else {
                return rule;
            }
        }
    }

    fn report(&mut self, node: &Node, field: &str, found: String, allowed: String) {
        let line = Some(line_at(self.text, node.range().start));
        let field = if field.is_empty() { "(top)".to_owned() } else { field.to_owned() };
        self.faults.push(FieldFault { field, line, found, allowed });
    }

    fn check_value(&mut self, node: &Node, rule: &'a Value, field: &str) {
        let rule = self.resolve(rule);
        if let Some(choices) = rule["anyOf"].as_array() {
            return self.check_nullable(node, choices, field);
        }
        if let Some(choices) = rule["oneOf"].as_array() {
            return self.check_tagged(node, choices, field);
        }
        let (kind, nullable) = allowed_kind(rule);
        if nullable && matches!(node, Node::NullKeyword(_)) {
            return;
        }
        match (kind, node) {
            ("object", Node::Object(object)) => self.check_object(node, object, rule, field),
            ("array", Node::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.check_value(element, &rule["items"], &format!("{field}[{index}]"));
                }
            }
            ("string", Node::StringLit(text)) => self.check_text(node, &text.value, rule, field),
            ("integer" | "number", Node::NumberLit(number)) => {
                self.check_number(node, number.value, kind, rule, field);
            }
            ("boolean", Node::BooleanLit(_)) => {}
            _ => self.report(node, field, describe(node), kind.to_owned()),
        }
    }

    fn check_nullable(&mut self, node: &Node, choices: &'a [Value], field: &str) {
        if matches!(node, Node::NullKeyword(_)) {
            return;
        }
        let value = choices.iter().find(|choice| choice["type"] != "null");
        if let Some(value) = value {
            self.check_value(node, value, field);
        }
    }

    fn check_tagged(&mut self, node: &Node, choices: &'a [Value], field: &str) {
        let tag = match node {
            Node::Object(object) if object.properties.len() == 1 => {
                object.properties[0].name.as_str()
            }
            Node::StringLit(text) => &text.value,
            _ => "",
        };
        let chosen = choices.iter().find(|choice| {
            choice["properties"].get(tag).is_some()
                || choice["enum"].as_array().is_some_and(|names| names.iter().any(|n| n == tag))
        });
        match chosen {
            Some(choice) => self.check_value(node, choice, field),
            None => {
                let tags: Vec<String> = choices.iter().flat_map(choice_tags).collect();
                self.report(node, field, describe(node), format!("one of {}", tags.join(", ")));
            }
        }
    }

    fn check_object(
        &mut self,
        node: &Node,
        object: &jsonc_parser::ast::Object,
        rule: &'a Value,
        field: &str,
    ) {
        let known = rule["properties"].as_object();
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = if field.is_empty() { name.to_owned() } else { format!("{field}.{name}") };
            if seen.contains(&name) {
                let allowed = "each field once".to_owned();
                self.report(&property.value, &path, "a second value".to_owned(), allowed);
            }
            seen.push(name);
            match known.and_then(|known| known.get(name)) {
                Some(rule) => self.check_value(&property.value, rule, &path),
                None if rule["additionalProperties"].is_object() => {
                    self.check_value(&property.value, &rule["additionalProperties"], &path);
                }
                None => {
                    let names: Vec<&str> =
                        known.into_iter().flatten().map(|(name, _)| name.as_str()).collect();
                    let allowed = format!("one of {}", names.join(", "));
                    self.report(&property.value, &path, "an unknown field".to_owned(), allowed);
                }
            }
        }
        for required in rule["required"].as_array().into_iter().flatten() {
            let name = required.as_str().unwrap_or_default();
            if !seen.contains(&name) {
                let path =
                    if field.is_empty() { name.to_owned() } else { format!("{field}.{name}") };
                self.report(
                    node,
                    &path,
                    "nothing".to_owned(),
                    "a value; it is required".to_owned(),
                );
            }
        }
    }

    fn check_text(&mut self, node: &Node, text: &str, rule: &Value, field: &str) {
        let Some(choices) = rule["enum"].as_array() else { return };
        if !choices.iter().any(|choice| choice == text) {
            let names: Vec<&str> = choices.iter().filter_map(Value::as_str).collect();
            self.report(node, field, format!("{text:?}"), format!("one of {}", names.join(", ")));
        }
    }

    fn check_number(&mut self, node: &Node, digits: &str, kind: &str, rule: &Value, field: &str) {
        let value: f64 = digits.parse().unwrap_or(f64::NAN);
        let minimum = rule["minimum"].as_f64().unwrap_or(f64::MIN);
        let limit = match rule["format"].as_str() {
            Some("uint8") => f64::from(u8::MAX),
            Some("uint16") => f64::from(u16::MAX),
            Some("uint32") => f64::from(u32::MAX),
            _ => 9_007_199_254_740_992.0,
        };
        let maximum = rule["maximum"].as_f64().unwrap_or(limit);
        let fits_kind = kind != "integer" || digits.parse::<u64>().is_ok();
        if !fits_kind || !(minimum..=maximum).contains(&value) {
            let name = if kind == "integer" { "a whole number" } else { "a number" };
            self.report(
                node,
                field,
                digits.to_owned(),
                format!("{name} from {minimum} to {maximum}"),
            );
        }
    }
}

fn allowed_kind(rule: &Value) -> (&str, bool) {
    match &rule["type"] {
        Value::String(kind) => (kind, false),
        Value::Array(kinds) => {
            let kind = kinds.iter().filter_map(Value::as_str).find(|kind| *kind != "null");
            (kind.unwrap_or("null"), kinds.iter().any(|kind| kind == "null"))
        }
        _ => ("object", false),
    }
}

fn choice_tags(choice: &Value) -> Vec<String> {
    let properties = choice["properties"].as_object().into_iter().flatten().map(|(name, _)| name);
    let names = choice["enum"].as_array().into_iter().flatten().filter_map(Value::as_str);
    properties.cloned().chain(names.map(str::to_owned)).collect()
}

fn describe(node: &Node) -> String {
    match node {
        Node::StringLit(text) => format!("the text {:?}", text.value),
        Node::NumberLit(number) => format!("the number {}", number.value),
        Node::BooleanLit(boolean) => format!("{}", boolean.value),
        Node::Object(_) => "an object".to_owned(),
        Node::Array(_) => "an array".to_owned(),
        Node::NullKeyword(_) => "null".to_owned(),
    }
}
