//! The check of `[[bgp.address]]`.

use ipnet::IpNet;
use toml::Spanned;

use super::AddressFile;
use crate::checker::{Checker, NameIndex, SpannedString};

const MICROS_PER_MS: i64 = 1_000;
/// The maximum number of communities of an address, of each kind.
const MAX_COMMUNITIES: usize = 64;
/// The maximum number of times that the AS number is prepended.
const MAX_PREPEND: usize = 32;
const MAX_LEAST_NODES: usize = 1_000_000;

const DEFAULT_ANNOUNCE_SHARE: f64 = 0.5;
const DEFAULT_WITHDRAW_SHARE: f64 = 0.25;
const DEFAULT_DEGRADE_SHARE: f64 = 0.0;
const DEFAULT_HOLD_UP_MS: i64 = 5_000;
const DEFAULT_MAX_HOLD_UP_MS: i64 = 120_000;
const DEFAULT_HALF_LIFE_MS: i64 = 60_000;

/// Parses `a:b:…` into `N` numbers. Returns `None` if their count differs or a number is above `max`.
fn parse_community<const N: usize>(word: &str, max: u32) -> Option<[u32; N]> {
    let parse_part = |part: &str| part.parse().ok().filter(|number| *number <= max);
    let parts: Option<Vec<u32>> = word.split(':').map(parse_part).collect();
    parts?.try_into().ok()
}

impl Checker<'_> {
    pub(super) fn announced_addresses(
        &mut self,
        sections: &[AddressFile],
        pools: &NameIndex,
    ) -> Vec<bgp::Address> {
        if sections.len() > bgp::MAX_ADDRESSES {
            let message = format!("{} addresses are more than {}", sections.len(), bgp::MAX_ADDRESSES);
            self.report(sections[bgp::MAX_ADDRESSES].prefix.span(), message, None);
        }
        let mut addresses: Vec<bgp::Address> = Vec::new();
        for section in sections {
            let address = self.announced_address(section, pools, &addresses);
            addresses.extend(address);
        }
        addresses
    }

    fn announced_address(
        &mut self,
        section: &AddressFile,
        pools: &NameIndex,
        previous: &[bgp::Address],
    ) -> Option<bgp::Address> {
        let prefix = self.prefix(&section.prefix);
        if prefix.is_some_and(|prefix| previous.iter().any(|other| other.prefix == prefix)) {
            let message = format!("`prefix`: {} is listed twice", section.prefix.get_ref());
            self.report(section.prefix.span(), message, None);
        }
        if section.pools.get_ref().is_empty() {
            let help = "name the pools that must all be able to serve".to_owned();
            self.report(section.pools.span(), "`pools`: the address has no pool", Some(help));
        }
        for pool in section.pools.get_ref() {
            self.resolve("pool", pool, pools);
        }
        let mut thresholds = self.thresholds(section);
        let damping = self.damping(section);
        let attributes = bgp::Attributes {
            med: section.med,
            communities: self.communities(&section.communities),
            large_communities: self.large_communities(&section.large_communities),
            ..bgp::Attributes::default()
        };
        let degraded = self.degraded(section, &attributes);
        thresholds.min_endpoints = self.bounded("least_nodes", &section.least_nodes, 1, MAX_LEAST_NODES);
        let pools = section.pools.get_ref().iter().map(|pool| pool.get_ref().clone()).collect();
        Some(bgp::Address { prefix: prefix?, pools, thresholds, damping, attributes, degraded })
    }

    /// The fractions of a pool's capacity at which an address is announced, degraded and withdrawn.
    /// `min_endpoints` is 1 until `announced_address` replaces it with `least_nodes`.
    fn thresholds(&mut self, section: &AddressFile) -> bgp::Thresholds {
        let announce = self.share("announce_share", &section.announce_share, DEFAULT_ANNOUNCE_SHARE);
        let default_withdraw = announce.min(DEFAULT_WITHDRAW_SHARE);
        let withdraw = self.share("withdraw_share", &section.withdraw_share, default_withdraw);
        let degrade = self.share("degrade_share", &section.degrade_share, DEFAULT_DEGRADE_SHARE);
        if withdraw > announce {
            let span = section.withdraw_share.as_ref().map_or(section.prefix.span(), Spanned::span);
            let help = "an address that was just announced would be withdrawn at once".to_owned();
            let message = format!("`withdraw_share`: {withdraw} is more than `announce_share`, {announce}");
            self.report(span, message, Some(help));
        }
        bgp::Thresholds { announce, withdraw, degrade, min_endpoints: 1 }
    }

    fn share(&mut self, key: &str, value: &Option<Spanned<f64>>, default: f64) -> f64 {
        value.as_ref().map_or(default, |value| self.number(key, value, 0.0..=1.0))
    }

    fn prefix(&mut self, word: &SpannedString) -> Option<IpNet> {
        let help =
            "write an address and its bits, such as \"192.0.2.1/32\" or \"2001:db8::1/128\"".to_owned();
        match word.get_ref().parse::<IpNet>() {
            Err(_) => {
                let message = format!("`prefix`: {:?} is not a prefix", word.get_ref());
                self.report(word.span(), message, Some(help));
                None
            }
            Ok(net) if net.trunc() != net => {
                let message = format!("`prefix`: {net} has bits beyond its length");
                self.report(word.span(), message, Some(format!("write {}", net.trunc())));
                None
            }
            Ok(net) if net.prefix_len() == 0 || net.addr().is_multicast() || net.addr().is_unspecified() => {
                let message = format!("`prefix`: {net} is not a unicast prefix of a service");
                self.report(word.span(), message, Some(help));
                None
            }
            Ok(net) => Some(net),
        }
    }

    fn damping(&mut self, section: &AddressFile) -> bgp::Damping {
        let mut duration = |key: &str, value: &Option<Spanned<u64>>, default_ms: i64| {
            value.as_ref().map_or(default_ms * MICROS_PER_MS, |value| self.milliseconds(key, value, 1))
        };
        let hold_up = duration("hold_up_ms", &section.hold_up_ms, DEFAULT_HOLD_UP_MS);
        let max_hold_up = duration("hold_up_most_ms", &section.hold_up_most_ms, DEFAULT_MAX_HOLD_UP_MS);
        let half_life = duration("half_life_ms", &section.half_life_ms, DEFAULT_HALF_LIFE_MS);
        bgp::Damping { hold_up, max_hold_up: max_hold_up.max(hold_up), half_life }
    }

    /// The attributes of a degraded address. Those that `degraded` does not set are the ordinary ones.
    fn degraded(&mut self, section: &AddressFile, attributes: &bgp::Attributes) -> bgp::Attributes {
        let Some(degraded) = &section.degraded else {
            if let Some(share) = section.degrade_share.as_ref().filter(|share| *share.get_ref() > 0.0) {
                let help = "add one such as degraded = { med = 200, prepend = 3 }".to_owned();
                self.report(
                    share.span(),
                    "`degrade_share`: needs `degraded`, the attributes of the degraded address",
                    Some(help),
                );
            }
            return attributes.clone();
        };
        let prepend = degraded.prepend.as_ref().map_or(0, |value| self.prepend(value));
        bgp::Attributes { med: degraded.med.or(attributes.med), prepend, ..attributes.clone() }
    }

    fn prepend(&mut self, value: &Spanned<usize>) -> u8 {
        let count = *value.get_ref();
        if count > MAX_PREPEND {
            self.report(value.span(), format!("`prepend`: {count} is not from 0 to {MAX_PREPEND}"), None);
        }
        count.min(MAX_PREPEND) as u8
    }

    fn communities(&mut self, words: &[SpannedString]) -> Vec<u32> {
        let help = "write two numbers up to 65535, such as \"64512:100\"";
        let parse = |word: &str| parse_community(word, 0xffff).map(|[high, low]| high << 16 | low);
        self.parsed_communities(words, "communities", help, parse)
    }

    fn large_communities(&mut self, words: &[SpannedString]) -> Vec<[u32; 3]> {
        let help = "write three numbers, such as \"64512:1:2\"";
        self.parsed_communities(words, "large_communities", help, |word| parse_community(word, u32::MAX))
    }

    fn parsed_communities<T>(
        &mut self,
        words: &[SpannedString],
        key: &str,
        help: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        if let Some(word) = words.get(MAX_COMMUNITIES) {
            self.report(
                word.span(),
                format!("`{key}`: {} are more than {MAX_COMMUNITIES}", words.len()),
                None,
            );
        }
        let mut communities = Vec::new();
        for word in words {
            match parse(word.get_ref()) {
                Some(community) => communities.push(community),
                None => {
                    let message = format!("`{key}`: {:?} is not a community", word.get_ref());
                    self.report(word.span(), message, Some(help.to_owned()));
                }
            }
        }
        communities
    }
}
