//! The prefixes advertised to a peer (its Adj-RIB-Out), and the UPDATEs that make them those that are wanted.
//!
//! Bounded by the number of announced addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use ipnet::IpNet;

use crate::write;

/// The path attributes of a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attributes {
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// How often the local AS number is prepended to AS_PATH beyond once; ignored in internal sessions.
    pub prepend: u8,
    /// Communities (RFC 1997).
    pub communities: Vec<u32>,
    /// Large communities (RFC 8092).
    pub large_communities: Vec<[u32; 3]>,
    /// LOCAL_PREF; sent only in internal sessions.
    pub local_pref: u32,
}

/// What the encoding of UPDATEs to a peer depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Speaker {
    /// The local AS number.
    pub asn: u32,
    /// The session is internal: the peer has the same AS number.
    pub internal: bool,
    /// AS numbers have four octets (RFC 6793).
    pub four_octet: bool,
    /// The next hop of IPv4 prefixes; without one they are not advertised to this peer.
    pub next_hop_v4: Option<std::net::Ipv4Addr>,
    /// The next hop of IPv6 prefixes; without one they are not advertised to this peer.
    pub next_hop_v6: Option<std::net::Ipv6Addr>,
}

impl Speaker {
    /// Whether prefixes of this family can be advertised.
    #[must_use]
    pub fn can_advertise(&self, prefix: &IpNet) -> bool {
        match prefix.addr() {
            IpAddr::V4(_) => self.next_hop_v4.is_some(),
            IpAddr::V6(_) => self.next_hop_v6.is_some(),
        }
    }
}

/// The prefixes advertised to one peer.
#[derive(Clone, Debug, Default)]
pub struct Table {
    advertised: BTreeMap<IpNet, Attributes>,
}

impl Table {
    /// The advertised prefixes.
    pub fn advertised(&self) -> impl Iterator<Item = &IpNet> {
        self.advertised.keys()
    }

    /// Makes `wanted` what is advertised. Returns the UPDATEs for the difference, withdrawals first.
    pub fn update(&mut self, wanted: &BTreeMap<IpNet, Attributes>, speaker: &Speaker) -> Vec<Vec<u8>> {
        let still_wanted = |prefix: &IpNet| wanted.get(prefix).filter(|_| speaker.can_advertise(prefix));
        let withdrawn: Vec<IpNet> =
            self.advertised.keys().copied().filter(|prefix| still_wanted(prefix).is_none()).collect();
        let announced: BTreeSet<IpNet> = wanted
            .iter()
            .filter(|(prefix, attributes)| {
                speaker.can_advertise(prefix) && self.advertised.get(prefix) != Some(attributes)
            })
            .map(|(prefix, _)| *prefix)
            .collect();
        self.advertised.retain(|prefix, _| still_wanted(prefix).is_some());
        for prefix in &announced {
            self.advertised.insert(*prefix, wanted[prefix].clone());
        }
        let mut messages = write::withdrawals(&withdrawn);
        messages.extend(self.announcements(speaker, |prefix| announced.contains(prefix)));
        messages
    }

    /// The UPDATEs that advertise a family again, for a ROUTE-REFRESH (RFC 2918).
    #[must_use]
    pub fn refresh(&self, speaker: &Speaker, ipv6: bool) -> Vec<Vec<u8>> {
        self.announcements(speaker, |prefix| prefix.addr().is_ipv6() == ipv6)
    }

    fn announcements(&self, speaker: &Speaker, which: impl Fn(&IpNet) -> bool) -> Vec<Vec<u8>> {
        let mut prefixes_by_attributes: BTreeMap<&Attributes, Vec<IpNet>> = BTreeMap::new();
        for (prefix, attributes) in self.advertised.iter().filter(|(prefix, _)| which(prefix)) {
            prefixes_by_attributes.entry(attributes).or_default().push(*prefix);
        }
        prefixes_by_attributes
            .into_iter()
            .flat_map(|(attributes, prefixes)| write::updates(speaker, attributes, &prefixes))
            .collect()
    }
}
