//! Stored files of commit ad41793, in `tests/data`: every field is read with the value that was written, and
//! the same bytes are written again.
#[path = "stubs/api.rs"]
mod api;
#[path = "stubs/stored.rs"]
mod stored;
mod stubs;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

use api::*;
use learned_state::{LearnedSnapshot, SkippedSections};
use serde_json::json;
use store::{DiskStore, OpenedStore, Record, VersionStore};
use stubs::*;

const EVERY_FIELD: &str = "every-field.known";
const LEARNED_FOLDER_FILE: &str = "learned/00000000000000000003.known";
const HANDOVER_FILE: &str = "amberlever.learned";
const MAINTENANCE: &str = "amberlever.maintenance";
const VERSION_FILES: [&str; 3] = ["state.redb", "recent-0", "recent-1"];

fn data(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "data", name].iter().collect()
}

fn bytes(name: &str) -> Vec<u8> {
    fs::read(data(name)).expect("a file of tests/data")
}

fn text(name: &str) -> String {
    String::from_utf8(bytes(name)).expect("text")
}

/// Copies a file into a folder under the same name.
fn copy(name: &str, folder: &Path) -> PathBuf {
    let original = data(name);
    let copied = folder.join(original.file_name().expect("a name"));
    fs::create_dir_all(folder).expect("made");
    // The permissions are not copied, because a checkout may have made the file read-only.
    fs::write(&copied, fs::read(original).expect("a file of tests/data")).expect("copied");
    copied
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

// ---- Learned state ----

/// Checks that a file is decoded to the expected state, field by field, and encoded to the same bytes.
#[track_caller]
fn assert_holds(name: &str, expected: &LearnedSnapshot) {
    let bytes = bytes(name);
    let (read, skipped) = learned_state::decode(&bytes).expect("readable");
    assert_eq!(skipped, SkippedSections::default(), "{name}");
    assert_eq!(&read, expected, "{name}");
    assert!(learned_state::encode(&read) == bytes, "{name} is written as other bytes");
    assert!(learned_state::encode(expected) == bytes, "{name} is written as other bytes");
}

#[test]
fn learned_state_is_read_field_by_field_and_written_as_the_same_bytes() {
    assert_holds(EVERY_FIELD, &stored::every_field());
    assert_holds(LEARNED_FOLDER_FILE, &stored::learned_folder_file());
    assert_holds(HANDOVER_FILE, &stored::handover_file());
}

#[test]
fn the_program_shows_learned_state_with_unchanged_text() {
    let show = |format: &str, name: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberlever"));
        command.env_remove("LB_CONFIG").args(["state", "--format", format, "show"]).arg(data(name));
        let output = command.output().expect("the program starts");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    assert_eq!(show("text", EVERY_FIELD), text("shown/every-field.txt"));
    assert_eq!(show("json", EVERY_FIELD), text("shown/every-field.json"));
    assert_eq!(show("json", LEARNED_FOLDER_FILE), text("shown/learned.json"));
    assert_eq!(show("json", HANDOVER_FILE), text("shown/amberlever.learned.json"));
}

/// A configuration with the pools, classes and endpoints of `LEARNED_FOLDER_FILE`.
fn two_pools(folder: &Path) -> String {
    let address = unused_address();
    let class = |name: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\naim_ms = 1000\ndeadline_ms = 2000\nsemantics = \"idempotent\"\n"
        )
    };
    let entry = |name: &str, zone: &str| {
        format!("{{ name = \"{name}\", address = \"{address}\", zone = \"{zone}\" }}")
    };
    let near = [entry("n0", "south"), entry("n1", "north"), entry("n2", "north")].join(", ");
    format!(
        r#"[server]
listen = [{{ address = "127.0.0.1:0" }}]
zone = "south"
[knowledge]
folder = {folder:?}
every_s = 3600
{}{}[[pool]]
name = "near"
nodes = [{near}]
[[pool]]
name = "far"
nodes = [{}]
[[route]]
name = "near"
match = {{ path = "/a/*" }}
class = "read"
pool = "near"
[[route]]
name = "far"
match = {{ path = "/b/*" }}
class = "read"
pool = "far"
"#,
        class("read"),
        class("write"),
        entry("n0", "south"),
    )
}

/// Starts a proxy with a folder and stops it without a request. Returns the log and the state that it wrote
/// to the file `written`.
fn start_and_stop(folder: &Path, written: &str) -> (String, LearnedSnapshot) {
    let mut proxy = start_standalone(&two_pools(folder), &[]);
    proxy.terminate();
    assert!(proxy.wait_for_exit().success());
    let bytes = fs::read(folder.join(written)).expect("a file with the next number");
    let (written_state, skipped) = learned_state::decode(&bytes).expect("intact");
    assert_eq!(skipped, SkippedSections::default());
    (proxy.log(), written_state)
}

/// The samples of an endpoint in the class `read`.
fn samples(learned: &LearnedSnapshot, pool: &str, endpoint: &str) -> f64 {
    let pool = learned.pools.iter().find(|p| p.name == pool).expect("the pool");
    let class = pool.classes.iter().position(|class| class == "read").expect("the class");
    pool.endpoints.iter().find(|e| e.name == endpoint).expect("the endpoint").latency_by_class[class].weight
}

#[test]
fn a_proxy_starts_with_the_learned_state_of_its_folder() {
    let folder = temp_folder().join("learned");
    let stored_file = copy(LEARNED_FOLDER_FILE, &folder);
    let (log, _) = start_and_stop(&folder, "00000000000000000004.known");
    // The log depends on the age of the file: the older it is, the lower its weight.
    let is_read =
        ["learned state: written ", "learned state: very old"].iter().any(|words| log.contains(words));
    assert!(is_read && !log.contains("in part"), "{log}");
    assert!(
        fs::read(&stored_file).expect("readable") == bytes(LEARNED_FOLDER_FILE),
        "the stored file was changed"
    );
    // The same state with the current time of writing.
    let written_ms = Some(unix_ms());
    let current_state = LearnedSnapshot {
        written_ms,
        ..learned_state::decode(&bytes(LEARNED_FOLDER_FILE)).expect("readable").0
    };
    fs::write(folder.join("00000000000000000005.known"), learned_state::encode(&current_state))
        .expect("written");
    let (log, written_state) = start_and_stop(&folder, "00000000000000000006.known");
    assert!(log.contains("learned state: written "), "{log}");
    for (pool, endpoint) in [("near", "n0"), ("far", "n0")] {
        let (stored_samples, imported_samples) =
            (samples(&current_state, pool, endpoint), samples(&written_state, pool, endpoint));
        assert!(
            stored_samples > 50.0 && imported_samples > 1.0 && imported_samples <= stored_samples,
            "{pool}/{endpoint}: {stored_samples}, then {imported_samples}"
        );
    }
    assert!(samples(&written_state, "near", "n1") < 1.0, "samples of an endpoint without requests");
}

// ---- The handover to the next process in platform mode ----

#[test]
fn a_process_takes_over_learned_state_and_maintenance() {
    let endpoints: Vec<MockEndpoint> = (0..2).map(|_| MockEndpoint::of(|_| ok("done"))).collect();
    let (discovery, listener) = (MockDiscovery::new(), InheritedListener::new());
    let config = with_operators_address(
        &Setup::with_endpoints(&endpoints.iter().collect::<Vec<_>>()).config(discovery.address),
    );
    copy(HANDOVER_FILE, &listener.folder);
    let maintenance = copy(MAINTENANCE, &listener.folder);
    let process = listener.start(&config);
    let log = process.log();
    let is_read =
        ["learned state: written ", "learned state: very old"].iter().any(|words| log.contains(words));
    assert!(is_read && !log.contains("ignoring"), "{log}");
    assert!(log.contains("maintenance: 1 endpoints were drained in an earlier process"), "{log}");
    for i in 0..10 {
        assert_eq!(process.request(&read(&format!("r-{i}"), 5000)).status(), 200);
    }
    assert_eq!(endpoints.iter().map(|n| n.requests().len()).collect::<Vec<_>>(), [10, 0]);
    // The endpoint is in maintenance already, so the file is unchanged.
    assert_eq!(process.operator_request("POST", "/maintenance/enter", "s-1").0, 200);
    assert_eq!(fs::read_to_string(&maintenance).expect("readable"), text(MAINTENANCE));
    assert_eq!(text(MAINTENANCE), "amberlever-maintenance 1 29c25ce6\n-s-1\n+s-0\n+s-1\n");
}

// ---- Versions ----

const NOTHING: &str = r#"{"tenants":{}}"#;
const ONE: &str = r#"{"tenants":{"one":{"hosts":["one.example"],"limits":{"requests_per_s":50.0,"burst":5.0},"config":{"class":[{"aim_ms":4000,"deadline_ms":4000,"name":"standings","semantics":"idempotent"}],"expect":[{"name":"served","then":{"pool":"p"},"when":{"host":"one.example","path":"/x"}}],"pool":[{"name":"p","nodes":[{"address":"127.0.0.1:7101","name":"n0"},{"address":"127.0.0.1:7102","name":"n1"}]}],"route":[{"class":"standings","match":{"path":"/*"},"name":"r","pool":"p"}]}}}}"#;
const BOTH: &str = r#"{"tenants":{"one":{"hosts":["one.example"],"limits":{"requests_per_s":50.0,"burst":5.0},"config":{"class":[{"aim_ms":4000,"deadline_ms":4000,"name":"standings","semantics":"idempotent"}],"expect":[{"name":"served","then":{"pool":"p"},"when":{"host":"one.example","path":"/x"}}],"pool":[{"name":"p","nodes":[{"address":"127.0.0.1:7101","name":"n0"},{"address":"127.0.0.1:7102","name":"n1"}]}],"route":[{"class":"standings","match":{"path":"/*"},"name":"r","pool":"p"}]}},"two":{"hosts":["*.two.example"],"limits":{},"config":{"class":[{"aim_ms":4000,"deadline_ms":4000,"name":"standings","semantics":"idempotent"}],"expect":[{"name":"served","then":{"pool":"p"},"when":{"host":"a.two.example","path":"/x"}}],"pool":[{"name":"p","nodes":[{"address":"127.0.0.1:7103","name":"n0"}]}],"route":[{"class":"standings","match":{"path":"/*"},"name":"r","pool":"p"}]}}}}"#;
const BOTH_WITH_LIMITS: &str = r#"{"tenants":{"one":{"hosts":["one.example"],"limits":{"weight":2,"requests_per_s":60.5,"burst":7.0,"in_flight":9,"connections":11,"body_bytes":70000,"retries_per_s":0.25},"config":{"class":[{"aim_ms":4000,"deadline_ms":4000,"name":"standings","semantics":"idempotent"}],"expect":[{"name":"served","then":{"pool":"p"},"when":{"host":"one.example","path":"/x"}}],"pool":[{"name":"p","nodes":[{"address":"127.0.0.1:7101","name":"n0"},{"address":"127.0.0.1:7102","name":"n1"}]}],"route":[{"class":"standings","match":{"path":"/*"},"name":"r","pool":"p"}]}},"two":{"hosts":["*.two.example"],"limits":{},"config":{"class":[{"aim_ms":4000,"deadline_ms":4000,"name":"standings","semantics":"idempotent"}],"expect":[{"name":"served","then":{"pool":"p"},"when":{"host":"a.two.example","path":"/x"}}],"pool":[{"name":"p","nodes":[{"address":"127.0.0.1:7103","name":"n0"}]}],"route":[{"class":"standings","match":{"path":"/*"},"name":"r","pool":"p"}]}}}}"#;
const ONE_WITH_LIMITS: &str = r#"{"tenants":{"one":{"hosts":["one.example"],"limits":{"weight":2,"requests_per_s":60.5,"burst":7.0,"in_flight":9,"connections":11,"body_bytes":70000,"retries_per_s":0.25},"config":{"class":[{"aim_ms":4000,"deadline_ms":4000,"name":"standings","semantics":"idempotent"}],"expect":[{"name":"served","then":{"pool":"p"},"when":{"host":"one.example","path":"/x"}}],"pool":[{"name":"p","nodes":[{"address":"127.0.0.1:7101","name":"n0"},{"address":"127.0.0.1:7102","name":"n1"}]}],"route":[{"class":"standings","match":{"path":"/*"},"name":"r","pool":"p"}]}}}}"#;
/// The stored value `tokens`: the hashes of the four tokens that were issued.
const TOKENS: &str = r#"[{"name":"op","role":"operator","sha256":[194,97,20,228,57,174,205,155,14,24,66,103,55,174,3,224,65,9,75,80,84,88,195,231,165,144,156,63,185,125,216,216]},{"name":"adm","role":{"administrator":"one"},"sha256":[185,92,27,108,71,187,40,94,148,196,201,1,172,148,203,30,66,230,183,171,215,119,206,95,161,50,98,7,134,180,223,81]},{"name":"read","role":{"reader":null},"sha256":[67,57,163,170,141,169,184,188,252,103,79,141,113,39,83,81,106,5,189,84,51,47,119,122,191,245,214,200,81,77,242,234]},{"name":"reads","role":{"reader":"one"},"sha256":[214,247,10,144,23,99,123,56,80,222,172,97,41,2,118,193,210,40,235,88,54,102,255,240,65,137,186,157,26,121,198,220]}]"#;

/// The tokens themselves, which no other installation accepts: of the operator, of the administrator of
/// tenant `one`, of a reader of all tenants, and of a reader of tenant `one`.
const BEARERS: [&str; 4] = [
    "5b633c61ab25050ade0b9535c3e1de1661a2841bd401f6495e95fdf03e3c5fd1",
    "236f4bf4132e645bfacd806ec121fde72210d7e0c9474689ed09aeefcd402f16",
    "6a8bca6266d2a72e55b93a1d298ee3dbfc8bc0b6b9457fbd7bac2bcbe9856e3e",
    "3d5a74b278cf4662bca2d0520db76d03d6cd74ff57a6ff0f326af3e9c4edfad4",
];

/// All versions, the oldest first.
fn versions() -> Vec<Record> {
    let record = |number, at_ms, who: &str, why: &str, body: &str| Record {
        number,
        at_ms,
        who: who.to_owned(),
        why: why.to_owned(),
        body: body.to_owned(),
    };
    vec![
        record(1, 1_796_284_439_690, "file", "the first start", NOTHING),
        record(2, 1_796_284_439_700, "local", "", ONE),
        record(3, 1_796_284_439_704, "local", "a second", BOTH),
        record(4, 1_796_284_439_708, "local", "", BOTH_WITH_LIMITS),
        record(5, 1_796_284_439_711, "local", "", ONE_WITH_LIMITS),
    ]
}

/// A folder with copies of these files.
fn state_with(files: &[&str]) -> PathBuf {
    let folder = temp_folder();
    for name in files {
        copy(&format!("versions/{name}"), &folder.join("state"));
    }
    folder
}

#[test]
fn versions_and_values_are_read_field_by_field() {
    let OpenedStore { disk, newest, warnings } =
        DiskStore::open(&state_with(&VERSION_FILES).join("state")).expect("opens");
    let all = versions();
    assert_eq!(warnings, Vec::<String>::new());
    assert_eq!(newest.as_ref(), all.last());
    assert_eq!((0..7).filter_map(|number| disk.get(number)).collect::<Vec<_>>(), all);
    let heads = |most: usize| {
        let newest_first = all.iter().rev().take(most);
        newest_first.map(|r| Record { body: String::new(), ..r.clone() }).collect::<Vec<_>>()
    };
    assert_eq!(disk.list(10), heads(10));
    assert_eq!(disk.list(2), heads(2));
    assert_eq!(disk.value("tokens").as_deref(), Some(TOKENS));
    assert_eq!(disk.value("another"), None);
}

/// The documents contain every limit of a tenant, and the tokens every role.
#[test]
fn documents_and_tokens_are_written_as_the_same_text() {
    for version in versions() {
        let document: config::Document = serde_json::from_str(&version.body).expect("a document");
        assert_eq!(serde_json::to_string(&document).expect("JSON"), version.body, "{}", version.number);
    }
    let tokens: Vec<config::Token> = serde_json::from_str(TOKENS).expect("tokens");
    assert_eq!(serde_json::to_string(&tokens).expect("JSON"), TOKENS);
}

#[test]
fn the_files_beside_the_store_are_read_and_written_as_the_same_bytes() {
    let all = versions();
    for (name, version) in [("recent-0", &all[3]), ("recent-1", &all[4])] {
        let bytes = bytes(&format!("versions/{name}"));
        assert_eq!(Record::decode(&bytes).as_ref(), Some(version), "{name}");
        assert!(version.encode() == bytes, "{name} is written as other bytes");
        // The file is used when the store is lost.
        let OpenedStore { newest, warnings, .. } =
            DiskStore::open(&state_with(&[name]).join("state")).expect("opens");
        assert_eq!(newest.as_ref(), Some(version));
        assert_eq!(warnings, [format!("version {} was found beside the store", version.number)]);
    }
}

#[test]
fn a_hosted_service_starts_with_the_stored_versions_and_tokens() {
    let service = start_hosted_in(&state_with(&VERSION_FILES), &hosted_config("", ""));
    let get = |path: &str, token: &str| service.call("GET", path, Some(token), None, None);
    let [operator, administrator, reader, own_reader] = BEARERS;
    let listed = get("/v1/versions", operator);
    let numbers = |response: &ApiResponse| -> Vec<u64> {
        let all = response.body.as_array().into_iter().flatten();
        all.filter_map(|version| version["number"].as_u64()).collect()
    };
    assert_eq!((listed.status, numbers(&listed)), (200, vec![5, 4, 3, 2, 1]), "{listed:?}");
    let tokens = json!([
        { "name": "op", "role": "operator" },
        { "name": "adm", "role": { "administrator": "one" } },
        { "name": "read", "role": { "reader": null } },
        { "name": "reads", "role": { "reader": "one" } },
    ]);
    assert_eq!(get("/v1/tokens", operator).body, tokens);
    let statuses = |path: &str| [administrator, reader, own_reader].map(|token| get(path, token).status);
    assert_eq!(statuses("/v1/tenants/one"), [200, 200, 200]);
    assert_eq!(statuses("/v1/tenants/two"), [403, 404, 403], "the tenant was removed in version 5");
    assert_eq!(statuses("/v1/versions"), [403, 200, 403]);
    let expected: serde_json::Value = serde_json::from_str(ONE_WITH_LIMITS).expect("JSON");
    for part in ["hosts", "limits", "config"] {
        let response = &get("/v1/tenants/one", operator).body[part];
        assert_eq!(response, &expected["tenants"]["one"][part], "{part}");
    }
    assert_eq!(service.get("/v1/tenants/one").status, 401, "a call without a token was accepted");
    assert!(!service.process.log().contains("damaged"), "{}", service.process.log());
}
