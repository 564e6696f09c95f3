//! Tests of malformed endpoint lists from discovery.

use super::*;

fn entry(name: &str, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"10.0.0.1:80","site":"a","class":"m","block":1,"health":"{health}"}}"#
    )
}

fn parse(entries: &[String]) -> ParsedEndpointList {
    let json = format!("{{\"seq\": 7,\n \"whole\": true, \"hosts\": [\n{}]}}", entries.join(",\n"));
    parse_endpoint_list(json.as_bytes()).expect("a list")
}

/// Guards against one malformed entry that makes the proxy ignore the whole list, and against an endpoint
/// that keeps getting requests although its malformed entry may have been a drain.
#[test]
fn malformed_entry_makes_only_its_endpoint_unreadable() {
    let parsed = parse(&[
        entry("a", "SERVING"),
        entry("b", "SLEEPING"),
        entry("", "SERVING"),
        entry("c", "SERVING").replace("10.0.0.1:80", "nowhere"),
        "7".to_owned(),
        entry("a", "DRAINING"),
        entry("b", "SERVING"),
    ]);
    let names: Vec<_> =
        parsed.list.endpoints.iter().map(|endpoint| (endpoint.name.as_str(), endpoint.state)).collect();
    assert!(matches!(names[..], [("a", ListedState::Draining)]), "{names:?}");
    assert_eq!(parsed.unreadable, ["b", "c"].map(str::to_owned).into());
    let fault = parsed.fault.expect("a fault");
    assert!(fault.starts_with("\"b\": ") && fault.ends_with(", and 4 more"), "{fault}");
}

/// Guards against a truncated or malformed document that is taken for an empty or short list.
#[test]
fn malformed_list_is_an_error() {
    for bad in [
        "",
        "[]",
        "7",
        "{\"seq\":1}",
        "{\"seq\":1,\"whole\":7,\"hosts\":[]}",
        "{\"seq\":1,\"whole\":true,\"hosts\":[",
    ] {
        assert!(parse_endpoint_list(bad.as_bytes()).is_err(), "{bad}");
    }
    assert!(parse_endpoint_list(b"\xff\xfe").is_err());
}

/// Guards against a message that grows with the number of malformed entries: the first is quoted, the others
/// are counted.
#[test]
fn message_length_is_bounded_when_all_entries_are_malformed() {
    let parsed = parse(&vec!["0".to_owned(); 200_000]);
    assert!(parsed.list.endpoints.is_empty() && parsed.unreadable.is_empty());
    assert!(parsed.fault.is_some_and(|fault| fault.len() < 200));
}
