use super::parse;

fn error(json: &str) -> String {
    parse(json).expect_err("unusable").to_string()
}

/// Guards the texts that operators get for an invalid settings object. They name the type, the key or the
/// value.
#[test]
fn errors_keep_their_texts() {
    let not_an_object = error("1");
    assert!(not_an_object.starts_with("bad settings: invalid type: integer `1`, expected struct Config"));
    let no_times = r#"{"request_classes": [{"name": "a"}]}"#;
    assert_eq!(error(no_times), "request_classes: \"a\" has neither promise_ms nor deadline_ms");
    let unknown = |keys: &str| {
        error(&format!(r#"{{"request_classes": [{{"name": "a", "deadline_ms": 10, {keys}}}]}}"#))
    };
    assert_eq!(unknown(r#""semantics": "x""#), "unknown semantics \"x\"");
    assert_eq!(unknown(r#""semantics": "deduplicated", "group": "y""#), "unknown group \"y\"");
    assert_eq!(error("{}"), "unusable settings: no classes: at least one is required");
}
