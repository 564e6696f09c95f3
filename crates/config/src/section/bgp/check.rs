//! The check of the speaker, its peers and its health checks.

use std::time::Duration;

use super::{Bgp, BgpFile, BgpPeer, HealthCheckFile, PeerFile};
use crate::checker::{Checker, NameIndex};

const MICROS_PER_MS: i64 = 1_000;
const MAX_PEERS: usize = 64;
/// The reserved AS numbers: 0, AS_TRANS, and the last numbers of 16 and of 32 bits.
const RESERVED_AS_NUMBERS: [u32; 4] = [0, 23456, 65535, u32::MAX];

const DEFAULT_HOLD_TIME_S: usize = 9;
const MAX_HOLD_TIME_S: usize = 65_535;
/// The minimum hold time of RFC 4271.
const MIN_HOLD_TIME_S: usize = 3;
const DEFAULT_RETRY_MS: usize = 5_000;
const DEFAULT_MAX_RETRY_MS: usize = 60_000;
const MS_PER_HOUR: usize = 3_600_000;
const DEFAULT_LEAVE_US: i64 = 5_000 * MICROS_PER_MS;
const MAX_SHUTDOWN_TEXT_BYTES: usize = 255;
const DEFAULT_STALE_LIST_S: usize = 30;
const MAX_STALE_LIST_S: usize = 86_400;
const DEFAULT_STUCK_MS: usize = 2_000;
const MAX_MEMORY_MB: usize = 1 << 24;

/// The default interval and the default timeout of health checks.
const DEFAULT_HEALTH_CHECK_MS: usize = 250;
const MAX_HEALTH_CHECK_TIMEOUT_MS: usize = 60_000;
const DEFAULT_HEALTH_CHECK_FAILURES: usize = 2;
const MAX_HEALTH_CHECK_FAILURES: usize = 100;
const DEFAULT_CONCURRENT_HEALTH_CHECKS: usize = 16;
const MAX_CONCURRENT_HEALTH_CHECKS: usize = 64;

impl Checker<'_> {
    pub(crate) fn bgp(&mut self, section: &BgpFile, pools: &NameIndex) -> Bgp {
        self.check_identity(section);
        let listen = section.listen.as_ref().map(|word| self.address("listen", word));
        let api = section.api.as_ref().map(|word| self.loopback_address("", "api", word));
        let session = self.session_settings(section);
        let peers = self.peers(&section.peers, &session, listen.is_some());
        let addresses = self.announced_addresses(&section.addresses, pools);
        let (health_checks, health_check_path) = self.health_check(&section.probe);
        let shutdown_text = self.shutdown_text(section);
        let leave = section
            .leave_ms
            .as_ref()
            .map_or(DEFAULT_LEAVE_US, |value| self.milliseconds("leave_ms", value, 0));
        let list_old_s =
            self.bounded("list_old_s", &section.list_old_s, DEFAULT_STALE_LIST_S, MAX_STALE_LIST_S);
        let stuck_ms = self.bounded("stuck_ms", &section.stuck_ms, DEFAULT_STUCK_MS, MS_PER_HOUR);
        let memory_mb = self.bounded("memory_mb", &section.memory_mb, 1, MAX_MEMORY_MB);
        Bgp {
            listen,
            api,
            dry_run: section.dry_run,
            leave: Duration::from_micros(leave as u64),
            shutdown_text,
            max_list_age: Duration::from_secs(list_old_s as u64),
            stuck: Duration::from_millis(stuck_ms as u64),
            memory_bytes: section.memory_mb.as_ref().map(|_| (memory_mb as u64) << 20),
            health_checks,
            health_check_path,
            peers,
            addresses,
        }
    }

    fn check_identity(&mut self, section: &BgpFile) {
        let asn = *section.asn.get_ref();
        if RESERVED_AS_NUMBERS.contains(&asn) {
            let message = format!("`as`: {asn} is a reserved AS number");
            self.report(section.asn.span(), message, Some("64512 to 65534 are for private use".to_owned()));
        }
        let id = *section.router_id.get_ref();
        if id.is_unspecified() || id.is_broadcast() || id.is_multicast() {
            let help = "write an IPv4 address of this machine; each speaker has one of its own".to_owned();
            let message = format!("`router_id`: {id} is not a unicast address");
            self.report(section.router_id.span(), message, Some(help));
        }
    }

    /// The settings that are common to the sessions with all peers.
    fn session_settings(&mut self, section: &BgpFile) -> SessionSettings {
        let hold_time_s =
            self.bounded("hold_time_s", &section.hold_time_s, DEFAULT_HOLD_TIME_S, MAX_HOLD_TIME_S);
        let is_too_short = |seconds: usize| (1..MIN_HOLD_TIME_S).contains(&seconds);
        if let Some(value) = section.hold_time_s.as_ref().filter(|value| is_too_short(*value.get_ref())) {
            let help = "the minimum hold time of BGP is 3 s".to_owned();
            self.report(value.span(), format!("`hold_time_s`: {hold_time_s} is too short"), Some(help));
        }
        let retry_ms = self.bounded("retry_ms", &section.retry_ms, DEFAULT_RETRY_MS, MS_PER_HOUR);
        let max_retry_ms =
            self.bounded("retry_most_ms", &section.retry_most_ms, DEFAULT_MAX_RETRY_MS, MS_PER_HOUR);
        SessionSettings {
            asn: *section.asn.get_ref(),
            id: *section.router_id.get_ref(),
            hold_time_s: hold_time_s as u16,
            retry: retry_ms as i64 * MICROS_PER_MS,
            max_retry: max_retry_ms.max(retry_ms) as i64 * MICROS_PER_MS,
        }
    }

    fn peers(&mut self, sections: &[PeerFile], session: &SessionSettings, listens: bool) -> Vec<BgpPeer> {
        let names = self.name_index("peer", sections.iter().map(|peer| &peer.name));
        if names.len() > MAX_PEERS {
            let message = format!("{} peers are more than {MAX_PEERS}", names.len());
            self.report(sections[MAX_PEERS].name.span(), message, None);
        }
        sections.iter().map(|section| self.peer(section, session, listens)).collect()
    }

    fn peer(&mut self, section: &PeerFile, session: &SessionSettings, listens: bool) -> BgpPeer {
        let name = section.name.get_ref().clone();
        if section.passive && !listens {
            let help = "write bgp.listen, or leave `passive` out".to_owned();
            let message = format!("peer `{name}`: `passive` needs `bgp.listen`");
            self.report(section.name.span(), message, Some(help));
        }
        let address = self.address("address", &section.address);
        BgpPeer { name, address, source: section.source, settings: session.for_peer(section) }
    }

    fn shutdown_text(&mut self, section: &BgpFile) -> String {
        let Some(word) = &section.shutdown_text else { return String::new() };
        let bytes = word.get_ref().len();
        if bytes > MAX_SHUTDOWN_TEXT_BYTES {
            let message = format!("`shutdown_text`: {bytes} bytes are more than {MAX_SHUTDOWN_TEXT_BYTES}");
            self.report(word.span(), message, None);
        }
        word.get_ref().clone()
    }

    /// The settings of health checks and the path that they request.
    fn health_check(&mut self, section: &HealthCheckFile) -> (bgp::HealthCheckSettings, Option<String>) {
        let every_ms = self.bounded("every_ms", &section.every_ms, DEFAULT_HEALTH_CHECK_MS, MS_PER_HOUR);
        let timeout_ms = self.bounded(
            "timeout_ms",
            &section.timeout_ms,
            DEFAULT_HEALTH_CHECK_MS,
            MAX_HEALTH_CHECK_TIMEOUT_MS,
        );
        let failures = self.bounded(
            "failures",
            &section.failures,
            DEFAULT_HEALTH_CHECK_FAILURES,
            MAX_HEALTH_CHECK_FAILURES,
        );
        let at_once = self.bounded(
            "at_once",
            &section.at_once,
            DEFAULT_CONCURRENT_HEALTH_CHECKS,
            MAX_CONCURRENT_HEALTH_CHECKS,
        );
        let settings = bgp::HealthCheckSettings {
            interval: every_ms as i64 * MICROS_PER_MS,
            timeout: timeout_ms as i64 * MICROS_PER_MS,
            unhealthy_threshold: failures as u32,
            max_in_flight: at_once,
        };
        let Some(word) = &section.path else { return (settings, None) };
        let path = word.get_ref();
        if !path.starts_with('/') || path.bytes().any(|byte| !byte.is_ascii_graphic()) {
            let help = "write one such as \"/healthz\", in visible ASCII characters".to_owned();
            self.report(word.span(), format!("`path`: {path:?} is not a path"), Some(help));
        }
        (settings, Some(path.clone()))
    }
}

/// The settings that are common to the sessions with all peers. Durations other than `hold_time_s` are in
/// microseconds.
struct SessionSettings {
    asn: u32,
    id: std::net::Ipv4Addr,
    hold_time_s: u16,
    retry: i64,
    max_retry: i64,
}

impl SessionSettings {
    fn for_peer(&self, peer: &PeerFile) -> bgp::PeerSettings {
        bgp::PeerSettings {
            asn: self.asn,
            id: self.id,
            peer_asn: *peer.asn.get_ref(),
            hold_s: self.hold_time_s,
            next_hop_v4: peer.next_hop_v4,
            next_hop_v6: peer.next_hop_v6,
            machine: bgp::MachineSettings {
                passive: peer.passive,
                connect_retry_time: self.retry,
                max_idle_hold_time: self.max_retry,
            },
        }
    }
}
