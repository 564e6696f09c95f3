//! Endpoint lists in the platform's JSON form.

use std::net::SocketAddr;

/// One endpoint of a list. `health` is `SERVING`, `DRAINING` or another state of the platform.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"here","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list of this version: all endpoints if `whole`, else the changed ones.
pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}
