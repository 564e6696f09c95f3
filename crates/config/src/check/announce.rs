//! What is written of BGP, checked.

use std::time::Duration;

use toml::Spanned;

use super::{Check, Names};
use crate::announce::{Address, Bgp, BgpPeer, File, Peer, Probe};
use crate::file::Word;

const MS: i64 = 1_000;
/// Peers of one process.
const MOST_PEERS: usize = 64;
/// Communities of one address, of each sort.
const MOST_COMMUNITIES: usize = 64;

/// The parts of `a:b:…` as numbers of so many bits.
fn community<const N: usize>(word: &str, most: u32) -> Option<[u32; N]> {
    let parts: Option<Vec<u32>> =
        word.split(':').map(|part| part.parse().ok().filter(|x| *x <= most)).collect();
    parts?.try_into().ok()
}

impl Check<'_> {
    pub(super) fn bgp(&mut self, written: &File, pools: &Names) -> Bgp {
        let asn = *written.asn.get_ref();
        if matches!(asn, 0 | 23456 | 65535 | u32::MAX) {
            let message = format!("`as`: {asn} is no AS number that may be used");
            self.fault(written.asn.span(), message, Some("64512 to 65534 are for private use".to_owned()));
        }
        let id = *written.router_id.get_ref();
        if id.is_unspecified() || id.is_broadcast() || id.is_multicast() {
            let help = "write an IPv4 address of this machine; each speaker has one of its own".to_owned();
            self.fault(written.router_id.span(), format!("`router_id`: {id} identifies nobody"), Some(help));
        }
        let listen = written.listen.as_ref().map(|word| self.address("listen", word));
        let api = written.api.as_ref().map(|word| self.on_loopback("`api`", word));
        let hold_s = self.bounded("hold_time_s", &written.hold_time_s, 9, 65535);
        if let Some(given) = written.hold_time_s.as_ref().filter(|x| (1..3).contains(x.get_ref())) {
            let help = "BGP knows 3 s at the least".to_owned();
            self.fault(given.span(), format!("`hold_time_s`: {hold_s} is too short"), Some(help));
        }
        let retry = self.bounded("retry_ms", &written.retry_ms, 5_000, 3_600_000) as i64 * MS;
        let retry_most = self.bounded("retry_most_ms", &written.retry_most_ms, 60_000, 3_600_000) as i64 * MS;
        let names = self.names("peer", written.peers.iter().map(|p| &p.name));
        if names.len() > MOST_PEERS {
            let message = format!("{} peers are more than {MOST_PEERS}", names.len());
            self.fault(written.peers[MOST_PEERS].name.span(), message, None);
        }
        let settings = |peer: &Peer| bgp::PeerSettings {
            asn,
            id,
            peer_asn: *peer.asn.get_ref(),
            hold_s: hold_s as u16,
            next_hop_v4: peer.next_hop_v4,
            next_hop_v6: peer.next_hop_v6,
            machine: bgp::MachineSettings {
                passive: peer.passive,
                connect_retry_time: retry,
                max_idle_hold_time: retry_most.max(retry),
            },
        };
        let peers: Vec<BgpPeer> = written
            .peers
            .iter()
            .map(|peer| {
                if peer.passive && listen.is_none() {
                    let help = "write bgp.listen, or leave `passive` out".to_owned();
                    let message =
                        format!("peer `{}` is to connect, and nothing listens", peer.name.get_ref());
                    self.fault(peer.name.span(), message, Some(help));
                }
                let address = self.address("address", &peer.address);
                let name = peer.name.get_ref().clone();
                BgpPeer { name, address, source: peer.source, settings: settings(peer) }
            })
            .collect();
        let addresses = self.addresses(&written.addresses, pools);
        let (probe, probe_path) = self.probe(&written.probe);
        let text = written.shutdown_text.as_ref().map_or("", |word| word.get_ref());
        if let Some(word) = written.shutdown_text.as_ref().filter(|w| w.get_ref().len() > 255) {
            self.fault(word.span(), "`shutdown_text`: longer than 255 octets", None);
        }
        let seconds = |x: usize| Duration::from_secs(x as u64);
        let leave = written.leave_ms.as_ref().map_or(5_000 * MS, |x| self.ms("leave_ms", x, 0));
        let memory = written.memory_mb.as_ref();
        Bgp {
            listen,
            api,
            dry_run: written.dry_run,
            leave: Duration::from_micros(leave as u64),
            text: text.to_owned(),
            list_old: seconds(self.bounded("list_old_s", &written.list_old_s, 30, 86_400)),
            stuck: Duration::from_millis(self.bounded("stuck_ms", &written.stuck_ms, 2_000, 3_600_000) as u64),
            memory_bytes: memory
                .map(|_| (self.bounded("memory_mb", &written.memory_mb, 1, 1 << 24) as u64) << 20),
            probe,
            probe_path,
            peers,
            addresses,
        }
    }

    fn probe(&mut self, written: &Probe) -> (bgp::HealthCheckSettings, Option<String>) {
        let settings = bgp::HealthCheckSettings {
            interval: self.bounded("every_ms", &written.every_ms, 250, 3_600_000) as i64 * MS,
            timeout: self.bounded("timeout_ms", &written.timeout_ms, 250, 60_000) as i64 * MS,
            unhealthy_threshold: self.bounded("failures", &written.failures, 2, 100) as u32,
            max_in_flight: self.bounded("at_once", &written.at_once, 16, 64),
        };
        let path = written.path.as_ref().map(|word| {
            let path = word.get_ref();
            if !path.starts_with('/') || path.bytes().any(|b| !b.is_ascii_graphic()) {
                self.fault(word.span(), format!("`path`: {path:?} is no path"), None);
            }
            path.clone()
        });
        (settings, path)
    }

    fn addresses(&mut self, written: &[Address], pools: &Names) -> Vec<bgp::Address> {
        if written.len() > bgp::MOST_ADDRESSES {
            let message = format!("{} addresses are more than {}", written.len(), bgp::MOST_ADDRESSES);
            self.fault(written[bgp::MOST_ADDRESSES].prefix.span(), message, None);
        }
        let mut all: Vec<bgp::Address> = Vec::new();
        for address in written {
            let prefix = self.prefix(&address.prefix);
            if prefix.is_some_and(|p| all.iter().any(|a| a.prefix == p)) {
                let message = format!("`prefix`: {} is there twice", address.prefix.get_ref());
                self.fault(address.prefix.span(), message, None);
            }
            if address.pools.get_ref().is_empty() {
                let help = "name the pools that must all be able to serve".to_owned();
                self.fault(address.pools.span(), "`pools`: none stands behind the address", Some(help));
            }
            for pool in address.pools.get_ref() {
                self.refer("pool", pool, pools);
            }
            let mut share = |key: &str, given: &Option<Spanned<f64>>, usual: f64| {
                given.as_ref().map_or(usual, |x| self.number(key, x, 0.0..=1.0))
            };
            let announce = share("announce_share", &address.announce_share, 0.5);
            let withdraw = share("withdraw_share", &address.withdraw_share, announce.min(0.25));
            let degrade = share("degrade_share", &address.degrade_share, 0.0);
            if withdraw > announce {
                let span = address.withdraw_share.as_ref().map_or(address.prefix.span(), Spanned::span);
                let help = "an address that was just announced would be withdrawn at once".to_owned();
                let message =
                    format!("`withdraw_share`: {withdraw} is more than `announce_share`, {announce}");
                self.fault(span, message, Some(help));
            }
            let damping = self.damping(address);
            let attributes = bgp::Attributes {
                med: address.med,
                communities: self.communities(&address.communities),
                large: self.large_communities(&address.large_communities),
                ..bgp::Attributes::default()
            };
            let degraded = self.degraded(address, &attributes);
            let thresholds = bgp::Thresholds {
                announce,
                withdraw,
                degrade,
                least_nodes: self.bounded("least_nodes", &address.least_nodes, 1, 1_000_000),
            };
            let pools = address.pools.get_ref().iter().map(|p| p.get_ref().clone()).collect();
            if let Some(prefix) = prefix {
                all.push(bgp::Address { prefix, pools, thresholds, damping, attributes, degraded });
            }
        }
        all
    }

    fn prefix(&mut self, word: &Word) -> Option<ipnet::IpNet> {
        let net = word.get_ref().parse::<ipnet::IpNet>();
        let help =
            "write an address and its bits, such as \"192.0.2.1/32\" or \"2001:db8::1/128\"".to_owned();
        match net {
            Err(_) => {
                let message = format!("`prefix`: {:?} is none", word.get_ref());
                self.fault(word.span(), message, Some(help));
                None
            }
            Ok(net) if net.trunc() != net => {
                let message = format!("`prefix`: {net} has bits beyond its length");
                self.fault(word.span(), message, Some(format!("write {}", net.trunc())));
                None
            }
            Ok(net) if net.prefix_len() == 0 || net.addr().is_multicast() || net.addr().is_unspecified() => {
                let message = format!("`prefix`: {net} is not for a service to announce");
                self.fault(word.span(), message, Some(help));
                None
            }
            Ok(net) => Some(net),
        }
    }

    fn damping(&mut self, address: &Address) -> bgp::Damping {
        let mut ms = |key: &str, given: &Option<Spanned<u64>>, usual: i64| {
            given.as_ref().map_or(usual * MS, |x| self.ms(key, x, 1))
        };
        let hold_up = ms("hold_up_ms", &address.hold_up_ms, 5_000);
        let most = ms("hold_up_most_ms", &address.hold_up_most_ms, 120_000);
        let half_life = ms("half_life_ms", &address.half_life_ms, 60_000);
        bgp::Damping { hold_up, most: most.max(hold_up), half_life }
    }

    fn degraded(&mut self, address: &Address, usual: &bgp::Attributes) -> bgp::Attributes {
        let Some(degraded) = &address.degraded else {
            if let Some(share) = address.degrade_share.as_ref().filter(|x| *x.get_ref() > 0.0) {
                let help = "add degraded = { med = 200, prepend = 3 }, say".to_owned();
                self.fault(share.span(), "`degrade_share`: how is it announced then?", Some(help));
            }
            return usual.clone();
        };
        let prepend = degraded.prepend.as_ref().map_or(0, |x| {
            if *x.get_ref() > 32 {
                self.fault(x.span(), format!("`prepend`: {} is not from 0 to 32", x.get_ref()), None);
            }
            (*x.get_ref()).min(32) as u8
        });
        bgp::Attributes { med: degraded.med.or(usual.med), prepend, ..usual.clone() }
    }

    fn communities(&mut self, words: &[Word]) -> Vec<u32> {
        let help = "write two numbers up to 65535, such as \"64512:100\"";
        self.each_community(words, "communities", help, |word| {
            community::<2>(word, 0xffff).map(|[a, b]| a << 16 | b)
        })
    }

    fn large_communities(&mut self, words: &[Word]) -> Vec<[u32; 3]> {
        let help = "write three numbers, such as \"64512:1:2\"";
        self.each_community(words, "large_communities", help, |word| community::<3>(word, u32::MAX))
    }

    fn each_community<T>(
        &mut self,
        words: &[Word],
        key: &str,
        help: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        if let Some(word) = words.get(MOST_COMMUNITIES) {
            self.fault(word.span(), format!("`{key}`: more than {MOST_COMMUNITIES}"), None);
        }
        let mut all = Vec::new();
        for word in words {
            match read(word.get_ref()) {
                Some(community) => all.push(community),
                None => {
                    let message = format!("`{key}`: {:?} is none", word.get_ref());
                    self.fault(word.span(), message, Some(help.to_owned()));
                }
            }
        }
        all
    }
}
