//! Tests of the section [bgp]: its values, and the diagnostics of each kind of invalid value.

use std::path::Path;

use config::load;

const VALID: &str = r#"[server]
listen = [{ address = "127.0.0.1:8080" }]
sockets = 256

[[class]]
name = "read"
aim_ms = 800
deadline_ms = 2000
semantics = "idempotent"

[[pool]]
name = "p"
nodes = [{ name = "n1", address = "127.0.0.1:7101" }]

[[route]]
name = "all"
match = { path = "/*" }
class = "read"
pool = "p"

[bgp]
as = 64512
router_id = "10.0.0.7"
api = "127.0.0.1:8083"
hold_time_s = 9
shutdown_text = "x"
probe = { every_ms = 250, path = "/healthz" }

[[bgp.peer]]
name = "tor-a"
address = "10.0.0.1:179"
as = 65001

[[bgp.address]]
prefix = "192.0.2.1/32"
pools = ["p"]
announce_share = 0.5
withdraw_share = 0.25
degrade_share = 0.8
degraded = { med = 200, prepend = 3 }
communities = ["64512:100"]
large_communities = ["64512:1:2"]
"#;

/// The diagnostics of a configuration, one line each.
fn reported(text: &str) -> Vec<String> {
    match load(Path::new("lb.toml"), &|_| Ok(text.to_owned())) {
        Ok(_) => Vec::new(),
        Err(diagnostics) => diagnostics.all().iter().map(ToString::to_string).collect(),
    }
}

/// Guards against values that are lost or change between the file and the speaker: communities, attributes of
/// a degraded address, damping and the session of a peer.
#[test]
fn valid_section_is_loaded_with_its_values() {
    let loaded = load(Path::new("lb.toml"), &|_| Ok(VALID.to_owned())).expect("valid configuration");
    let bgp = loaded.config.bgp.expect("section bgp");
    let address = &bgp.addresses[0];
    assert_eq!(address.attributes.communities, [64512 << 16 | 100]);
    assert_eq!((address.degraded.med, address.degraded.prepend), (Some(200), 3));
    assert_eq!(address.degraded.communities, address.attributes.communities);
    assert_eq!((address.damping.hold_up, address.damping.max_hold_up), (5_000_000, 120_000_000));
    assert_eq!((bgp.peers[0].settings.hold_s, bgp.peers[0].settings.peer_asn), (9, 65001));
}

/// Guards against an invalid section that is accepted: the speaker would announce addresses with wrong
/// attributes or not at all. Each case replaces one text of the valid file, and expects a diagnostic with a
/// position.
#[test]
fn invalid_section_is_reported_with_its_line() {
    let cases = [
        ("as = 64512", "as = 0", "`as`: 0 is a reserved AS number"),
        ("as = 64512", "as = 23456", "`as`: 23456 is a reserved AS number"),
        ("10.0.0.7", "0.0.0.0", "`router_id`: 0.0.0.0 is not a unicast address"),
        ("router_id", "router", "unknown field"),
        ("127.0.0.1:8083", "0.0.0.0:8083", "`api`: 0.0.0.0:8083 is not on loopback"),
        ("hold_time_s = 9", "hold_time_s = 2", "`hold_time_s`: 2 is too short"),
        ("hold_time_s = 9", "hold_time_s = 0", "`hold_time_s`: 0 is not from 1 to 65535"),
        ("hold_time_s = 9", "leave_ms = 99999999999", "`leave_ms`"),
        ("path = \"/healthz\"", "path = \"healthz\"", "`path`: \"healthz\" is not a path"),
        ("path = \"/healthz\"", "at_once = 65", "`at_once`: 65 is not from 1 to 64"),
        ("as = 65001", "as = 65001\npassive = true", "peer `tor-a`: `passive` needs `bgp.listen`"),
        ("10.0.0.1:179", "10.0.0.1", "`address`: \"10.0.0.1\" is no address"),
        ("192.0.2.1/32", "192.0.2.1", "`prefix`: \"192.0.2.1\" is not a prefix"),
        ("192.0.2.1/32", "192.0.2.1/24", "`prefix`: 192.0.2.1/24 has bits beyond its length"),
        ("192.0.2.1/32", "0.0.0.0/0", "`prefix`: 0.0.0.0/0 is not a unicast prefix"),
        ("192.0.2.1/32", "ff02::1/128", "`prefix`: ff02::1/128 is not a unicast prefix"),
        ("pools = [\"p\"]", "pools = []", "`pools`: the address has no pool"),
        ("pools = [\"p\"]", "pools = [\"q\"]", "there is no pool `q`"),
        ("withdraw_share = 0.25", "withdraw_share = 0.6", "`withdraw_share`: 0.6 is more than"),
        ("announce_share = 0.5", "announce_share = 1.5", "`announce_share`: 1.5 is not from 0 to 1"),
        ("degraded = { med = 200, prepend = 3 }", "", "`degrade_share`: needs `degraded`"),
        ("prepend = 3", "prepend = 33", "`prepend`: 33 is not from 0 to 32"),
        ("64512:100", "64512:65536", "`communities`: \"64512:65536\" is not a community"),
        ("64512:1:2", "64512:1", "`large_communities`: \"64512:1\" is not a community"),
        ("sockets = 256", "sockets = 64", "`sockets`: 64 are too few for 1 pools beside"),
    ];
    for (from, to, expected) in cases {
        assert!(VALID.contains(from), "{from}");
        let lines = reported(&VALID.replacen(from, to, 1));
        assert!(
            lines.iter().any(|line| line.contains(expected) && line.starts_with("lb.toml:")),
            "{expected}: {lines:?}"
        );
    }
    let twice =
        reported(&(VALID.to_owned() + "\n[[bgp.address]]\nprefix = \"192.0.2.1/32\"\npools = [\"p\"]\n"));
    assert!(twice[0].contains("`prefix`: 192.0.2.1/32 is listed twice"), "{twice:?}");
    let too_many_peers: String = (0..65)
        .map(|i| format!("\n[[bgp.peer]]\nname = \"x{i}\"\naddress = \"10.0.1.1:179\"\nas = 65001\n"))
        .collect();
    assert!(reported(&(VALID.replace("sockets = 256", "sockets = 4096") + &too_many_peers))[0]
        .contains("66 peers are more than 64"));
}
