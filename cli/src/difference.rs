//! Difference between two inventories, by name and not by line.

use std::collections::BTreeSet;

use primrosepin_core::inventory::Inventory;
use serde::Serialize;
use serde_json::Value;

/// One difference.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Place, such as `organisations.club-two.share`.
    pub path: String,
    /// Value in the first inventory; none if it is added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Value>,
    /// Value in the second inventory; none if it is removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<Value>,
}

/// Returns all differences, in the order of the keys.
pub fn between(from: &Inventory, to: &Inventory) -> Vec<Difference> {
    // Inventories hold only strings, numbers and lists, which always have a JSON form.
    let value = |inventory| serde_json::to_value(inventory).unwrap_or_default();
    let mut found = Vec::new();
    compare("", &value(from), &value(to), &mut found);
    found
}

/// Returns one line for each difference.
pub fn lines(differences: &[Difference]) -> Vec<String> {
    let line = |difference: &Difference| match (&difference.from, &difference.to) {
        (None, Some(to)) => format!("+ {}: {}", difference.path, shorten(to)),
        (Some(from), None) => format!("- {}: {}", difference.path, shorten(from)),
        (from, to) => format!(
            "~ {}: {} -> {}",
            difference.path,
            shorten(from.as_ref().unwrap_or(&Value::Null)),
            shorten(to.as_ref().unwrap_or(&Value::Null))
        ),
    };
    differences.iter().map(line).collect()
}

fn compare(path: &str, from: &Value, to: &Value, found: &mut Vec<Difference>) {
    let join = |step: &str| match path {
        "" => step.to_owned(),
        path => format!("{path}.{step}"),
    };
    match (from, to) {
        (Value::Object(left), Value::Object(right)) => {
            let keys: BTreeSet<&String> = left.keys().chain(right.keys()).collect();
            for key in keys {
                compare_item(&join(key), left.get(key), right.get(key), found);
            }
        }
        (Value::Array(left), Value::Array(right)) if is_named(left) && is_named(right) => {
            let names: BTreeSet<&str> = left.iter().chain(right).filter_map(name).collect();
            for item in names {
                let find = |list: &'_ [Value]| {
                    let position = list.iter().position(|value| name(value) == Some(item));
                    position.map(|index| list[index].clone())
                };
                let (left, right) = (find(left), find(right));
                compare_item(&join(item), left.as_ref(), right.as_ref(), found);
            }
        }
        (Value::Array(left), Value::Array(right)) if is_text(left) && is_text(right) => {
            for value in left.iter().filter(|value| !right.contains(value)) {
                push(path, Some(value), None, found);
            }
            for value in right.iter().filter(|value| !left.contains(value)) {
                push(path, None, Some(value), found);
            }
        }
        (from, to) if from != to => push(path, Some(from), Some(to), found),
        _ => {}
    }
}

fn compare_item(path: &str, from: Option<&Value>, to: Option<&Value>, found: &mut Vec<Difference>) {
    match (from, to) {
        (Some(from), Some(to)) => compare(path, from, to, found),
        (None, None) => {}
        (from, to) => push(path, from, to, found),
    }
}

fn push(path: &str, from: Option<&Value>, to: Option<&Value>, found: &mut Vec<Difference>) {
    found.push(Difference {
        path: path.to_owned(),
        from: from.cloned(),
        to: to.cloned(),
    });
}

fn name(value: &Value) -> Option<&str> {
    value["name"].as_str()
}

/// An empty list compares as either kind.
fn is_named(list: &[Value]) -> bool {
    list.iter().all(|value| name(value).is_some())
}

fn is_text(list: &[Value]) -> bool {
    list.iter().all(Value::is_string)
}

/// Writes a value on one line; hashes are cut, since eight digits tell them apart.
fn shorten(value: &Value) -> String {
    match value {
        Value::String(text) if text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()) => {
            format!("\"{}...\"", &text[..8])
        }
        Value::Array(list) => {
            let items: Vec<_> = list.iter().map(shorten).collect();
            format!("[{}]", items.join(", "))
        }
        Value::Object(object) => {
            let items = object
                .iter()
                .filter(|(_, value)| !value.is_null())
                .map(|(key, value)| format!("{key}: {}", shorten(value)));
            format!("{{ {} }}", items.collect::<Vec<_>>().join(", "))
        }
        other => other.to_string(),
    }
}
