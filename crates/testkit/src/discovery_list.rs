//! Endpoint lists in the platform's JSON form.

use std::net::SocketAddr;

/// Encodes one endpoint of a list. `health` is `SERVING`, `DRAINING` or another state of the platform.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"here","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// Encodes a list with version `seq`: all endpoints if `whole` is set, otherwise only the changed ones.
pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}
