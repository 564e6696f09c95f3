//! The prefixes advertised to a peer (its Adj-RIB-Out), and the UPDATEs that bring them in line with the
//! desired ones.
//!
//! Memory is bounded by the number of announced addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use ipnet::IpNet;

use crate::write;

/// The path attributes of a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attributes {
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// The number of additional times that the local AS number is prepended to AS_PATH; ignored in internal
    /// sessions.
    pub prepend: u8,
    /// COMMUNITIES (RFC 1997).
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITY (RFC 8092).
    pub large_communities: Vec<[u32; 3]>,
    /// LOCAL_PREF; sent only in internal sessions.
    pub local_pref: u32,
}

/// The parameters of a session for encoding the UPDATEs to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodingParameters {
    /// The local AS number.
    pub asn: u32,
    /// Whether the session is internal: the peer has the same AS number.
    pub internal: bool,
    /// Whether AS numbers have four octets (RFC 6793).
    pub four_octet: bool,
    /// The next hop of IPv4 prefixes; `None` if they are not advertised to this peer.
    pub next_hop_v4: Option<std::net::Ipv4Addr>,
    /// The next hop of IPv6 prefixes; `None` if they are not advertised to this peer.
    pub next_hop_v6: Option<std::net::Ipv6Addr>,
}

impl EncodingParameters {
    /// Returns whether prefixes of the family of `prefix` can be advertised.
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
    /// Returns the advertised prefixes.
    pub fn advertised(&self) -> impl Iterator<Item = &IpNet> {
        self.advertised.keys()
    }

    /// Replaces the advertised prefixes with the desired ones. Returns the UPDATEs for the difference,
    /// withdrawals first.
    pub fn update(
        &mut self,
        desired: &BTreeMap<IpNet, Attributes>,
        parameters: &EncodingParameters,
    ) -> Vec<Vec<u8>> {
        let still_desired = |prefix: &IpNet| desired.get(prefix).filter(|_| parameters.can_advertise(prefix));
        let withdrawn: Vec<IpNet> =
            self.advertised.keys().copied().filter(|prefix| still_desired(prefix).is_none()).collect();
        let announced: BTreeSet<IpNet> = desired
            .iter()
            .filter(|(prefix, attributes)| {
                parameters.can_advertise(prefix) && self.advertised.get(prefix) != Some(attributes)
            })
            .map(|(prefix, _)| *prefix)
            .collect();
        self.advertised.retain(|prefix, _| still_desired(prefix).is_some());
        for prefix in &announced {
            self.advertised.insert(*prefix, desired[prefix].clone());
        }
        let mut messages = write::withdrawals(&withdrawn);
        messages.extend(self.announcements(parameters, |prefix| announced.contains(prefix)));
        messages
    }

    /// Returns the UPDATEs that advertise a family again, for a ROUTE-REFRESH (RFC 2918).
    #[must_use]
    pub fn refresh(&self, parameters: &EncodingParameters, ipv6: bool) -> Vec<Vec<u8>> {
        self.announcements(parameters, |prefix| prefix.addr().is_ipv6() == ipv6)
    }

    fn announcements(
        &self,
        parameters: &EncodingParameters,
        is_included: impl Fn(&IpNet) -> bool,
    ) -> Vec<Vec<u8>> {
        let mut prefixes_by_attributes: BTreeMap<&Attributes, Vec<IpNet>> = BTreeMap::new();
        for (prefix, attributes) in self.advertised.iter().filter(|(prefix, _)| is_included(prefix)) {
            prefixes_by_attributes.entry(attributes).or_default().push(*prefix);
        }
        prefixes_by_attributes
            .into_iter()
            .flat_map(|(attributes, prefixes)| write::updates(parameters, attributes, &prefixes))
            .collect()
    }
}
