//! Matches selectors against the labels of a node.

use crate::{FieldFault, Labels, Selector, SelectorExpression, SelectorOperator};

impl Selector {
    /// Returns whether the labels satisfy every condition; a selector without conditions matches
    /// all labels.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.failing_condition(labels).is_none()
    }

    /// Describes the first condition that the labels do not satisfy, for explanations to operators.
    pub fn failing_condition(&self, labels: &Labels) -> Option<String> {
        for (key, expected) in self.match_labels.iter() {
            match labels.get(key) {
                Some(found) if found == expected => {}
                Some(found) => return Some(format!("label {key} is {found}, not {expected}")),
                None => return Some(format!("label {key} is missing, wanted {expected}")),
            }
        }
        self.expressions.iter().find_map(|expression| expression.failure(labels))
    }

    /// Returns a fault for each expression whose values do not fit its operator.
    pub fn faults(&self, field: &str) -> Vec<FieldFault> {
        let mut faults = Vec::new();
        for (index, expression) in self.expressions.iter().enumerate() {
            let needs_values =
                matches!(expression.operator, SelectorOperator::In | SelectorOperator::NotIn);
            if needs_values == expression.values.is_empty() {
                let allowed =
                    if needs_values { "at least one value" } else { "no values for this operator" };
                faults.push(FieldFault {
                    field: format!("{field}.expressions[{index}].values"),
                    line: None,
                    found: format!("{} values", expression.values.len()),
                    allowed: allowed.to_owned(),
                });
            }
        }
        faults
    }
}

impl SelectorExpression {
    fn failure(&self, labels: &Labels) -> Option<String> {
        let key = &self.key;
        let found = labels.get(key);
        match (self.operator, found) {
            (SelectorOperator::In, Some(value)) if self.values.contains(value) => None,
            (SelectorOperator::In, Some(value)) => {
                Some(format!("label {key} is {value}, not in {:?}", self.values))
            }
            (SelectorOperator::In, None) => Some(format!("label {key} is missing")),
            (SelectorOperator::NotIn, Some(value)) if self.values.contains(value) => {
                Some(format!("label {key} is {value}, excluded by {:?}", self.values))
            }
            (SelectorOperator::NotIn, _) => None,
            (SelectorOperator::Exists, Some(_)) => None,
            (SelectorOperator::Exists, None) => Some(format!("label {key} is missing")),
            (SelectorOperator::NotExists, None) => None,
            (SelectorOperator::NotExists, Some(value)) => {
                Some(format!("label {key} is set to {value}, must not be set"))
            }
        }
    }
}
