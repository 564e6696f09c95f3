//! Tests of the diagnostics of invalid configurations and expectation files.

use std::path::Path;

use config::load;

const VALID: &str = r#"[server]
listen = [{ address = "127.0.0.1:8080" }]
zone = "south"
sockets = 1024
tenants = ["kpks"]
expectations = ["expect.toml"]

[limits]
attempts = 3

[[class]]
name = "standings"
aim_ms = 800
deadline_ms = 2000
semantics = "idempotent"

[[pool]]
name = "pairings"
nodes = [{ name = "n1", address = "127.0.0.1:7101", kind = "m" }]

[[pool]]
name = "archive"
nodes = [{ name = "a1", address = "127.0.0.1:7102", zone = "north" }]

[[route]]
name = "standings"
match = { path = "/standings/{event}", methods = ["GET"], headers = { x-app = "judge" } }
class = "standings"
pool = "pairings"
fallback = [{ pool = "archive", when = ["none-ready"] }]
"#;

const EXPECT: &str = r#"[[expect]]
name = "served"
when = { path = "/standings/1", headers = { X-App = "judge" } }
then = { pool = "pairings" }
"#;

/// The diagnostics of a configuration and its expectation file, one line each.
fn reported(config: &str, expect: Option<&str>) -> Vec<String> {
    let read = |path: &Path| match path.file_name().and_then(|name| name.to_str()) {
        Some("lb.toml") => Ok(config.to_owned()),
        Some("expect.toml") => expect.map(str::to_owned).ok_or_else(|| "no such file".to_owned()),
        _ => Err("no such file".to_owned()),
    };
    match load(Path::new("etc/lb.toml"), &read) {
        Ok(_) => Vec::new(),
        Err(diagnostics) => diagnostics.all().iter().map(ToString::to_string).collect(),
    }
}

/// Replaces the first occurrence of a text, which must exist.
#[track_caller]
fn changed(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1)
}

/// Guards the other tests against a base file that is itself invalid.
#[test]
fn valid_file_has_no_diagnostics() {
    assert_eq!(reported(VALID, Some(EXPECT)), Vec::<String>::new());
}

/// Guards against invalid configurations that are accepted, and against diagnostics without position, key or
/// help. Each case replaces one text of the valid file and expects the first diagnostic.
#[test]
fn invalid_configuration_is_reported_with_position_key_and_help() {
    let cases = [
        // Syntax, keys and types.
        ("sockets = 1024", "sockets = ", "etc/lb.toml:4:11: `sockets`: string values must be quoted, expected literal string"),
        ("sockets = 1024", "sockets = \"many\"", "etc/lb.toml:4:11: `sockets`: invalid type: string \"many\", expected usize"),
        ("sockets = 1024", "socket = 1024", "etc/lb.toml:4:1: unknown field `socket`, expected one of `listen`, `zone`, `sockets`, `proxies`, `tenants`, `expectations`, `capacity`, `keys` (did you mean `sockets`?)"),
        ("semantics = \"idempotent\"", "semantics = \"idempotant\"", "etc/lb.toml:15:13: `semantics`: unknown variant `idempotant`, expected one of `idempotent`, `deduplicated`, `at-most-once` (did you mean `idempotent`?)"),
        ("aim_ms = 800\n", "", "etc/lb.toml:11:1: missing field `aim_ms`"),
        ("[server]", "[server", "etc/lb.toml:1:8: unclosed table, expected `]`"),
        ("zone = \"south\"", "zone = \"south\"\nzone = \"x\"", "etc/lb.toml:4:1: duplicate key"),
        // Numbers out of bounds.
        ("sockets = 1024", "sockets = 40", "etc/lb.toml:4:11: `sockets`: 40 is not from 48 to 1000000"),
        ("sockets = 1024", "sockets = 48", "etc/lb.toml:4:11: `sockets`: 48 are too few for 2 pools (give the process more of them, or the pools more even shares)"),
        ("attempts = 3", "attempts = 0", "etc/lb.toml:9:12: `attempts`: 0 is not from 1 to 10"),
        ("attempts = 3", "attempts = 3\n[knowledge]\nfolder = \"x\"\nevery_s = 0", "etc/lb.toml:12:11: `every_s`: 0 is not from 1 to 3600"),
        ("attempts = 3", "attempts = 3\n[knowledge]\nfolder = \"\"", "etc/lb.toml:11:10: `folder`: must not be empty"),
        ("attempts = 3", "cold_from = 1.5", "etc/lb.toml:9:13: `cold_from`: 1.5 is not from 0 to 1"),
        ("attempts = 3", "cold_from = nan", "etc/lb.toml:9:13: `cold_from`: NaN is not from 0 to 1"),
        ("attempts = 3", "keep_alive_ms = 1", "etc/lb.toml:9:17: `keep_alive_ms`: 1 is not from 100 to 86400000 ms"),
        ("aim_ms = 800", "aim_ms = 0", "etc/lb.toml:13:10: `aim_ms`: 0 is not from 1 to 86400000 ms"),
        ("deadline_ms = 2000", "deadline_ms = 700", "etc/lb.toml:14:15: `deadline_ms`: 700 is before the aim (a deadline is at least the aim)"),
        ("zone = \"south\"", "zone = \"south\"\nproxies = { count = 2, rank = 2 }", "etc/lb.toml:4:31: `proxies`: rank 2 of 2 proxies (count proxies from 1, and ranks from 0 to 1)"),
        // Addresses and names.
        ("127.0.0.1:8080", "localhost:8080", "etc/lb.toml:2:23: `address`: \"localhost:8080\" is no address (write an IP address and a port, such as \"127.0.0.1:8080\")"),
        ("[{ address = \"127.0.0.1:8080\" }]", "[]", "etc/lb.toml:2:10: `listen`: no address to listen on (write listen = [{ address = \"127.0.0.1:8080\" }])"),
        ("name = \"archive\"", "name = \"pairings\"", "etc/lb.toml:22:8: two pools are named `pairings` (the first is in line 18)"),
        ("name = \"archive\"", "name = \"the archive\"", "etc/lb.toml:22:8: \"the archive\" does not name a pool (use letters, digits, `-`, `_` and `.`, 100 at most)"),
        // References.
        ("pool = \"pairings\"", "pool = \"pairing\"", "etc/lb.toml:29:8: there is no pool `pairing` (did you mean `pairings`?)"),
        ("class = \"standings\"", "class = \"rounds\"", "etc/lb.toml:28:9: there is no class `rounds` (there are `standings`)"),
        ("methods = [\"GET\"]", "tenant = \"kpk\"", "etc/lb.toml:27:49: there is no tenant `kpk` (did you mean `kpks`?)"),
        ("pool = \"pairings\"", "pool = \"pairings\"\nnodes = { zones = [\"nort\"] }", "etc/lb.toml:30:20: no node has the zone `nort` (did you mean `north`?)"),
        ("pool = \"pairings\"", "pool = \"pairings\"\nnodes = { kinds = [\"x\"] }", "etc/lb.toml:30:20: no node has the kind `x` (there are `m`)"),
        // Pools.
        ("nodes = [{ name = \"n1\", address = \"127.0.0.1:7101\", kind = \"m\" }]\n", "", "etc/lb.toml:18:8: pool `pairings` has no nodes (give it `nodes`, a `file` or a `discovery` address)"),
        ("[[pool]]\nname = \"pairings\"", "[[pool]]\nname = \"pairings\"\nfile = \"n.json\"", "etc/lb.toml:18:8: pool `pairings` has two sources of nodes (keep one of `nodes`, `file` and `discovery`)"),
        ("nodes = [{ name = \"n1\", address = \"127.0.0.1:7101\", kind = \"m\" }]", "file = \"n.json\"", "etc/lb.toml:19:9: pool `pairings`: etc/n.json: no such file (a list of nodes has the form of discovery's answers)"),
        // Classes.
        ("semantics = \"idempotent\"", "semantics = \"deduplicated\"", "etc/lb.toml:15:13: `semantics`: deduplicated by whom, and for how long? (add dedup_group = \"all\", \"zone\" or \"cell\" and dedup_window_ms)"),
        ("semantics = \"idempotent\"", "semantics = \"idempotent\"\ndedup_window_ms = 5", "etc/lb.toml:16:19: only deduplicated classes have a group and a window (leave it out, or write semantics = \"deduplicated\")"),
        // Routes.
        ("/standings/{event}", "standings", "etc/lb.toml:27:18: `path`: a path begins with a slash; write \"/standings\""),
        ("/standings/{event}", "/a/%2e%2e/b", "etc/lb.toml:27:18: `path`: no request has this path, since paths are brought into a normal form; write \"/b\""),
        ("path = \"/standings/{event}\"", "host = \"a b\"", "etc/lb.toml:27:18: `host`: \"a b\" is no host; write `name`, `*.name` or `*`"),
        ("methods = [\"GET\"]", "methods = [\"get\"]", "etc/lb.toml:27:51: `methods`: \"get\" is no method (methods are in capitals; write \"GET\")"),
        ("x-app = \"judge\"", "Host = \"a\"", "etc/lb.toml:27:78: `headers`: host has a key of its own (write match.host instead)"),
        ("pool = \"pairings\"\n", "", "etc/lb.toml:26:8: route `standings` has no pool (give it `pool`, or `split` with several)"),
        // Splits and fallbacks.
        ("pool = \"pairings\"", "split = { pools = [{ pool = \"pairings\", weight = 0 }] }", "etc/lb.toml:29:9: the split of route `standings` leaves no pool: every weight is 0 (give at least one pool a weight above 0)"),
        ("pool = \"pairings\"", "split = { by = \"path:player\", pools = [{ pool = \"pairings\", weight = 1 }] }", "etc/lb.toml:29:16: `by`: the path has no part \"player\" (the path needs a part {player})"),
        ("pool = \"pairings\"", "split = { by = \"player\", pools = [{ pool = \"pairings\", weight = 1 }] }", "etc/lb.toml:29:16: `by`: \"player\" is no key (write \"header:NAME\" or \"path:PART\")"),
        ("pool = \"pairings\"", "split = { pools = [{ pool = \"pairings\", weight = 99999999999999999999 }] }", "etc/lb.toml:29:50: `weight`: invalid type: integer `99999999999999999999` as i128, expected u64"),
        ("pool = \"archive\", when", "pool = \"pairings\", when", "etc/lb.toml:30:22: the fallback of route `standings` leads back to pool `pairings` (a pool stands once in a route; name another, or leave the fallback out)"),
        ("[\"none-ready\"]", "[]", "etc/lb.toml:30:40: `when`: a fallback that is never used (write one or more of \"none-ready\", \"all-draining\", \"refused\")"),
    ];
    let got = cases.map(|(from, to, _)| reported(&changed(VALID, from, to), Some(EXPECT)));
    let first = got.each_ref().map(|lines| lines.first().map_or("", String::as_str));
    assert_eq!(first, cases.map(|(_, _, expected)| expected));
}

/// Guards against a route table in which the order of routes decides. Two routes of equal precedence that can
/// match one request are reported; with different values of a header they cannot, and are accepted.
#[test]
fn equally_specific_routes_are_reported_unless_they_are_disjoint() {
    let twin = "\n[[route]]\nname = \"other\"\nmatch = { path = \"/standings/{id}\", methods = [\"POST\", \"GET\"], headers = { x-app = \"judge\" } }\nclass = \"standings\"\npool = \"archive\"\n";
    let got = reported(&format!("{VALID}{twin}"), Some(EXPECT));
    assert_eq!(
        got,
        ["etc/lb.toml:33:8: routes `standings` (line 26) and `other` are equally specific, and a request can match both (make one of them more specific, or the two disjoint; order decides nothing)"]
    );
    // With another value of the header, no request matches both.
    let disjoint = twin.replace("\"judge\"", "\"player\"");
    assert!(reported(&format!("{VALID}{disjoint}"), Some(EXPECT)).is_empty());
}

/// Guards against invalid expectations that are accepted and then check nothing. Each case replaces one text
/// of the valid file and expects the first diagnostic.
#[test]
fn invalid_expectation_is_reported_with_position_and_help() {
    let cases = [
        ("pool = \"pairings\"", "pools = \"pairings\"", "etc/expect.toml:4:10: `then`: unknown field `pools`, expected one of `route`, `pool`, `class`, `nodes`, `stays_in`, `never_in`, `refused` (did you mean `pool`?)"),
        ("pool = \"pairings\"", "pool = \"pairing\"", "etc/expect.toml:4:17: there is no pool `pairing` (did you mean `pairings`?)"),
        ("pool = \"pairings\"", "nodes = [\"n2\"]", "etc/expect.toml:4:19: there is no node `n2` (there are `n1`, `a1`)"),
        ("pool = \"pairings\"", "stays_in = [\"souht\"]", "etc/expect.toml:4:22: there is no zone `souht` (did you mean `south`?)"),
        ("pool = \"pairings\"", "refused = 500", "etc/expect.toml:4:20: `refused`: routing never answers 500 (routing answers 400 (no normal form), 404 (no route) or 503 (no node ready))"),
        ("{ pool = \"pairings\" }", "{}", "etc/expect.toml:4:8: `then` expects nothing (say `route`, `pool`, `class`, `nodes`, `stays_in`, `never_in` or `refused`)"),
        ("name = \"served\"", "name = \"served\"\nonly_then = true", "etc/expect.toml:2:8: `only_then`: the given state is the ordinary one (say under `given` what is different)"),
        ("name = \"served\"", "name = \"served\"\ngiven = { gone = [\"n1\"], draining = [\"n1\"] }", "etc/expect.toml:3:19: node `n1` is given two states"),
    ];
    let got = cases.map(|(from, to, _)| reported(VALID, Some(&changed(EXPECT, from, to))));
    let first = got.each_ref().map(|lines| lines.first().map_or("", String::as_str));
    assert_eq!(first, cases.map(|(_, _, expected)| expected));
    let twice = format!("{EXPECT}{EXPECT}");
    assert_eq!(
        reported(VALID, Some(&twice)),
        ["etc/expect.toml:6:8: two expectations are named \"served\" (the first is in line 2)"]
    );
    assert_eq!(reported(VALID, None), ["etc/lb.toml:6:17: cannot read etc/expect.toml: no such file"]);
}

/// Guards the rendered form: it quotes the line, underlines the value and ends with the help.
#[test]
fn rendered_diagnostic_underlines_the_value_in_its_line() {
    let config = changed(VALID, "pool = \"pairings\"", "pool = \"pairing\"");
    let read = |path: &Path| match path.ends_with("lb.toml") {
        true => Ok(config.clone()),
        false => Ok(EXPECT.to_owned()),
    };
    let diagnostics = load(Path::new("lb.toml"), &read).expect_err("unknown pool");
    assert_eq!(
        diagnostics.all()[0].rendered(),
        "error: there is no pool `pairing`\n  --> lb.toml:29:8\n   |\n29 | pool = \"pairing\"\n   |        ^^^^^^^^^\n   = help: did you mean `pairings`?\n"
    );
    assert_eq!(
        diagnostics.to_string(),
        "lb.toml:29:8: there is no pool `pairing` (did you mean `pairings`?)"
    );
}

/// Guards against panics on malformed files: files truncated at any byte, and configurations with any byte
/// replaced, are either accepted or reported.
#[test]
fn truncated_or_corrupted_file_does_not_panic() {
    for length in 0..VALID.len() {
        reported(&VALID[..length], Some(EXPECT));
    }
    for length in 0..EXPECT.len() {
        reported(VALID, Some(&EXPECT[..length]));
    }
    for at in 0..VALID.len() {
        for byte in ["\"", "\n", "]", "0", "\u{e9}", "="] {
            let mut text = VALID.to_owned();
            text.replace_range(at..=at, byte);
            reported(&text, Some(EXPECT));
        }
    }
}
