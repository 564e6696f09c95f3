//! Guards the texts of diagnostics, which are the operators' interface. Files with every section are damaged
//! at each place, and the digests of all diagnostics must equal the recorded ones.

use std::path::Path;

use config::{load, HostedSettings};

const STANDALONE: &str = r#"[server]
listen = [{ address = "127.0.0.1:8080", zone = "south", zone_header = "x-zone" }, { address = "127.0.0.1:8081", protocol = "json-rpc", framing = "line", calls = 8, host = "rpc.example" }]
zone = "south"
sockets = 4096
proxies = { count = 4, rank = 1 }
tenants = ["kpks"]
expectations = ["expect.toml"]
keys = { entries = 10, bytes = 1000 }

[limits]
attempts = 3
connect_timeout_ms = 1000
keep_alive_ms = 30000
drain_grace_ms = 1000
retry_after_ms = 2000
cold_ms = 10000
cold_from = 0.2
cross_zone_price = 0.05
body_bytes = 65536

[knowledge]
folder = "state"
every_s = 10
files = 4

[operators]
listen = "127.0.0.1:8082"
folder = "overrides"

[members]
key = "key"
timeout_ms = "_meta.timeoutMs"
tenant = "_meta.tenant"
class = "_meta.class"
id = "_meta.requestId"

[[method]]
name = "report"
class = "report"
verb = "POST"
path = "/report/{table}"

[[class]]
name = "standings"
aim_ms = 800
deadline_ms = 2000
worth = 2.0
late_worth = 0.5
semantics = "idempotent"

[[class]]
name = "report"
aim_ms = 500
deadline_ms = 1000
semantics = "deduplicated"
dedup_group = "zone"
dedup_window_ms = 60000

[[pool]]
name = "pairings"
share = 3
nodes = [{ name = "n1", address = "127.0.0.1:7101", kind = "m", cell = 4, weight = 2.0, state = "draining" }]

[[pool]]
name = "archive"
protocol = "json-rpc"
framing = "content-length"
calls = 4
cancel = "cancel"
nodes = [{ name = "a1", address = "127.0.0.1:7102", zone = "north", state = "ready" }]

[[pool]]
name = "found"
discovery = "127.0.0.1:7103"

[[route]]
name = "standings"
match = { host = "*.example", path = "/standings/{event}", methods = ["GET"], headers = { x-app = "judge" }, class = "standings", tenant = "kpks", zones = ["south"] }
class = "standings"
split = { by = "path:event", pools = [{ pool = "pairings", weight = 3 }, { pool = "found", weight = 1 }] }
nodes = { zones = ["south"], kinds = ["m"], cells = [4] }
fallback = [{ pool = "archive", when = ["none-ready", "refused"] }]

[[route]]
name = "report"
match = { path = "/report/*" }
class = "report"
pool = "pairings"

[bgp]
as = 64512
router_id = "10.0.0.7"
listen = "10.0.0.7:179"
api = "127.0.0.1:8083"
dry_run = false
hold_time_s = 9
retry_ms = 5000
retry_most_ms = 60000
leave_ms = 5000
shutdown_text = "x"
list_old_s = 30
stuck_ms = 2000
memory_mb = 512
probe = { every_ms = 250, timeout_ms = 250, failures = 2, at_once = 16, path = "/healthz" }

[[bgp.peer]]
name = "tor-a"
address = "10.0.0.1:179"
as = 65001
passive = true
source = "10.0.0.7"
next_hop_v4 = "10.0.0.7"

[[bgp.address]]
prefix = "192.0.2.1/32"
pools = ["pairings"]
announce_share = 0.5
withdraw_share = 0.25
degrade_share = 0.3
least_nodes = 1
hold_up_ms = 5000
hold_up_most_ms = 120000
half_life_ms = 60000
med = 10
communities = ["64512:100"]
large_communities = ["64512:1:2"]
degraded = { med = 200, prepend = 3 }
"#;

const EXPECTATIONS: &str = r#"[[expect]]
name = "served"
given = { draining = ["pairings/n1"], lost_zones = ["north"], nodes = [{ pool = "found", name = "f1", zone = "south", kind = "m", cell = 4 }] }
when = { zone = "south", method = "GET", host = "a.example", path = "/standings/1", headers = { X-App = "judge" }, class = "standings", tenant = "kpks" }
then = { route = "standings", pool = "pairings", class = "standings", stays_in = ["south"], never_in = ["north"] }
only_then = true
"#;

const HOSTED: &str = r#"[server]
listen = [{ address = "127.0.0.1:8080" }]
zone = "south"
sockets = 4096
proxies = { count = 1, rank = 0 }
capacity = { requests_per_s = 1000.0, in_flight = 100, body_bytes = 1000000 }
keys = { entries = 10, bytes = 1000 }

[operators]
listen = "127.0.0.1:8082"

[admin]
listen = "127.0.0.1:8084"
state = "state"

[[admin.token]]
name = "root"
role = "administrator"
tenant = "kpks"
sha256 = "0000000000000000000000000000000000000000000000000000000000000000"

[[tenant]]
name = "kpks"
hosts = ["kpks.example"]
limits = { weight = 2, requests_per_s = 10.0 }
file = "kpks.toml"
"#;

const WRONG_VALUES: [&str; 9] =
    ["7", "-1", "1e12", "true", "\"zz\"", "\"\"", "[]", "{}", "[\"pairings\", \"pairings\"]"];

/// Variants of a text with one damage each: a wrong value after a `=`, a misspelt key, or a line that is
/// removed, duplicated or replaced.
fn damaged_variants(text: &str) -> Vec<String> {
    let mut all = Vec::new();
    for (at, _) in text.match_indices(" = ") {
        let start = at + " = ".len();
        let end = text[start..].find(['\n', ',', '}']).map_or(text.len(), |length| start + length);
        all.extend(WRONG_VALUES.map(|value| format!("{}{value}{}", &text[..start], &text[end..])));
        all.push(format!("{}x{}", &text[..at], &text[at..]));
    }
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        let end = start + line.len();
        all.push(format!("{}{}", &text[..start], &text[end..]));
        all.push(format!("{}{line}{}", &text[..end], &text[end..]));
        all.push(format!("{}7\n{}", &text[..start], &text[end..]));
        start = end;
    }
    all
}

/// The FNV-1a hash of all reported texts of a set of files, and the number of these texts.
#[derive(Default, Debug, PartialEq)]
struct Digest {
    hash: u64,
    diagnostics: usize,
}

impl Digest {
    fn add(&mut self, text: &str) {
        if self.diagnostics == 0 {
            self.hash = 0xcbf2_9ce4_8422_2325;
        }
        for byte in text.bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
        self.diagnostics += 1;
    }
}

fn read(path: &Path, config: &str, expectations: &str) -> Result<String, String> {
    match path.file_name().and_then(|name| name.to_str()) {
        Some("lb.toml") => Ok(config.to_owned()),
        Some("expect.toml") => Ok(expectations.to_owned()),
        Some("kpks.toml") => Ok("[[pool]]\nname = \"p\"\n".to_owned()),
        _ => Err("no such file".to_owned()),
    }
}

fn digest_of_standalone(config: &str, expectations: &str, digest: &mut Digest) {
    if let Err(reported) = load(Path::new("etc/lb.toml"), &|path| read(path, config, expectations)) {
        digest.add(&reported.to_string());
        for diagnostic in reported.all() {
            digest.add(&diagnostic.to_string());
            digest.add(&serde_json::to_string(diagnostic).expect("JSON"));
        }
    }
}

/// The recorded digests of standalone files, expectation files and hosted files.
const RECORDED: [Digest; 3] = [
    Digest { hash: 6_904_655_971_606_890_904, diagnostics: 5040 },
    Digest { hash: 16_782_088_004_297_292_500, diagnostics: 763 },
    Digest { hash: 17_541_549_488_457_456_575, diagnostics: 314 },
];

/// Guards against unintended changes of any text, position or order of diagnostics.
#[test]
fn diagnostics_of_damaged_files_keep_their_texts() {
    let mut standalone = Digest::default();
    for config in damaged_variants(STANDALONE) {
        digest_of_standalone(&config, EXPECTATIONS, &mut standalone);
    }
    let mut expectations = Digest::default();
    for text in damaged_variants(EXPECTATIONS) {
        digest_of_standalone(STANDALONE, &text, &mut expectations);
    }
    let mut hosted = Digest::default();
    for config in damaged_variants(HOSTED) {
        if let Err(reported) = HostedSettings::load(Path::new("etc/lb.toml"), &|path| read(path, &config, ""))
        {
            reported.all().iter().for_each(|diagnostic| hosted.add(&diagnostic.to_string()));
        }
    }
    let digests = [standalone, expectations, hosted];
    assert_eq!(digests, RECORDED);
}

/// Guards the digests against files that are invalid without any damage.
#[test]
fn undamaged_files_have_no_diagnostics() {
    let standalone = load(Path::new("etc/lb.toml"), &|path| read(path, STANDALONE, EXPECTATIONS));
    assert_eq!(standalone.err().map(|reported| reported.to_string()), None);
    let hosted = HostedSettings::load(Path::new("etc/lb.toml"), &|path| read(path, HOSTED, ""));
    assert_eq!(hosted.err().map(|reported| reported.to_string()), None);
}
