//! Tests of endpoint lists with malformed entries.

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

#[test]
fn malformed_entry_costs_that_endpoint_and_not_the_list() {
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

#[test]
fn malformed_lists_are_errors() {
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

#[test]
fn problems_of_a_malformed_list_are_bounded() {
    let parsed = parse(&vec!["0".to_owned(); 200_000]);
    assert!(parsed.list.endpoints.is_empty() && parsed.unreadable.is_empty());
    assert!(parsed.fault.is_some_and(|fault| fault.len() < 200));
}
