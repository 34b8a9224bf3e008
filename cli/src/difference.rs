//! Differences between two inventories. List items are matched by name, not by position.

use std::collections::BTreeSet;

use primrosepin_core::inventory::Inventory;
use serde::Serialize;
use serde_json::Value;

/// A value that differs between two inventories.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the value, such as `organisations.club-two.share`.
    pub path: String,
    /// Value in the first inventory; none if the second one adds it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Value>,
    /// Value in the second inventory; none if it removes it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<Value>,
}

/// Returns the differences, sorted by key or name; items of a list of strings keep its order.
pub fn between(from: &Inventory, to: &Inventory) -> Vec<Difference> {
    // Serialization cannot fail: inventories contain only types that JSON can represent.
    let value = |inventory| serde_json::to_value(inventory).unwrap_or_default();
    let mut differences = Vec::new();
    compare("", &value(from), &value(to), &mut differences);
    differences
}

/// Formats each difference as one line.
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

fn compare(path: &str, from: &Value, to: &Value, differences: &mut Vec<Difference>) {
    let join = |segment: &str| match path {
        "" => segment.to_owned(),
        path => format!("{path}.{segment}"),
    };
    match (from, to) {
        (Value::Object(left), Value::Object(right)) => {
            let keys: BTreeSet<&String> = left.keys().chain(right.keys()).collect();
            for key in keys {
                compare_item(&join(key), left.get(key), right.get(key), differences);
            }
        }
        (Value::Array(left), Value::Array(right)) if all_named(left) && all_named(right) => {
            let names: BTreeSet<&str> = left.iter().chain(right).filter_map(name).collect();
            for item in names {
                let find = |list: &'_ [Value]| {
                    let position = list.iter().position(|value| name(value) == Some(item));
                    position.map(|index| list[index].clone())
                };
                let (left, right) = (find(left), find(right));
                compare_item(&join(item), left.as_ref(), right.as_ref(), differences);
            }
        }
        (Value::Array(left), Value::Array(right)) if all_strings(left) && all_strings(right) => {
            for value in left.iter().filter(|value| !right.contains(value)) {
                push(path, Some(value), None, differences);
            }
            for value in right.iter().filter(|value| !left.contains(value)) {
                push(path, None, Some(value), differences);
            }
        }
        (from, to) if from != to => push(path, Some(from), Some(to), differences),
        _ => {}
    }
}

fn compare_item(
    path: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    match (from, to) {
        (Some(from), Some(to)) => compare(path, from, to, differences),
        (None, None) => {}
        (from, to) => push(path, from, to, differences),
    }
}

fn push(path: &str, from: Option<&Value>, to: Option<&Value>, differences: &mut Vec<Difference>) {
    differences.push(Difference {
        path: path.to_owned(),
        from: from.cloned(),
        to: to.cloned(),
    });
}

fn name(value: &Value) -> Option<&str> {
    value["name"].as_str()
}

/// Returns whether all items have a name. An empty list counts as a list of named items and as a list of
/// strings.
fn all_named(list: &[Value]) -> bool {
    list.iter().all(|value| name(value).is_some())
}

fn all_strings(list: &[Value]) -> bool {
    list.iter().all(Value::is_string)
}

/// Formats a value on one line. SHA-256 hashes are shortened to eight digits, which is enough to distinguish
/// them.
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
