//! Changes of a tenant's configuration, as a JSON document: its parts by name, and what differs between two.

#[cfg(test)]
mod tests;

use serde_json::{json, Map, Value};

/// The parts of a configuration whose entries have names: as the API calls them, and as the document does.
const PARTS: [(&str, &str); 3] = [("classes", "class"), ("pools", "pool"), ("routes", "route")];

/// What the document calls a part.
pub fn part(name: &str) -> Option<&'static str> {
    PARTS.iter().find(|(api, _)| *api == name).map(|(_, doc)| *doc)
}

fn is_named(entry: &Value, name: &str) -> bool {
    entry.get("name").and_then(Value::as_str) == Some(name)
}

/// The entry of a part with this name.
pub fn entry<'a>(config: &'a Value, part: &str, name: &str) -> Option<&'a Value> {
    config.get(part)?.as_array()?.iter().find(|e| is_named(e, name))
}

/// Puts an entry in place of the one with its name, or behind the others.
pub fn put(config: &mut Value, part: &str, name: &str, mut new: Value) -> Result<(), String> {
    let Value::Object(fields) = &mut new else { return Err("an entry is an object".to_owned()) };
    match fields.get("name") {
        None => drop(fields.insert("name".to_owned(), json!(name))),
        Some(own) if own == name => {}
        Some(own) => return Err(format!("the path names {name:?}, and the entry {own}")),
    }
    let Value::Object(config) = config else { return Err("the configuration is no object".to_owned()) };
    let entries = config.entry(part).or_insert_with(|| json!([]));
    let Value::Array(entries) = entries else { return Err(format!("{part} is no list")) };
    match entries.iter_mut().find(|e| is_named(e, name)) {
        Some(old) => *old = new,
        None => entries.push(new),
    }
    Ok(())
}

/// Takes an entry out. False where there is none of this name.
pub fn remove(config: &mut Value, part: &str, name: &str) -> bool {
    let entries = config.get_mut(part).and_then(Value::as_array_mut);
    entries.is_some_and(|entries| {
        let before = entries.len();
        entries.retain(|e| !is_named(e, name));
        entries.len() < before
    })
}

/// Sets the state of a node in a pool's list. False where there is none of this name.
pub fn set_state(config: &mut Value, pool: &str, node: &str, state: &str) -> bool {
    let pools = config.get_mut("pool").and_then(Value::as_array_mut);
    let pool = pools.and_then(|pools| pools.iter_mut().find(|p| is_named(p, pool)));
    let nodes = pool.and_then(|p| p.get_mut("nodes")).and_then(Value::as_array_mut);
    let node = nodes.and_then(|nodes| nodes.iter_mut().find(|n| is_named(n, node)));
    node.and_then(Value::as_object_mut).map(|n| n.insert("state".to_owned(), json!(state))).is_some()
}

/// What differs between two documents: paths with the value before and after.
pub fn diff(before: &Value, after: &Value) -> Vec<Value> {
    let mut found = Vec::new();
    walk("", before, after, &mut found);
    found
}

fn walk(path: &str, before: &Value, after: &Value, found: &mut Vec<Value>) {
    if before == after {
        return;
    }
    let of = |value: &Value, map: &mut Map<String, Value>, key: &str| {
        if !value.is_null() {
            map.insert(key.to_owned(), value.clone());
        }
    };
    let keyed = |value: &Value| -> Option<Map<String, Value>> {
        match value {
            Value::Object(fields) => Some(fields.clone()),
            // Entries that have names are told apart by these, and not by their places.
            Value::Array(entries) => {
                let name = |e: &Value| e.get("name").and_then(Value::as_str).map(str::to_owned);
                entries.iter().map(|e| Some((name(e)?, e.clone()))).collect()
            }
            _ => None,
        }
    };
    if let (Some(one), Some(other)) = (keyed(before), keyed(after)) {
        if one != other && before.is_array() == after.is_array() {
            let keys: std::collections::BTreeSet<&String> = one.keys().chain(other.keys()).collect();
            for key in keys {
                let get = |map: &Map<String, Value>| map.get(key).cloned().unwrap_or(Value::Null);
                walk(&format!("{path}/{key}"), &get(&one), &get(&other), found);
            }
            return;
        }
    }
    let mut change = Map::new();
    change.insert("path".to_owned(), json!(path));
    of(before, &mut change, "before");
    of(after, &mut change, "after");
    found.push(Value::Object(change));
}
