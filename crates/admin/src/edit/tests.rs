//! Tests of edits and differences of configuration documents.

use super::*;

#[test]
fn entries_are_added_replaced_and_removed_by_name() {
    let mut config = json!({ "pool": [{ "name": "a", "share": 1 }] });
    assert_eq!(put(&mut config, "pool", "b", json!({ "share": 2 })), Ok(()));
    assert_eq!(put(&mut config, "pool", "a", json!({ "name": "a", "share": 3 })), Ok(()));
    assert!(put(&mut config, "pool", "a", json!({ "name": "c" })).is_err());
    assert!(put(&mut config, "pool", "a", json!([])).is_err());
    assert_eq!(config, json!({ "pool": [{ "name": "a", "share": 3 }, { "share": 2, "name": "b" }] }));
    assert!(remove(&mut config, "pool", "a") && !remove(&mut config, "pool", "a"));
    assert!(!remove(&mut config, "route", "a"));
}

/// Guards against a comparison by position, which would report every entry after a removed or moved one as
/// changed.
#[test]
fn differences_of_named_entries_do_not_depend_on_their_order() {
    let before = json!({ "pool": [{ "name": "a", "x": 1 }, { "name": "b" }], "y": [1] });
    let after = json!({ "pool": [{ "name": "b" }, { "name": "a", "x": 2 }], "y": [2], "z": true });
    assert_eq!(
        diff(&before, &after),
        [
            json!({ "path": "/pool/a/x", "before": 1, "after": 2 }),
            json!({ "path": "/y", "before": [1], "after": [2] }),
            json!({ "path": "/z", "after": true }),
        ]
    );
    assert!(diff(&before, &before).is_empty());
}
