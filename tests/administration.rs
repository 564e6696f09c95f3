//! The administration API: who may do what, its document against what it does, and its state through kills and
//! full disks.
#[path = "stubs/api.rs"]
mod api;
mod stubs;

use std::process::Command;
use std::thread;
use std::time::Duration;

use api::*;
use serde_json::{json, Value};
use stubs::*;

fn token() -> (String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_amberlever"))
        .args(["token", "new"])
        .output()
        .expect("the program starts");
    let said = String::from_utf8(output.stdout).expect("text");
    let part = |key: &str| said.lines().find_map(|l| l.strip_prefix(key)).expect("said").trim().to_owned();
    (part("token:"), part("sha256:"))
}

/// A service with an operator, an administrator of `one`, and a reader of `two`.
fn guarded() -> (HostedService, [String; 3]) {
    let made = [token(), token(), token()];
    let tokens = format!(
        "[[admin.token]]\nname = \"op\"\nrole = \"operator\"\nsha256 = \"{}\"\n[[admin.token]]\nname = \"adm\"\nrole = \"administrator\"\ntenant = \"one\"\nsha256 = \"{}\"\n[[admin.token]]\nname = \"read\"\nrole = \"reader\"\ntenant = \"two\"\nsha256 = \"{}\"\n",
        made[0].1, made[1].1, made[2].1
    );
    let service = start_hosted(&hosted_config("", &tokens));
    let made = made.map(|(text, _)| text);
    for name in ["one", "two"] {
        let doc = tenant(&format!("{name}.example"), &[unused_address()], json!({}));
        let told = service.call("PUT", &format!("/v1/tenants/{name}"), Some(&made[0]), None, Some(&doc));
        assert_eq!(told.status, 200, "{told:?}");
    }
    (service, made)
}

#[test]
fn every_path_asks_for_a_token_that_may() {
    let (service, [op, adm, read]) = guarded();
    let document = service.get("/v1/openapi.json");
    assert_eq!(document.status, 200, "the document is for everybody");
    let mut calls = Vec::new();
    for (path, methods) in document.body["paths"].as_object().expect("paths") {
        for method in methods.as_object().expect("methods").keys() {
            calls.push((method.to_uppercase(), path.clone()));
        }
    }
    assert!(calls.len() >= 20, "{calls:?}");
    let fill = |path: &str, tenant: &str| {
        path.replace("{tenant}", tenant)
            .replace("{part}", "pools")
            .replace("{pool}", "p")
            .replace("{node}", "n0")
            .replace("{name}", "p")
            .replace("{number}", "1")
            .replace("{before}", "1")
            .replace("{after}", "2")
            + "?dry_run=true&to=2"
    };
    for (method, path) in &calls {
        // Failed tries are bounded for each address, and each of these comes from another.
        let call = |tenant: &str, token: Option<&str>| {
            service.call(method, &fill(path, tenant), token, Some("\"x\""), Some(&json!({}))).status
        };
        let reads = method == "GET";
        let operators = path.contains("versions") || path.contains("tokens");
        assert!(![401, 403].contains(&call("one", Some(&op))), "{method} {path}");
        if path.contains("{tenant}") {
            assert_eq!(call("two", Some(&adm)), 403, "{method} {path} of another");
            let own = call("one", Some(&adm));
            let limits = path.ends_with("/limits") || (path.ends_with("/{tenant}") && !reads);
            assert_eq!(own == 403, limits, "{method} {path} of its own: {own}");
            assert_eq!(call("two", Some(&read)) == 403, !reads, "{method} {path} of a reader");
            assert_eq!(call("one", Some(&read)), 403, "{method} {path} of a reader of another");
        } else if operators {
            assert_eq!(call("one", Some(&adm)), 403, "{method} {path}");
            assert_eq!(call("one", Some(&read)), 403, "{method} {path}");
        } else {
            assert_eq!(call("one", Some(&adm)), 200, "{method} {path}");
        }
    }
    // A list shows no more than its reader may see.
    let seen = |token: &str| service.call("GET", "/v1/tenants", Some(token), None, None).body;
    assert_eq!(seen(&adm).as_array().map(Vec::len), Some(1));
    assert_eq!(seen(&read)[0]["name"], "two");
    assert_eq!(seen(&op).as_array().map(Vec::len), Some(2));
    // No token and a wrong one, at each path, until there were too many of them.
    let mut statuses = Vec::new();
    for (i, (method, path)) in calls.iter().enumerate() {
        let wrong = [None, Some("wrong")][i % 2];
        statuses.push(service.call(method, &fill(path, "one"), wrong, None, None).status);
    }
    assert!(statuses[..10].iter().all(|s| *s == 401), "{statuses:?}");
    assert!(statuses[12..].contains(&429), "{statuses:?}");
    assert!(statuses.iter().all(|s| [401, 429].contains(s)), "{statuses:?}");
    let log = service.process.log();
    assert!(![&op, &adm, &read].iter().any(|t| log.contains(t.as_str())), "no token in a log");
}

#[test]
fn a_token_is_told_once_and_revoked_at_once() {
    let (service, [op, ..]) = guarded();
    let role = json!({ "name": "helper", "role": { "administrator": "one" } });
    let told = service.call("POST", "/v1/tokens", Some(&op), None, Some(&role));
    let helper = told.body["token"].as_str().expect("told").to_owned();
    assert_eq!(
        service.call("POST", "/v1/tokens", Some(&op), None, Some(&role)).status,
        400,
        "the name is taken"
    );
    let ask = |token: &str| service.call("GET", "/v1/tenants/one", Some(token), None, None).status;
    assert_eq!(ask(&helper), 200);
    let listed = service.call("GET", "/v1/tokens", Some(&op), None, None).body.to_string();
    assert!(listed.contains("helper") && !listed.contains(&helper), "{listed}");
    let state = service.process.path.with_file_name("state");
    for file in std::fs::read_dir(state).expect("there") {
        let bytes = std::fs::read(file.expect("a file").path()).expect("readable");
        assert!(!bytes.windows(helper.len()).any(|w| w == helper.as_bytes()), "kept as a hash only");
    }
    assert_eq!(service.call("DELETE", "/v1/tokens/helper", Some(&op), None, None).status, 204);
    assert_eq!(ask(&helper), 401);
    assert_eq!(service.call("DELETE", "/v1/tokens/op", Some(&op), None, None).status, 404, "the file's own");
}

#[test]
fn without_a_token_the_api_is_for_this_machine_only() {
    let file = hosted_config("", "").replacen("listen = \"127.0.0.1:0\"", "listen = \"192.0.2.1:8081\"", 1);
    let (child, _) = spawn_standalone(&file, &[]);
    let output = child.wait_with_output().expect("the program exits");
    let said = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success());
    assert!(
        said.starts_with("amberlever: `admin.listen` is not on loopback and there is no token"),
        "{said}"
    );
    assert_eq!(said.lines().count(), 1, "{said}");
}

/// What the document says of an answer, with its references resolved.
fn schema<'a>(document: &'a Value, schema: &'a Value) -> &'a Value {
    match schema["$ref"].as_str() {
        Some(path) => document.pointer(path.trim_start_matches('#')).expect("a schema"),
        None => schema,
    }
}

/// Is a value what a schema says? Enough of JSON Schema for what the document uses.
fn fits(document: &Value, said: &Value, value: &Value) -> Result<(), String> {
    let said = schema(document, said);
    let fault = |why: &str| Err(format!("{value} is not {said}: {why}"));
    for part in said["allOf"].as_array().into_iter().flatten() {
        fits(document, part, value)?;
    }
    if let Some(any) = said["oneOf"].as_array().or(said["anyOf"].as_array()) {
        return if any.iter().any(|s| fits(document, s, value).is_ok()) {
            Ok(())
        } else {
            fault("none fits")
        };
    }
    let types: Vec<&str> = match &said["type"] {
        Value::String(one) => vec![one],
        Value::Array(many) => many.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    };
    let is = |kind: &str| match kind {
        "object" => value.is_object(),
        "array" => value.is_array(),
        "string" => value.is_string(),
        "integer" => value.is_u64() || value.is_i64(),
        "number" => value.is_number(),
        "boolean" => value.is_boolean(),
        _ => value.is_null(),
    };
    if !types.is_empty() && !types.iter().any(|kind| is(kind)) {
        return fault("another type");
    }
    for key in said["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        if value.get(key).is_none() {
            return fault(key);
        }
    }
    if let (Some(known), Some(fields)) = (said["properties"].as_object(), value.as_object()) {
        for (key, field) in fields {
            match known.get(key) {
                Some(said) => fits(document, said, field)?,
                None if said["additionalProperties"] == false => return fault(key),
                None => {}
            }
        }
    }
    for entry in value.as_array().into_iter().flatten() {
        fits(document, &said["items"], entry)?;
    }
    Ok(())
}

#[test]
fn the_document_says_what_the_api_does() {
    let (service, [op, ..]) = guarded();
    let document = service.get("/v1/openapi.json").body;
    assert!(document["openapi"].as_str().is_some_and(|v| v.starts_with("3.")), "{document}");
    let tag = service.call("GET", "/v1/tenants/one", Some(&op), None, None).etag;
    let limits = json!({ "weight": 2 });
    let calls = [
        ("GET", "/v1/tenants", "/v1/tenants", None, 200),
        ("GET", "/v1/tenants/{tenant}", "/v1/tenants/one", None, 200),
        ("GET", "/v1/tenants/{tenant}", "/v1/tenants/three", None, 404),
        ("PUT", "/v1/tenants/{tenant}/limits", "/v1/tenants/one/limits", Some(&limits), 200),
        ("GET", "/v1/tenants/{tenant}/status", "/v1/tenants/one/status", None, 200),
        ("GET", "/v1/status", "/v1/status", None, 200),
        ("GET", "/v1/versions", "/v1/versions", None, 200),
        ("GET", "/v1/versions/{number}", "/v1/versions/2", None, 200),
        ("GET", "/v1/versions/{number}", "/v1/versions/99", None, 404),
        ("GET", "/v1/versions/{before}/diff/{after}", "/v1/versions/1/diff/2", None, 200),
        ("GET", "/v1/tokens", "/v1/tokens", None, 200),
        ("GET", "/v1/tenants/{tenant}/config", "/v1/tenants/one/config", None, 200),
        ("GET", "/v1/tenants/{tenant}/config/{part}/{name}", "/v1/tenants/one/config/pools/p", None, 200),
        ("GET", "/v1/tenants/{tenant}/config/{part}/{name}", "/v1/tenants/one/config/cups/p", None, 404),
    ];
    for (method, path, called, body, status) in calls {
        let told = service.call(method, called, Some(&op), tag.as_deref(), body);
        assert_eq!(told.status, status, "{method} {called}: {told:?}");
        let said = &document["paths"][path][method.to_lowercase()]["responses"][status.to_string()];
        let said = &said["content"]["application/json"]["schema"];
        assert!(!said.is_null(), "{method} {path} {status} is not in the document");
        fits(&document, said, &told.body).unwrap_or_else(|why| panic!("{method} {called}: {why}"));
    }
    // Each path of the document is there, with each of its methods and no other.
    for (path, methods) in document["paths"].as_object().expect("paths") {
        let called: String = path
            .split('/')
            .map(|s| if s.starts_with('{') { "/1" } else { "/" }.to_owned() + s.trim_matches(['{', '}']))
            .collect::<String>()
            .replacen('/', "", 1);
        let called = if path.contains('{') { called.replace("/1", "/") } else { path.clone() };
        assert_eq!(service.call("PATCH", &called, Some(&op), None, None).status, 405, "{called}");
        assert!(methods.as_object().is_some_and(|m| !m.is_empty()));
    }
    assert_eq!(service.call("GET", "/v1/nothing", Some(&op), None, None).status, 404);
}

#[test]
fn bad_requests_get_a_problem_and_slow_ones_hold_nothing_up() {
    let (service, [op, ..]) = guarded();
    // Heads and bodies that do not come, on fewer connections than there may be.
    let mut slow: Vec<HttpClient> = (0..40)
        .map(|_| HttpClient::of(std::net::TcpStream::connect(service.admin_address).expect("connects")))
        .collect();
    for (i, caller) in slow.iter_mut().enumerate() {
        let body = if i % 2 == 0 { "\r\n{" } else { "" };
        caller.send(&format!("PUT /v1/tenants/one HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {op}\r\nContent-Type: application/json\r\nContent-Length: 100\r\n{body}"));
    }
    let told = service.call("PUT", "/v1/tenants/one", Some(&op), None, Some(&json!([])));
    assert_eq!(told.status, 422);
    assert!(told.body["error"].is_string());
    let raw = |request: String| {
        HttpClient::of(std::net::TcpStream::connect(service.admin_address).expect("connects"))
            .ask(&request)
            .status()
    };
    let put = |body: &str| {
        raw(format!("PUT /v1/tenants/one HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {op}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    };
    assert_eq!(put("{"), 400);
    let huge = format!("{{\"hosts\": [\"{}\"]}}", "x".repeat(5 << 20));
    assert_eq!(put(&huge), 413);
    assert_eq!(service.call("GET", "/v1/versions/x", Some(&op), None, None).status, 400);
    assert_eq!(
        service.call("PUT", "/v1/tenants/Bad_Name", Some(&op), None, Some(&json!({ "hosts": [] }))).status,
        422
    );
}

// ---- State ----

/// Killed at any step of a change, hundreds of times: at the next start the version before serves or the one after,
/// and never one before the last that was answered.
#[test]
fn a_kill_at_any_moment_leaves_the_version_before_or_the_one_after() {
    let folder = temp_folder();
    let file = hosted_config("", "");
    let mut answered = 0_u64;
    let mut rng = 0x2545_f491_4f6c_dd1d_u64;
    let kills = 200;
    for round in 0..kills {
        let service = start_hosted_in(&folder, &file);
        let now = service.get("/v1/versions").body[0]["number"].as_u64().expect("a version");
        assert!(
            now == answered || now == answered + 1 || answered == 0,
            "round {round}: {answered} was answered, {now} serves"
        );
        assert!(!service.process.log().contains("state: "), "nothing is damaged: {}", service.process.log());
        if now > 1 {
            let weight = service.get("/v1/tenants/club").body["limits"]["weight"].as_u64();
            assert_eq!(weight, Some(now), "what serves is what the version holds");
        }
        answered = now;
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        let after = Duration::from_micros(rng % 12_000);
        let pid = service.process.pid();
        let killer = thread::spawn(move || {
            thread::sleep(after);
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        });
        for _ in 0..50 {
            let doc = tenant("club.example", &[unused_address()], json!({ "weight": answered + 1 }));
            match service.try_put("/v1/tenants/club", &doc) {
                Some(told) if told.status == 200 => {
                    answered = told.body["version"].as_u64().expect("a version")
                }
                _ => break,
            }
        }
        killer.join().expect("no panic");
    }
    assert!(answered > 20, "changes were made: {answered}");
    eprintln!("{kills} kills, {answered} versions");
}

/// A disk with no room: the change is refused and nothing has changed; with room again it is made.
#[test]
fn a_full_disk_refuses_changes_and_goes_on_serving() {
    let folder = temp_folder();
    let file = hosted_config("", "");
    let node = FixedLatencyEndpoint::start("n", Duration::ZERO).expect("a port");
    let doc = |i: u64| {
        let mut doc = tenant("club.example", &[node.address], json!({ "weight": i }));
        doc["config"]["expect"][0]["when"]["headers"] = json!({ "x-long": "x".repeat(200_000) });
        doc
    };
    // No file may grow past some megabytes; a write that would gets an error, as on a full disk.
    let service = start_hosted_with(&folder, &file, "trap '' XFSZ; ulimit -f 6000;");
    assert_eq!(service.put("/v1/tenants/club", &doc(1)).status, 200);
    let mut last = 1;
    let refused = (2..200).find_map(|i| {
        let told = service.put("/v1/tenants/club", &doc(i));
        if told.status == 200 {
            last = i;
            return None;
        }
        Some(told)
    });
    let refused = refused.expect("the disk is full at some time");
    assert_eq!(refused.status, 507, "{refused:?}");
    assert!(refused.body["error"].as_str().expect("an error text").contains("nothing has changed"));
    assert_eq!(service.get("/v1/tenants/club").body["limits"]["weight"], last);
    assert_eq!(service.request("club.example", "/x").status(), 200);
    drop(service);
    let service = start_hosted_in(&folder, &file);
    assert_eq!(service.get("/v1/tenants/club").body["limits"]["weight"], last, "{}", service.process.log());
    assert_eq!(service.put("/v1/tenants/club", &doc(500)).status, 200);
}

#[test]
fn damage_is_said_and_the_newest_good_version_serves() {
    let folder = temp_folder();
    let file = hosted_config("", "");
    let service = start_hosted_in(&folder, &file);
    for weight in 1..=4 {
        assert_eq!(
            service
                .put(
                    "/v1/tenants/club",
                    &tenant("club.example", &[unused_address()], json!({ "weight": weight }))
                )
                .status,
            200
        );
    }
    drop(service);
    let state = folder.join("state");
    let whole = std::fs::read(state.join("state.redb")).expect("there");
    std::fs::write(state.join("state.redb"), &whole[..whole.len() / 2]).expect("written");
    let service = start_hosted_in(&folder, &file);
    assert!(service.process.log().contains("set aside"), "{}", service.process.log());
    assert_eq!(service.get("/v1/tenants/club").body["limits"]["weight"], 4);
    assert_eq!(
        service
            .put("/v1/tenants/club", &tenant("club.example", &[unused_address()], json!({ "weight": 5 })))
            .body["version"],
        6
    );
}

#[test]
fn the_command_line_speaks_the_api() {
    let (service, [op, ..]) = guarded();
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberlever"));
        command.args(args).args(["--api", &service.admin_address.to_string()]).env("AMBERLEVER_TOKEN", &op);
        let output = command.output().expect("the program starts");
        let (out, err) = (
            String::from_utf8(output.stdout).expect("text"),
            String::from_utf8(output.stderr).expect("text"),
        );
        (output.status.success(), serde_json::from_str::<Value>(&out).unwrap_or(Value::Null), err)
    };
    let (good, said, _) = run(&["tenant", "limits", "one", "weight=3", "burst=7", "--why", "more & more"]);
    assert!(good, "{said}");
    let (_, versions, _) = run(&["config", "versions"]);
    assert_eq!((&versions[0]["why"], &versions[0]["who"]), (&json!("more & more"), &json!("op")));
    assert_eq!(run(&["tenant", "get", "one"]).1["limits"], json!({ "weight": 3, "burst": 7.0 }));
    run(&["tenant", "limits", "one", "burst=none"]);
    assert_eq!(run(&["tenant", "get", "one"]).1["limits"], json!({ "weight": 3 }));
    assert!(run(&["tenant", "node", "one", "p", "n0", "draining"]).0);
    assert_eq!(run(&["config", "get", "one"]).1["pool"][0]["nodes"][0]["state"], "draining");
    let (good, _, err) = run(&["tenant", "limits", "one", "weight=0", "--dry-run"]);
    assert!(
        !good && err.starts_with("amberlever: 422: tenant `one`: `weight`: 0 is not from 1 to 10000"),
        "{err}"
    );
    let file = service.process.path.with_file_name("new.toml");
    std::fs::write(&file, "hosts = [\"new.example\"]\n[config]\n").expect("written");
    assert!(run(&["tenant", "put", "new", file.to_str().expect("a path")]).0);
    assert_eq!(run(&["tenant", "list"]).1.as_array().map(Vec::len), Some(3));
    assert!(run(&["tenant", "delete", "new"]).0);
    assert!(run(&["config", "rollback", "3"]).0);
    assert_eq!(run(&["tenant", "get", "one"]).1["limits"], json!({}));
    assert!(run(&["token", "issue", "helper", "reader"]).1["token"].is_string());
    assert!(run(&["token", "revoke", "helper"]).0);
    assert!(!run(&["tenant", "get", "nobody"]).0);
}
