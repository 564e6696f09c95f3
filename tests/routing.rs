//! The standalone mode on loopback: routes, pools, fallbacks and sources of endpoints.
mod stubs;

use std::net::SocketAddr;

use stubs::*;

/// A configuration with a class of each semantics; `rest` holds pools and routes.
fn config(listen: &str, rest: &str) -> String {
    format!(
        r#"[server]
listen = [{listen}]
zone = "south"

[limits]
connect_timeout_ms = 2000

[[class]]
name = "read"
aim_ms = 9000
deadline_ms = 9000
semantics = "idempotent"

[[class]]
name = "put"
aim_ms = 9000
deadline_ms = 9000
semantics = "deduplicated"
dedup_group = "all"
dedup_window_ms = 60000

[[class]]
name = "write"
aim_ms = 9000
deadline_ms = 9000
semantics = "at-most-once"

{rest}"#
    )
}

const LOOPBACK: &str = r#"{ address = "127.0.0.1:0" }"#;

fn pool(name: &str, endpoints: &[(&str, SocketAddr, &str)]) -> String {
    let endpoints: Vec<String> = endpoints
        .iter()
        .map(|(name, address, more)| format!("{{ name = \"{name}\", address = \"{address}\"{more} }}"))
        .collect();
    format!("[[pool]]\nname = \"{name}\"\nnodes = [{}]\n", endpoints.join(", "))
}

fn route(name: &str, matches: &str, class: &str, to: &str) -> String {
    format!("[[route]]\nname = \"{name}\"\nmatch = {{ {matches} }}\nclass = \"{class}\"\n{to}\n")
}

fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n")
}

fn post(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a.example\r\n{headers}Content-Length: 1\r\n\r\nx")
}

#[test]
fn requests_are_sent_only_to_the_pool_of_their_route() {
    let (one, other) = (MockEndpoint::new([ok("one")]), MockEndpoint::new([ok("other")]));
    let rest = pool("one", &[("n1", one.address, "")])
        + &pool("other", &[("n2", other.address, "")])
        + &route("one", r#"path = "/one/{x}""#, "read", "pool = \"one\"")
        + &route("judges", r#"path = "/one/{x}", headers = { X-App = "judge" }"#, "read", "pool = \"other\"")
        + &route("host", r#"host = "*.b.example", path = "/one/{x}""#, "read", "pool = \"other\"");
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[]);
    let body = |request: &str| String::from_utf8(proxy.request(request).body).expect("text");
    assert_eq!(body(&get("/one/1", "")), "one");
    assert_eq!(body(&get("/one/1", "x-app: judge\r\n")), "other");
    assert_eq!(body(&get("/one/1", "").replace("a.example", "C.B.example.:80")), "other");
    for unrouted in ["/one", "/one/1/2", "/ONE/1", "/"] {
        assert_eq!(proxy.request(&get(unrouted, "")).status(), 404, "{unrouted}");
    }
    // A request without an id gets a unique one, and a request with an id keeps it.
    proxy.request(&get("/one/1", ""));
    proxy.request(&get("/one/1", "X-Request-ID: mine\r\n"));
    let mut ids: Vec<String> =
        one.requests().iter().map(|r| r.header("X-Request-ID").expect("an id").to_owned()).collect();
    assert_eq!(ids.last().map(String::as_str), Some("mine"));
    let sent = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len(), sent), (3, 3));
}

#[test]
fn the_endpoint_receives_the_normalized_host_and_path() {
    let endpoint = MockEndpoint::new([ok("done")]);
    let rest = pool("p", &[("n", endpoint.address, "")])
        + &route("all", r#"path = "/a/*""#, "read", "pool = \"p\"")
        + &route("secret", r#"path = "/secret""#, "read", "pool = \"p\"\nnodes = { zones = [\"nowhere\"] }")
            .replace("nowhere", "south");
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[]);
    let cases = [
        ("/a/b?x=%2e%2e//", "/a/b?x=%2e%2e//"),
        ("/a/x/%2e%2e/b", "/a/b"),
        ("//a//b", "/a/b"),
        ("/a/./%62", "/a/b"),
        ("/x/../a/b%2fc", "/a/b%2Fc"),
        ("/a/../secret", "/secret"),
    ];
    for (sent, seen) in cases {
        assert_eq!(proxy.request(&get(sent, "")).status(), 200, "{sent}");
        assert_eq!(endpoint.request().1.line, format!("GET {seen} HTTP/1.1"), "{sent}");
    }
    for (host, seen) in [("A.Example.", "a.example"), ("a.example:8080", "a.example:8080"), ("A:80", "a")] {
        assert_eq!(proxy.request(&get("/a/b", "").replace("a.example", host)).status(), 200, "{host}");
        assert_eq!(endpoint.request().1.header("Host"), Some(seen), "{host}");
    }
    for bad in ["/a/%00", "/a/../../b", "/a/%2e%2e%2f..%2fsecret", "/a/%0d%0ax"] {
        assert_eq!(proxy.request(&get(bad, "")).status(), 400, "{bad}");
    }
    for bad in ["a..b", "a b", "a:x", "user@a"] {
        assert_eq!(proxy.request(&get("/a/b", "").replace("a.example", bad)).status(), 400, "{bad}");
    }
    assert!(endpoint.requests().is_empty());
}

#[test]
fn a_route_is_limited_to_zones_of_clients_and_of_endpoints() {
    let (south, north) = (MockEndpoint::new([ok("south")]), MockEndpoint::new([ok("north")]));
    let rest =
        pool("p", &[("s", south.address, ", zone = \"south\""), ("n", north.address, ", zone = \"north\"")])
            + &route(
                "s",
                r#"path = "/close", zones = ["south"]"#,
                "write",
                "pool = \"p\"\nnodes = { zones = [\"south\"] }",
            )
            + &route(
                "n",
                r#"path = "/close", zones = ["north"]"#,
                "write",
                "pool = \"p\"\nnodes = { zones = [\"north\"] }",
            );
    let listen = r#"{ address = "127.0.0.1:0", zone = "south", zone_header = "X-Zone" }"#;
    let proxy = start_standalone(&config(listen, &rest), &[]);
    for _ in 0..5 {
        assert_eq!(proxy.request(&post("/close", "")).body, b"south");
        assert_eq!(proxy.request(&post("/close", "x-zone: north\r\n")).body, b"north");
    }
    assert_eq!(proxy.request(&post("/close", "X-Zone: west\r\n")).status(), 404);
    // Without an endpoint in its zone a request is rejected, not sent to another zone.
    let text = std::fs::read_to_string(&proxy.path).expect("there");
    proxy.reload(&text.replace("zone = \"south\" }, {", "zone = \"south\", state = \"draining\" }, {"));
    proxy.wait_for_log("configuration reloaded: version 2, ");
    assert_eq!(proxy.request(&post("/close", "")).status(), 503);
    assert_eq!(proxy.request(&post("/close", "x-zone: north\r\n")).body, b"north");
}

#[test]
fn a_split_by_header_is_sticky() {
    let (a, b) = (MockEndpoint::new([ok("a")]), MockEndpoint::new([ok("b")]));
    let split = "split = { by = \"header:x-player\", pools = [{ pool = \"a\", weight = 3 }, { pool = \"b\", weight = 1 }] }";
    let rest = pool("a", &[("n", a.address, "")])
        + &pool("b", &[("n", b.address, "")])
        + &route("r", r#"path = "/*""#, "read", split);
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[]);
    let chosen_pools = || -> Vec<u8> {
        let mut client = proxy.connect();
        (0..60).map(|i| client.ask(&get("/x", &format!("X-Player: p{i}\r\n"))).body[0]).collect()
    };
    let before = chosen_pools();
    assert_eq!(before, chosen_pools());
    let count_b = before.iter().filter(|s| **s == b'b').count();
    assert!((5..=27).contains(&count_b), "{count_b} of 60");
    // A smaller weight moves clients off that pool, and none onto it.
    proxy.reload(&config(LOOPBACK, &rest.replace("weight = 1 }", "weight = 0 }")));
    proxy.wait_for_log("configuration reloaded: version 2, ");
    assert!(chosen_pools().iter().all(|s| *s == b'a'));
    proxy.reload(&config(LOOPBACK, &rest));
    proxy.wait_for_log("configuration reloaded: version 3, ");
    assert_eq!(before, chosen_pools());
}

// ---- Fallbacks ----

/// A pool with a fallback under a condition.
fn two_pools(main: &MockEndpoint, spare: &MockEndpoint, class: &str, when: &str) -> String {
    let to = format!("pool = \"main\"\nfallback = [{{ pool = \"spare\", when = [\"{when}\"] }}]");
    pool("main", &[("m", main.address, "")])
        + &pool("spare", &[("s", spare.address, "")])
        + &route("r", r#"path = "/*""#, class, &to)
}

#[test]
fn a_fallback_is_used_under_its_condition_only() {
    let (main, spare) = (MockEndpoint::new([ok("main")]), MockEndpoint::new([ok("spare")]));
    let rest = two_pools(&main, &spare, "read", "all-draining");
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[]);
    assert_eq!(proxy.request(&get("/x", "")).body, b"main");
    let draining = rest
        .replace(&format!("\"{}\"", main.address), &format!("\"{}\", state = \"draining\"", main.address));
    proxy.reload(&config(LOOPBACK, &draining));
    proxy.wait_for_log("configuration reloaded: version 2, ");
    assert_eq!(proxy.request(&get("/x", "")).body, b"spare");
    // A removed endpoint is not draining: the preferred pool rejects the request.
    let entry = format!("{{ name = \"m\", address = \"{}\" }}", main.address);
    proxy.reload(&config(LOOPBACK, &rest.replace(&entry, "")));
    proxy.wait_for_log("configuration reloaded: version 3, ");
    assert_eq!(proxy.request(&get("/x", "")).status(), 503);
    proxy.reload(&config(LOOPBACK, &rest.replace(&entry, "").replace("all-draining", "none-ready")));
    proxy.wait_for_log("configuration reloaded: version 4, ");
    assert_eq!(proxy.request(&get("/x", "")).body, b"spare");
}

#[test]
fn a_request_falls_back_only_if_a_second_execution_is_excluded_or_harmless() {
    // Rejected before it was executed: a request of any class may fall back.
    for class in ["read", "put", "write"] {
        let (main, spare) = (MockEndpoint::new([full()]), MockEndpoint::new([ok("spare")]));
        let proxy = start_standalone(&config(LOOPBACK, &two_pools(&main, &spare, class, "refused")), &[]);
        let response = proxy.request(&post("/x", "Idempotency-Key: k\r\n"));
        assert_eq!((response.status(), &response.body[..]), (200, &b"spare"[..]), "{class}");
        assert_eq!(spare.requests().len(), 1, "{class}");
    }
    // The connection was closed after the request was sent, so it may have been executed. Only the same pool
    // detects a repeated key, so a request with a key does not fall back either.
    for (class, status, fallback_requests) in [("write", 502, 0), ("put", 502, 0), ("read", 200, 1)] {
        let main = MockEndpoint::new([Behavior::Disconnect, full()]);
        let spare = MockEndpoint::new([ok("spare")]);
        let proxy = start_standalone(&config(LOOPBACK, &two_pools(&main, &spare, class, "refused")), &[]);
        let response = proxy.request(&post("/x", "Idempotency-Key: k\r\n"));
        assert_eq!(response.status(), status, "{class}");
        assert_eq!(spare.requests().len(), fallback_requests, "{class}");
    }
    // Without a fallback a request with a key is retried in its pool, which detects a repeated key, and
    // rejected there.
    let main = MockEndpoint::new([Behavior::Disconnect, full()]);
    let rest =
        pool("main", &[("m", main.address, "")]) + &route("r", r#"path = "/*""#, "put", "pool = \"main\"");
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[]);
    assert_eq!(proxy.request(&post("/x", "Idempotency-Key: k\r\n")).status(), 503);
}

#[test]
fn retry_after_is_in_whole_seconds() {
    let main = MockEndpoint::new([full()]);
    let rest =
        pool("main", &[("m", main.address, "")]) + &route("r", r#"path = "/*""#, "read", "pool = \"main\"");
    let proxy = start_standalone(&config(LOOPBACK, &rest).replace("aim_ms = 9000", "aim_ms = 100"), &[]);
    let retry_after = (0..400).find_map(|_| {
        let response = proxy.request(&get("/x", ""));
        assert_eq!(response.status(), 503);
        response.header("Retry-After").map(str::to_owned)
    });
    if let Some(seconds) = retry_after {
        assert!(seconds.parse::<u32>().is_ok_and(|s| s >= 1), "{seconds}");
    }
}

// ---- Sources of endpoints ----

#[test]
fn a_watched_file_is_reloaded_and_an_invalid_one_is_ignored() {
    let (one, other) = (MockEndpoint::new([ok("one")]), MockEndpoint::new([ok("other")]));
    let rest = "[[pool]]\nname = \"p\"\nfile = \"nodes.json\"\n".to_owned()
        + &route("r", r#"path = "/*""#, "read", "pool = \"p\"");
    let list_of = |endpoint: &MockEndpoint| list(1, true, &[host("n", endpoint.address, "SERVING")]);
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[("nodes.json", &list_of(&one))]);
    let file = proxy.path.with_file_name("nodes.json");
    proxy.wait_for_log("pool `p`: applied 1 endpoints from ");
    assert_eq!(proxy.request(&get("/x", "")).body, b"one");
    // The file is replaced by a rename.
    let next = proxy.path.with_file_name("next.json");
    std::fs::write(
        &next,
        list(2, true, &[host("n", one.address, "DRAINING"), host("m", other.address, "SERVING")]),
    )
    .expect("written");
    std::fs::rename(&next, &file).expect("renamed");
    proxy.wait_for_log("pool `p`: applied 2 endpoints from ");
    assert_eq!(proxy.request(&get("/x", "")).body, b"other");
    // A file that is truncated after complete hosts, empty, followed by garbage, an incomplete list, or with
    // a duplicate name; then no file at all.
    let complete = list_of(&one);
    let duplicate = list(3, true, &[host("n", one.address, "SERVING"), host("n", one.address, "SERVING")]);
    let bad = [
        (complete[..complete.len() - 2].to_owned(), "EOF while parsing a list"),
        (String::new(), "EOF while parsing a value"),
        (format!("{complete}x"), "trailing characters"),
        (list(3, false, &[host("n", one.address, "SERVING")]), "not a whole list"),
        (duplicate, "two hosts are named \"n\""),
    ];
    for (text, cause) in bad {
        std::fs::write(&file, text).expect("written");
        proxy.wait_for_log(cause);
        assert_eq!(proxy.request(&get("/x", "")).body, b"other", "{cause}");
    }
    std::fs::remove_file(&file).expect("removed");
    proxy.wait_for_log("No such file");
    assert_eq!(proxy.request(&get("/x", "")).body, b"other");
    assert_eq!(proxy.log().matches("No such file").count(), 1, "logged more than once");
    std::fs::write(&file, list_of(&one)).expect("written");
    // The log contains the line of an applied list already, so a request shows the change.
    while proxy.request(&get("/x", "")).body != b"one" {}
}

#[test]
fn discovery_is_a_source_of_endpoints() {
    let (one, other) = (MockEndpoint::new([ok("one")]), MockEndpoint::new([ok("other")]));
    let discovery = MockDiscovery::new();
    discovery.push(PollResponse::List(list(1, true, &[host("n", one.address, "SERVING")])));
    let rest = format!("[[pool]]\nname = \"p\"\ndiscovery = \"{}\"\n", discovery.address)
        + &route("r", r#"path = "/*""#, "read", "pool = \"p\"");
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[]);
    assert_eq!(discovery.wait_for_poll(0).0, "/v1/servers");
    discovery.wait_for_poll(1);
    assert_eq!(proxy.request(&get("/x", "")).body, b"one");
    discovery.push(PollResponse::List(list(2, true, &[host("m", other.address, "SERVING")])));
    discovery.wait_for_poll(2);
    assert_eq!(proxy.request(&get("/x", "")).body, b"other");
    // When discovery fails, its last list stays.
    discovery.push(PollResponse::Unavailable);
    discovery.wait_for_poll(3);
    assert_eq!(proxy.request(&get("/x", "")).body, b"other");
}

#[test]
fn a_proxy_is_healthy_once_every_pool_has_its_endpoint_list() {
    let endpoint = MockEndpoint::new([ok("done")]);
    let discovery = MockDiscovery::new();
    let rest = pool("q", &[("n", endpoint.address, "")])
        + &format!("[[pool]]\nname = \"p\"\ndiscovery = \"{}\"\n", discovery.address)
        + &route("r", r#"path = "/*""#, "read", "pool = \"p\"");
    let proxy = start_standalone(&config(LOOPBACK, &rest), &[]);
    discovery.wait_for_poll(0);
    assert_eq!(proxy.request(&get("/healthz", "")).status(), 503);
    discovery.push(PollResponse::List(list(1, true, &[host("n", endpoint.address, "SERVING")])));
    discovery.wait_for_poll(1);
    assert_eq!(proxy.request(&get("/healthz", "")).status(), 200);
}

// ---- Startup ----

#[test]
fn an_invalid_configuration_ends_the_program_with_one_line() {
    let rest =
        pool("p", &[("n", unused_address(), "")]) + &route("r", r#"path = "/a""#, "read", "pool = \"p\"");
    let good = config(LOOPBACK, &rest);
    let with_expectations =
        good.replace("zone = \"south\"\n", "zone = \"south\"\nexpectations = [\"expect.toml\"]\n");
    let expect = "[[expect]]\nname = \"a is served\"\nwhen = { path = \"/a\" }\nthen = { pool = \"p\" }\n";
    let broken = with_expectations.replace("path = \"/a\"", "path = \"/b\"");
    let cases = [
        (good.replace("pool = \"p\"", "pool = \"q\""), 2, "there is no pool `q`"),
        ("[server".to_owned(), 2, "lb.toml:1:8: "),
        (broken, 1, "`a is served`: expected pool `p`, but it would be refused with 404"),
    ];
    for (config, code, words) in cases {
        let (child, _) = spawn_standalone(&config, &[("expect.toml", expect)]);
        let output = child.wait_with_output().expect("the program exits");
        let stderr = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(code), "{stderr}");
        assert!(stderr.starts_with("amberlever: ") && stderr.contains(words), "{stderr}");
        assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
    }
    assert_eq!(
        start_standalone(&with_expectations, &[("expect.toml", expect)]).request(&get("/b", "")).status(),
        404
    );
}
