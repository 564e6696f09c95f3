//! Edits and comparison of a tenant's configuration as a JSON document: named entries of its sections, and
//! the differences between two documents.

#[cfg(test)]
mod tests;

use serde_json::{json, Map, Value};

/// The sections of a configuration whose entries have names: the name in paths of the API, and the key in the
/// document.
const SECTIONS: [(&str, &str); 3] = [("classes", "class"), ("pools", "pool"), ("routes", "route")];

/// The key in the document of a section that a path of the API names.
pub fn section_key(api_name: &str) -> Option<&'static str> {
    SECTIONS.iter().find(|(api, _)| *api == api_name).map(|(_, key)| *key)
}

fn is_named(entry: &Value, name: &str) -> bool {
    entry.get("name").and_then(Value::as_str) == Some(name)
}

/// The entry of a section with this name.
pub fn entry<'a>(config: &'a Value, section: &str, name: &str) -> Option<&'a Value> {
    config.get(section)?.as_array()?.iter().find(|e| is_named(e, name))
}

/// Replaces the entry of a section with this name, or appends the new entry if there is none.
pub fn put(config: &mut Value, section: &str, name: &str, mut new: Value) -> Result<(), String> {
    let Value::Object(fields) = &mut new else { return Err("an entry is an object".to_owned()) };
    match fields.get("name") {
        None => drop(fields.insert("name".to_owned(), json!(name))),
        Some(own) if own == name => {}
        Some(own) => return Err(format!("the path names {name:?}, and the entry {own}")),
    }
    let Value::Object(config) = config else { return Err("the configuration is no object".to_owned()) };
    let entries = config.entry(section).or_insert_with(|| json!([]));
    let Value::Array(entries) = entries else { return Err(format!("{section} is no list")) };
    match entries.iter_mut().find(|e| is_named(e, name)) {
        Some(old) => *old = new,
        None => entries.push(new),
    }
    Ok(())
}

/// Removes an entry from a section. Returns whether there was an entry of this name.
pub fn remove(config: &mut Value, section: &str, name: &str) -> bool {
    let entries = config.get_mut(section).and_then(Value::as_array_mut);
    entries.is_some_and(|entries| {
        let before = entries.len();
        entries.retain(|e| !is_named(e, name));
        entries.len() < before
    })
}

/// Sets the state of an endpoint in a pool's list. Returns whether there is an endpoint of this name.
pub fn set_endpoint_state(config: &mut Value, pool: &str, endpoint: &str, state: &str) -> bool {
    let pools = config.get_mut("pool").and_then(Value::as_array_mut);
    let pool = pools.and_then(|pools| pools.iter_mut().find(|p| is_named(p, pool)));
    let endpoints = pool.and_then(|p| p.get_mut("nodes")).and_then(Value::as_array_mut);
    let endpoint = endpoints.and_then(|endpoints| endpoints.iter_mut().find(|e| is_named(e, endpoint)));
    endpoint.and_then(Value::as_object_mut).map(|e| e.insert("state".to_owned(), json!(state))).is_some()
}

/// The differences between two documents: paths with the values before and after.
pub fn diff(before: &Value, after: &Value) -> Vec<Value> {
    let mut differences = Vec::new();
    collect_differences("", before, after, &mut differences);
    differences
}

fn collect_differences(path: &str, before: &Value, after: &Value, differences: &mut Vec<Value>) {
    if before == after {
        return;
    }
    let insert_unless_null = |value: &Value, map: &mut Map<String, Value>, key: &str| {
        if !value.is_null() {
            map.insert(key.to_owned(), value.clone());
        }
    };
    let by_key = |value: &Value| -> Option<Map<String, Value>> {
        match value {
            Value::Object(fields) => Some(fields.clone()),
            // Named entries are matched by name, so that an entry that has moved is not reported as changed.
            // If nothing but the order has changed, the whole list is reported.
            Value::Array(entries) => {
                let name = |e: &Value| e.get("name").and_then(Value::as_str).map(str::to_owned);
                entries.iter().map(|e| Some((name(e)?, e.clone()))).collect()
            }
            _ => None,
        }
    };
    if let (Some(one), Some(other)) = (by_key(before), by_key(after)) {
        if one != other && before.is_array() == after.is_array() {
            let keys: std::collections::BTreeSet<&String> = one.keys().chain(other.keys()).collect();
            for key in keys {
                let get = |map: &Map<String, Value>| map.get(key).cloned().unwrap_or(Value::Null);
                collect_differences(&format!("{path}/{key}"), &get(&one), &get(&other), differences);
            }
            return;
        }
    }
    let mut difference = Map::new();
    difference.insert("path".to_owned(), json!(path));
    insert_unless_null(before, &mut difference, "before");
    insert_unless_null(after, &mut difference, "after");
    differences.push(Value::Object(difference));
}
