//! Tests of the evaluation of expectations on a configuration.

use std::path::Path;

use config::{load, Report};
use proptest::prelude::*;

const CONFIG: &str = r#"[server]
listen = [{ address = "127.0.0.1:8080" }]
zone = "south"
expectations = ["expect.toml"]

[[class]]
name = "standings"
aim_ms = 800
deadline_ms = 2000
semantics = "idempotent"

[[class]]
name = "close-round"
aim_ms = 800
deadline_ms = 2000
semantics = "at-most-once"

[[pool]]
name = "main"
nodes = [
    { name = "s1", address = "127.0.0.1:1", zone = "south" },
    { name = "s2", address = "127.0.0.1:2", zone = "south" },
    { name = "n1", address = "127.0.0.1:3", zone = "north" },
]

[[pool]]
name = "spare"
nodes = [{ name = "x1", address = "127.0.0.1:4", zone = "west" }]

[[route]]
name = "standings"
match = { path = "/standings/*" }
class = "standings"
pool = "main"
fallback = [{ pool = "spare", when = ["all-draining"] }]

[[route]]
name = "close"
match = { path = "/close-round/{round}", zones = ["south"] }
class = "close-round"
pool = "main"
nodes = { zones = ["south"] }

[[route]]
name = "split"
match = { path = "/split/{player}" }
class = "standings"
split = { by = "path:player", pools = [{ pool = "main", weight = 1 }, { pool = "spare", weight = 1 }] }
"#;

/// Loads a configuration and evaluates its expectations.
fn evaluated(config: &str, expect: &str) -> Report {
    let read = |path: &Path| match path.ends_with("lb.toml") {
        true => Ok(config.to_owned()),
        false => Ok(expect.to_owned()),
    };
    load(Path::new("lb.toml"), &read)
        .unwrap_or_else(|diagnostics| panic!("{:#?}", diagnostics.all()))
        .evaluate_expectations()
}

/// The failures of expectations that do not contradict each other, one line each.
fn failures(config: &str, expect: &str) -> Vec<String> {
    let report = evaluated(config, expect);
    assert!(report.contradictions.is_empty(), "{:?}", report.contradictions);
    report.failures.iter().map(ToString::to_string).collect()
}

/// The text of an expectation.
fn expect(name: &str, given: &str, when: &str, then: &str) -> String {
    format!(
        "[[expect]]\nname = \"{name}\"\ngiven = {{ {given} }}\nwhen = {{ {when} }}\nthen = {{ {then} }}\n"
    )
}

/// Guards the meaning of `only_then`. If both endpoints in the south are draining, the spare pool serves; if
/// one or none is, it does not. An expectation that holds in the ordinary state as well must fail.
#[test]
fn expectation_with_only_then_fails_if_it_holds_in_the_ordinary_state() {
    let when = r#"path = "/standings/1""#;
    let draining = |nodes: &str| format!("draining = [{nodes}], gone = [\"n1\"]");
    let then = r#"pool = "spare", nodes = ["x1"]"#;
    let during = expect("during", &draining(r#""s1", "s2""#), when, then) + "only_then = true\n";
    assert_eq!(failures(CONFIG, &during), Vec::<String>::new());
    // With one draining endpoint the expectation fails; with removed endpoints a rejection is expected and
    // holds.
    let before = expect("before", &draining(r#""s1""#), when, then);
    assert_eq!(
        failures(CONFIG, &before),
        ["expect.toml:2: `before`: expected pool `spare` and just the nodes `spare/x1`, but it would go to pool `main` (by route `standings`, lb.toml:31)"]
    );
    let after = expect("after", "gone = [\"s1\", \"s2\", \"n1\"]", when, "refused = 503");
    assert_eq!(failures(CONFIG, &after), Vec::<String>::new(), "removed endpoints are not draining");
    // This expectation holds in the ordinary state as well.
    let anyway = expect("anyway", "draining = [\"s1\"]", when, r#"pool = "main""#) + "only_then = true\n";
    assert_eq!(
        failures(CONFIG, &anyway),
        ["expect.toml:2: `anyway`: expected this in the given state only, but it holds without that state as well (by route `standings`, lb.toml:31)"]
    );
}

/// Guards against failures that hide their cause: each names the expected routing, the actual one and the
/// route that takes the request.
#[test]
fn unmet_expectation_is_reported_with_the_actual_routing_and_its_route() {
    let south = r#"zone = "south", method = "POST", path = "/close-round/7""#;
    let stays = r#"stays_in = ["south"]"#;
    assert_eq!(failures(CONFIG, &expect("stays", "", south, stays)), Vec::<String>::new());
    // An operator's mistake: the route has lost its restriction to a zone.
    let broken = CONFIG.replace("pool = \"main\"\nnodes = { zones = [\"south\"] }\n", "pool = \"main\"\n");
    assert_eq!(
        failures(&broken, &expect("stays", "", south, stays)),
        ["expect.toml:2: `stays`: expected to stay in `south`, but it could reach `main/n1` in zone `north` (by route `close`, lb.toml:38)"]
    );
    assert_eq!(
        failures(CONFIG, &expect("lost", "lost_zones = [\"south\"]", south, stays)),
        ["expect.toml:2: `lost`: expected to stay in `south`, but it would be refused with 503: no node that it may use is ready (by route `close`, lb.toml:38)"]
    );
    assert_eq!(
        failures(CONFIG, &expect("none", "", r#"path = "/nothing""#, r#"pool = "main""#)),
        ["expect.toml:2: `none`: expected pool `main`, but it would be refused with 404: no route takes it"]
    );
    assert_eq!(
        failures(CONFIG, &expect("bad", "", r#"path = "/a/%00""#, "refused = 404")),
        ["expect.toml:2: `bad`: expected a refusal with 404, but it would be refused with 400: the path: a control character in the path"]
    );
    assert_eq!(
        failures(CONFIG, &expect("class", "", r#"path = "/standings/1""#, r#"class = "close-round""#)),
        ["expect.toml:2: `class`: expected class `close-round`, but its class would be `standings` (by route `standings`, lb.toml:31)"]
    );
    // A rejection by the first pool may lead to the fallback, so its endpoints can be reached as well.
    let refused = CONFIG.replace("when = [\"all-draining\"]", "when = [\"refused\"]");
    assert_eq!(
        failures(&refused, &expect("reach", "", r#"path = "/standings/1""#, r#"never_in = ["west"]"#)),
        ["expect.toml:2: `reach`: expected never to reach `west`, but it could reach `spare/x1` in zone `west` (by route `standings`, lb.toml:31)"]
    );
}

/// Guards against an expectation that is evaluated for one pool of a split although the request could go to
/// any. With a key in the path the pool is known; with the request id as key it is not.
#[test]
fn split_without_a_key_in_the_request_may_choose_any_pool() {
    let report = |n: usize| {
        let when = format!("path = \"/split/{n}\"");
        failures(CONFIG, &expect("split", "", &when, r#"pool = "main""#)).len()
    };
    let spare: usize = (0..40).map(report).sum();
    assert!((10..=30).contains(&spare), "{spare} of 40 keys go to the spare pool");
    // With the request id as key, both pools are possible.
    let keyless = CONFIG.replace("by = \"path:player\", ", "");
    assert_eq!(
        failures(&keyless, &expect("split", "", r#"path = "/split/1""#, r#"pool = "main""#)),
        ["expect.toml:2: `split`: expected pool `main`, but it would go to pool `main` and `spare` (by route `split`, lb.toml:45)"]
    );
}

/// Guards against contradictions that are reported as failures of a correct configuration. Two expectations
/// that no configuration can meet together are reported as a pair, and not as failures in addition.
#[test]
fn contradictory_expectations_are_reported_as_pairs_and_not_as_failures() {
    let south = r#"zone = "south", method = "POST", path = "/close-round/7""#;
    let pairs = [
        (r#"stays_in = ["south"]"#, r#"never_in = ["south"]"#, "one wants it to stay in `south`, the other never to reach `south`"),
        (r#"pool = "main""#, r#"pool = "spare""#, "one request has one pool, and they name `main` and `spare`"),
        (r#"class = "standings""#, r#"class = "close-round""#, "one request has one class, and they name `standings` and `close-round`"),
        (r#"refused = 404"#, r#"refused = 503"#, "one request has one answer, and they name 404 and 503"),
        (r#"refused = 503"#, r#"stays_in = ["south"]"#, "one wants a refusal with 503, the other to stay in `south`"),
        (r#"nodes = ["s1"]"#, r#"nodes = ["s1", "s2"]"#, "the nodes it may reach are either `main/s1` or `main/s1` and `main/s2`"),
        (r#"nodes = ["n1"]"#, r#"stays_in = ["south"]"#, "one wants node `n1`, which the configuration puts into zone `north`, the other to stay in `south`"),
        (r#"pool = "spare""#, r#"stays_in = ["south"]"#, "one wants pool `spare`, all of whose nodes the configuration puts elsewhere, the other to stay in `south`"),
    ];
    for (one, other, reason) in pairs {
        let text = expect("one", "", south, one) + &expect("other", "", south, other);
        let report = evaluated(CONFIG, &text);
        let contradictions: Vec<String> = report.contradictions.iter().map(ToString::to_string).collect();
        assert_eq!(
            contradictions,
            [format!("expect.toml:2: `one` and expect.toml:7: `other` contradict each other: {reason}")]
        );
        assert!(report.failures.is_empty(), "reported twice: {:?}", report.failures);
        assert!(!report.is_good() && report.summary().contains("contradict"));
    }
    // Different expectations for different states of the endpoints do not contradict each other.
    let different_states = expect("one", "", south, r#"stays_in = ["south"]"#)
        + &expect("other", "lost_zones = [\"south\"]", south, "refused = 503");
    assert!(evaluated(CONFIG, &different_states).is_good());
    // Two spellings of one path are the same request.
    let two_spellings = expect("one", "", r#"path = "/standings/1""#, r#"pool = "main""#)
        + &expect("other", "", r#"path = "/standings//%31?x=2""#, r#"pool = "spare""#);
    assert_eq!(evaluated(CONFIG, &two_spellings).contradictions.len(), 1);
    // An expectation can contradict itself.
    let inconsistent = expect("one", "", south, r#"nodes = ["n1"], stays_in = ["south"]"#);
    assert!(evaluated(CONFIG, &inconsistent).contradictions[0].to_string().contains("contradicts itself"));
}

/// Guards the evaluation of pools with discovery, whose endpoints are unknown while the configuration is
/// checked: an expectation adds the endpoints that it needs.
#[test]
fn expectation_can_add_endpoints_to_a_pool_with_discovery() {
    let config = CONFIG.replace(
        "nodes = [{ name = \"x1\", address = \"127.0.0.1:4\", zone = \"west\" }]",
        "discovery = \"127.0.0.1:8500\"",
    );
    let given = r#"lost_zones = ["south"], draining = ["n1"], nodes = [{ pool = "spare", name = "d1", zone = "east" }]"#;
    let text =
        expect("added", given, r#"path = "/standings/1""#, r#"nodes = ["spare/d1"], stays_in = ["east"]"#);
    assert_eq!(failures(&config, &text), Vec::<String>::new());
}

proptest! {
    /// Guards against an evaluation that differs from the rule of the fallback `all-draining`, for any states
    /// of the endpoints: the spare pool serves if its endpoint is ready, no endpoint of the main pool is
    /// ready and at least one is draining.
    #[test]
    fn fallback_rule_holds_for_any_endpoint_states(states in prop::collection::vec(0..3_usize, 4)) {
        let names = ["s1", "s2", "n1", "x1"];
        let in_state = |state: usize| {
            let quoted = names.iter().zip(&states).filter(|(_, s)| **s == state).map(|(name, _)| format!("\"{name}\""));
            quoted.collect::<Vec<_>>().join(", ")
        };
        let given = format!("draining = [{}], gone = [{}]", in_state(1), in_state(2));
        let main: Vec<&str> = (0..3).filter(|i| states[*i] == 0).map(|i| names[i]).collect();
        let falls_back = main.is_empty() && states[..3].contains(&1) && states[3] == 0;
        let then = match (&main[..], falls_back) {
            ([], true) => r#"pool = "spare", nodes = ["x1"]"#.to_owned(),
            ([], false) => "refused = 503".to_owned(),
            (main, _) => format!("pool = \"main\", nodes = {main:?}"),
        };
        let text = expect("any", &given, r#"path = "/standings/1""#, &then);
        prop_assert_eq!(failures(CONFIG, &text), Vec::<String>::new());
    }
}
