//! The administration API: permissions, its OpenAPI document, and its stored state after kills and on full
//! disks.
#[path = "stubs/api.rs"]
mod api;
mod stubs;

use std::process::Command;
use std::thread;
use std::time::Duration;

use api::*;
use serde_json::{json, Value};
use stubs::*;

/// A new token and its hash, from the command line.
fn new_token() -> (String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_amberlever"))
        .args(["token", "new"])
        .output()
        .expect("the program starts");
    let stdout = String::from_utf8(output.stdout).expect("text");
    let part =
        |key: &str| stdout.lines().find_map(|l| l.strip_prefix(key)).expect("a line").trim().to_owned();
    (part("token:"), part("sha256:"))
}

/// Starts a service with the tenants `one` and `two`. Returns it with the tokens of an operator, an
/// administrator of `one`, and a reader of `two`.
fn start_with_tokens() -> (HostedService, [String; 3]) {
    let tokens = [new_token(), new_token(), new_token()];
    let sections = format!(
        "[[admin.token]]\nname = \"op\"\nrole = \"operator\"\nsha256 = \"{}\"\n[[admin.token]]\nname = \"adm\"\nrole = \"administrator\"\ntenant = \"one\"\nsha256 = \"{}\"\n[[admin.token]]\nname = \"read\"\nrole = \"reader\"\ntenant = \"two\"\nsha256 = \"{}\"\n",
        tokens[0].1, tokens[1].1, tokens[2].1
    );
    let service = start_hosted(&hosted_config("", &sections));
    let tokens = tokens.map(|(text, _)| text);
    for name in ["one", "two"] {
        let doc = tenant(&format!("{name}.example"), &[unused_address()], json!({}));
        let response =
            service.call("PUT", &format!("/v1/tenants/{name}"), Some(&tokens[0]), None, Some(&doc));
        assert_eq!(response.status, 200, "{response:?}");
    }
    (service, tokens)
}

#[test]
fn every_path_requires_a_token_with_permission() {
    let (service, [op, adm, read]) = start_with_tokens();
    let document = service.get("/v1/openapi.json");
    assert_eq!(document.status, 200, "the document needs no token");
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
        // Calls with a valid token do not count as failed attempts, which are limited for each address.
        let call = |tenant: &str, token: Option<&str>| {
            service.call(method, &fill(path, tenant), token, Some("\"x\""), Some(&json!({}))).status
        };
        let is_read = method == "GET";
        let is_for_operators = path.contains("versions") || path.contains("tokens");
        assert!(![401, 403].contains(&call("one", Some(&op))), "{method} {path}");
        if path.contains("{tenant}") {
            assert_eq!(call("two", Some(&adm)), 403, "{method} {path} of another tenant");
            let own = call("one", Some(&adm));
            let changes_limits = path.ends_with("/limits") || (path.ends_with("/{tenant}") && !is_read);
            assert_eq!(own == 403, changes_limits, "{method} {path} of its own tenant: {own}");
            assert_eq!(call("two", Some(&read)) == 403, !is_read, "{method} {path} of a reader");
            assert_eq!(call("one", Some(&read)), 403, "{method} {path} of a reader of another tenant");
        } else if is_for_operators {
            assert_eq!(call("one", Some(&adm)), 403, "{method} {path}");
            assert_eq!(call("one", Some(&read)), 403, "{method} {path}");
        } else {
            assert_eq!(call("one", Some(&adm)), 200, "{method} {path}");
        }
    }
    // A list contains only the tenants that the token may read.
    let listed = |token: &str| service.call("GET", "/v1/tenants", Some(token), None, None).body;
    assert_eq!(listed(&adm).as_array().map(Vec::len), Some(1));
    assert_eq!(listed(&read)[0]["name"], "two");
    assert_eq!(listed(&op).as_array().map(Vec::len), Some(2));
    // Without a token or with an invalid one each path is refused, with 429 after too many failed attempts.
    let mut statuses = Vec::new();
    for (i, (method, path)) in calls.iter().enumerate() {
        let wrong = [None, Some("wrong")][i % 2];
        statuses.push(service.call(method, &fill(path, "one"), wrong, None, None).status);
    }
    assert!(statuses[..10].iter().all(|s| *s == 401), "{statuses:?}");
    assert!(statuses[12..].contains(&429), "{statuses:?}");
    assert!(statuses.iter().all(|s| [401, 429].contains(s)), "{statuses:?}");
    let log = service.process.log();
    assert!(![&op, &adm, &read].iter().any(|t| log.contains(t.as_str())), "the log contains a token");
}

#[test]
fn a_token_is_returned_once_and_revocation_is_immediate() {
    let (service, [op, ..]) = start_with_tokens();
    let role = json!({ "name": "helper", "role": { "administrator": "one" } });
    let response = service.call("POST", "/v1/tokens", Some(&op), None, Some(&role));
    let helper = response.body["token"].as_str().expect("a token").to_owned();
    assert_eq!(
        service.call("POST", "/v1/tokens", Some(&op), None, Some(&role)).status,
        400,
        "the name is taken"
    );
    let status_with = |token: &str| service.call("GET", "/v1/tenants/one", Some(token), None, None).status;
    assert_eq!(status_with(&helper), 200);
    let listed = service.call("GET", "/v1/tokens", Some(&op), None, None).body.to_string();
    assert!(listed.contains("helper") && !listed.contains(&helper), "{listed}");
    let state = service.process.path.with_file_name("state");
    for file in std::fs::read_dir(state).expect("the folder exists") {
        let bytes = std::fs::read(file.expect("a file").path()).expect("readable");
        assert!(!bytes.windows(helper.len()).any(|w| w == helper.as_bytes()), "the token is stored as text");
    }
    assert_eq!(service.call("DELETE", "/v1/tokens/helper", Some(&op), None, None).status, 204);
    assert_eq!(status_with(&helper), 401);
    assert_eq!(
        service.call("DELETE", "/v1/tokens/op", Some(&op), None, None).status,
        404,
        "a token of the configuration file was revoked"
    );
}

#[test]
fn an_api_without_tokens_that_is_not_on_loopback_is_rejected() {
    let file = hosted_config("", "").replacen("listen = \"127.0.0.1:0\"", "listen = \"192.0.2.1:8081\"", 1);
    let (child, _) = spawn_standalone(&file, &[]);
    let output = child.wait_with_output().expect("the program exits");
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success());
    assert!(
        stderr.starts_with("amberlever: `admin.listen` is not on loopback and there is no token"),
        "{stderr}"
    );
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

/// Resolves the reference of a schema, if it is one.
fn resolve<'a>(document: &'a Value, schema: &'a Value) -> &'a Value {
    match schema["$ref"].as_str() {
        Some(path) => document.pointer(path.trim_start_matches('#')).expect("a schema"),
        None => schema,
    }
}

/// Checks a value against a schema. Supports the part of JSON Schema that the document uses.
fn check_schema(document: &Value, schema: &Value, value: &Value) -> Result<(), String> {
    let schema = resolve(document, schema);
    let error = |cause: &str| Err(format!("{value} does not match {schema}: {cause}"));
    for part in schema["allOf"].as_array().into_iter().flatten() {
        check_schema(document, part, value)?;
    }
    if let Some(any) = schema["oneOf"].as_array().or(schema["anyOf"].as_array()) {
        return if any.iter().any(|s| check_schema(document, s, value).is_ok()) {
            Ok(())
        } else {
            error("no alternative matches")
        };
    }
    let types: Vec<&str> = match &schema["type"] {
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
        return error("another type");
    }
    for key in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        if value.get(key).is_none() {
            return error(key);
        }
    }
    if let (Some(known), Some(fields)) = (schema["properties"].as_object(), value.as_object()) {
        for (key, field) in fields {
            match known.get(key) {
                Some(schema) => check_schema(document, schema, field)?,
                None if schema["additionalProperties"] == false => return error(key),
                None => {}
            }
        }
    }
    for entry in value.as_array().into_iter().flatten() {
        check_schema(document, &schema["items"], entry)?;
    }
    Ok(())
}

#[test]
fn responses_match_the_openapi_document() {
    let (service, [op, ..]) = start_with_tokens();
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
        let response = service.call(method, called, Some(&op), tag.as_deref(), body);
        assert_eq!(response.status, status, "{method} {called}: {response:?}");
        let response_document =
            &document["paths"][path][method.to_lowercase()]["responses"][status.to_string()];
        let schema = &response_document["content"]["application/json"]["schema"];
        assert!(!schema.is_null(), "{method} {path} {status} is not in the document");
        check_schema(&document, schema, &response.body)
            .unwrap_or_else(|error| panic!("{method} {called}: {error}"));
    }
    // Each path of the document exists, and a method that it does not list is refused.
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
fn invalid_requests_get_an_error_and_slow_ones_delay_no_other() {
    let (service, [op, ..]) = start_with_tokens();
    // Connections whose heads or bodies stay incomplete, fewer than the limit on connections.
    let mut slow: Vec<HttpClient> = (0..40)
        .map(|_| HttpClient::of(std::net::TcpStream::connect(service.admin_address).expect("connects")))
        .collect();
    for (i, client) in slow.iter_mut().enumerate() {
        let body = if i % 2 == 0 { "\r\n{" } else { "" };
        client.send(&format!("PUT /v1/tenants/one HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {op}\r\nContent-Type: application/json\r\nContent-Length: 100\r\n{body}"));
    }
    let response = service.call("PUT", "/v1/tenants/one", Some(&op), None, Some(&json!([])));
    assert_eq!(response.status, 422);
    assert!(response.body["error"].is_string());
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

/// Kills the service at random times during changes, 200 times. The next start serves the last version that
/// was confirmed or the next one, and never an older version.
#[test]
fn a_kill_during_a_change_leaves_the_previous_or_the_new_version() {
    let folder = temp_folder();
    let file = hosted_config("", "");
    let mut confirmed = 0_u64;
    let mut rng = 0x2545_f491_4f6c_dd1d_u64;
    let kills = 200;
    for round in 0..kills {
        let service = start_hosted_in(&folder, &file);
        let now = service.get("/v1/versions").body[0]["number"].as_u64().expect("a version");
        assert!(
            now == confirmed || now == confirmed + 1 || confirmed == 0,
            "round {round}: {confirmed} was confirmed, {now} is served"
        );
        assert!(
            !service.process.log().contains("state: "),
            "the stored state is reported as damaged: {}",
            service.process.log()
        );
        if now > 1 {
            let weight = service.get("/v1/tenants/club").body["limits"]["weight"].as_u64();
            assert_eq!(weight, Some(now), "the served document is not that of the version");
        }
        confirmed = now;
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        let kill_after = Duration::from_micros(rng % 12_000);
        let pid = service.process.pid();
        let killer = thread::spawn(move || {
            thread::sleep(kill_after);
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        });
        for _ in 0..50 {
            let doc = tenant("club.example", &[unused_address()], json!({ "weight": confirmed + 1 }));
            match service.try_put("/v1/tenants/club", &doc) {
                Some(response) if response.status == 200 => {
                    confirmed = response.body["version"].as_u64().expect("a version")
                }
                _ => break,
            }
        }
        killer.join().expect("no panic");
    }
    assert!(confirmed > 20, "too few changes were made: {confirmed}");
    eprintln!("{kills} kills, {confirmed} versions");
}

/// On a full disk a change is refused and changes nothing. Once there is space again, it succeeds.
#[test]
fn on_a_full_disk_changes_are_refused_and_requests_are_served() {
    let folder = temp_folder();
    let file = hosted_config("", "");
    let endpoint = FixedLatencyEndpoint::start("n", Duration::ZERO).expect("a port");
    let doc = |i: u64| {
        let mut doc = tenant("club.example", &[endpoint.address], json!({ "weight": i }));
        doc["config"]["expect"][0]["when"]["headers"] = json!({ "x-long": "x".repeat(200_000) });
        doc
    };
    // Files are limited to some megabytes. A write beyond that fails, as on a full disk.
    let service = start_hosted_with(&folder, &file, "trap '' XFSZ; ulimit -f 6000;");
    assert_eq!(service.put("/v1/tenants/club", &doc(1)).status, 200);
    let mut last = 1;
    let refusal = (2..200).find_map(|i| {
        let response = service.put("/v1/tenants/club", &doc(i));
        if response.status == 200 {
            last = i;
            return None;
        }
        Some(response)
    });
    let refusal = refusal.expect("the disk never becomes full");
    assert_eq!(refusal.status, 507, "{refusal:?}");
    assert!(refusal.body["error"].as_str().expect("an error text").contains("nothing has changed"));
    assert_eq!(service.get("/v1/tenants/club").body["limits"]["weight"], last);
    assert_eq!(service.request("club.example", "/x").status(), 200);
    drop(service);
    let service = start_hosted_in(&folder, &file);
    assert_eq!(service.get("/v1/tenants/club").body["limits"]["weight"], last, "{}", service.process.log());
    assert_eq!(service.put("/v1/tenants/club", &doc(500)).status, 200);
}

#[test]
fn a_damaged_store_is_logged_and_the_newest_intact_version_is_served() {
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
    let intact = std::fs::read(state.join("state.redb")).expect("the file exists");
    std::fs::write(state.join("state.redb"), &intact[..intact.len() / 2]).expect("written");
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
fn the_command_line_uses_the_api() {
    let (service, [op, ..]) = start_with_tokens();
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
    let (succeeded, output, _) =
        run(&["tenant", "limits", "one", "weight=3", "burst=7", "--why", "more & more"]);
    assert!(succeeded, "{output}");
    let (_, versions, _) = run(&["config", "versions"]);
    assert_eq!((&versions[0]["why"], &versions[0]["who"]), (&json!("more & more"), &json!("op")));
    assert_eq!(run(&["tenant", "get", "one"]).1["limits"], json!({ "weight": 3, "burst": 7.0 }));
    run(&["tenant", "limits", "one", "burst=none"]);
    assert_eq!(run(&["tenant", "get", "one"]).1["limits"], json!({ "weight": 3 }));
    assert!(run(&["tenant", "node", "one", "p", "n0", "draining"]).0);
    assert_eq!(run(&["config", "get", "one"]).1["pool"][0]["nodes"][0]["state"], "draining");
    let (succeeded, _, err) = run(&["tenant", "limits", "one", "weight=0", "--dry-run"]);
    assert!(
        !succeeded && err.starts_with("amberlever: 422: tenant `one`: `weight`: 0 is not from 1 to 10000"),
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
