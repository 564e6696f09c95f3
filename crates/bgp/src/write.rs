//! Encodes messages with netgauze-bgp-pkt. NOTIFICATIONs are encoded without it, because it has no
//! variant for an unknown subcode.

use std::net::{IpAddr, Ipv4Addr};

use ipnet::IpNet;
use netgauze_bgp_pkt::capabilities::{
    BgpCapability, FourOctetAsCapability, MultiProtocolExtensionsCapability,
};
use netgauze_bgp_pkt::community::{Community, LargeCommunity};
use netgauze_bgp_pkt::nlri::{Ipv4Unicast, Ipv4UnicastAddress, Ipv6Unicast, Ipv6UnicastAddress};
use netgauze_bgp_pkt::open::{BgpOpenMessage, BgpOpenMessageParameter};
use netgauze_bgp_pkt::path_attribute::{
    As2PathSegment, As4Path, As4PathSegment, AsPath, AsPathSegmentType, Communities, LargeCommunities,
    LocalPreference, MpReach, MpUnreach, MultiExitDiscriminator, NextHop, Origin, PathAttribute,
    PathAttributeValue,
};
use netgauze_bgp_pkt::update::BgpUpdateMessage;
use netgauze_bgp_pkt::BgpMessage;
use netgauze_iana::address_family::AddressType;
use netgauze_parse_utils::WritablePdu;

use crate::message::{Notification, HEADER_LENGTH, MAX_MESSAGE_LENGTH};
use crate::table::{Attributes, EncodingParameters};

/// The two-octet AS number that represents four-octet AS numbers (RFC 6793).
const AS_TRANS: u16 = 23456;
/// The maximum number of prefixes per message, so that a message stays within [`MAX_MESSAGE_LENGTH`] with the
/// largest attributes.
const MAX_PREFIXES_V4: usize = 500;
const MAX_PREFIXES_V6: usize = 150;

fn encode(message: &BgpMessage) -> Vec<u8> {
    let mut octets = Vec::with_capacity(message.len());
    // Writing to memory fails only for a message that is too long. Prefixes are split over messages to
    // prevent that.
    let written = message.write(&mut octets);
    debug_assert!(written.is_ok() && octets.len() <= MAX_MESSAGE_LENGTH);
    octets
}

/// Encodes an OPEN with the capabilities of this speaker; `hold_s` is the proposed hold time in seconds.
#[must_use]
pub fn open_message(asn: u32, hold_s: u16, id: Ipv4Addr) -> Vec<u8> {
    let family = |f| BgpCapability::MultiProtocolExtensions(MultiProtocolExtensionsCapability::new(f));
    let capabilities = vec![
        family(AddressType::Ipv4Unicast),
        family(AddressType::Ipv6Unicast),
        BgpCapability::RouteRefresh,
        BgpCapability::FourOctetAs(FourOctetAsCapability::new(asn)),
    ];
    let two_octet_asn = u16::try_from(asn).unwrap_or(AS_TRANS);
    let parameters = vec![BgpOpenMessageParameter::new_capabilities(capabilities)];
    encode(&BgpMessage::Open(BgpOpenMessage::new(two_octet_asn, hold_s, id, parameters)))
}

/// Encodes a KEEPALIVE.
#[must_use]
pub fn keepalive() -> Vec<u8> {
    encode(&BgpMessage::KeepAlive)
}

/// Encodes a NOTIFICATION; data that does not fit is truncated.
#[must_use]
pub fn notification(notification: &Notification) -> Vec<u8> {
    let data = &notification.data[..notification.data.len().min(MAX_MESSAGE_LENGTH - HEADER_LENGTH - 2)];
    let mut octets = vec![0xff; 16];
    octets.extend(((HEADER_LENGTH + 2 + data.len()) as u16).to_be_bytes());
    octets.extend([3, notification.code, notification.subcode]);
    octets.extend_from_slice(data);
    octets
}

fn ipv4_nlri(prefixes: &[IpNet]) -> Vec<Ipv4UnicastAddress> {
    let v4 = |prefix: &IpNet| match prefix {
        IpNet::V4(net) => Ipv4Unicast::from_net(*net).ok().map(Ipv4UnicastAddress::new_no_path_id),
        IpNet::V6(_) => None,
    };
    prefixes.iter().filter_map(v4).collect()
}

fn ipv6_nlri(prefixes: &[IpNet]) -> Vec<Ipv6UnicastAddress> {
    let v6 = |prefix: &IpNet| match prefix {
        IpNet::V6(net) => Ipv6Unicast::from_net(*net).ok().map(|net| Ipv6UnicastAddress::new(None, net)),
        IpNet::V4(_) => None,
    };
    prefixes.iter().filter_map(v6).collect()
}

fn attribute(optional: bool, transitive: bool, value: PathAttributeValue) -> Option<PathAttribute> {
    // Values longer than 255 octets need the extended length.
    let extended_length = match &value {
        PathAttributeValue::LargeCommunities(c) => c.communities().len() * 12 > 255,
        PathAttributeValue::Communities(c) => c.communities().len() * 4 > 255,
        PathAttributeValue::AsPath(_) | PathAttributeValue::As4Path(_) => true,
        PathAttributeValue::MpReach(_) | PathAttributeValue::MpUnreach(_) => true,
        _ => false,
    };
    PathAttribute::from(optional, transitive, false, extended_length, value).ok()
}

fn update(
    withdrawn: Vec<Ipv4UnicastAddress>,
    attributes: Vec<PathAttribute>,
    nlri: Vec<Ipv4UnicastAddress>,
) -> Vec<u8> {
    encode(&BgpMessage::Update(BgpUpdateMessage::new(withdrawn, attributes, nlri)))
}

/// Encodes the UPDATEs that withdraw these prefixes.
pub(crate) fn withdrawals(prefixes: &[IpNet]) -> Vec<Vec<u8>> {
    let mut messages: Vec<Vec<u8>> = ipv4_nlri(prefixes)
        .chunks(MAX_PREFIXES_V4)
        .map(|chunk| update(chunk.to_vec(), Vec::new(), Vec::new()))
        .collect();
    for chunk in ipv6_nlri(prefixes).chunks(MAX_PREFIXES_V6) {
        let value = PathAttributeValue::MpUnreach(MpUnreach::Ipv6Unicast { nlri: chunk.into() });
        messages.push(update(Vec::new(), attribute(true, false, value).into_iter().collect(), Vec::new()));
    }
    messages
}

/// Encodes the UPDATEs that announce these prefixes with the same attributes. A family without a next hop is
/// omitted.
#[must_use]
pub fn updates(parameters: &EncodingParameters, attributes: &Attributes, prefixes: &[IpNet]) -> Vec<Vec<u8>> {
    let common = common_attributes(parameters, attributes);
    let mut messages = Vec::new();
    if let Some(hop) = parameters.next_hop_v4 {
        for chunk in ipv4_nlri(prefixes).chunks(MAX_PREFIXES_V4) {
            let mut all = common.clone();
            let hop = PathAttributeValue::NextHop(NextHop::new(hop));
            // In ascending order of type codes (RFC 4271 section 5).
            all.splice(2..2, attribute(false, true, hop));
            messages.push(update(Vec::new(), all, chunk.to_vec()));
        }
    }
    if let Some(hop) = parameters.next_hop_v6 {
        for chunk in ipv6_nlri(prefixes).chunks(MAX_PREFIXES_V6) {
            let reach = MpReach::Ipv6Unicast {
                next_hop_global: hop,
                next_hop_local: None,
                nlri: chunk.to_vec().into_boxed_slice(),
            };
            // First, so that a receiver finds the prefixes even if another attribute is malformed (RFC 7606).
            let mut all: Vec<_> =
                attribute(true, false, PathAttributeValue::MpReach(reach)).into_iter().collect();
            all.extend(common.iter().cloned());
            messages.push(update(Vec::new(), all, Vec::new()));
        }
    }
    messages
}

/// Returns the path attributes that do not depend on the family; the first two are ORIGIN and AS_PATH.
fn common_attributes(parameters: &EncodingParameters, attributes: &Attributes) -> Vec<PathAttribute> {
    let mut all = vec![attribute(false, true, PathAttributeValue::Origin(Origin::IGP))];
    let path_length = if parameters.internal { 0 } else { 1 + usize::from(attributes.prepend) };
    let four_octet_sequence =
        |times| vec![As4PathSegment::new(AsPathSegmentType::AsSequence, vec![parameters.asn; times])];
    let four_octet_segments = if path_length == 0 { Vec::new() } else { four_octet_sequence(path_length) };
    let two_octet_asn = u16::try_from(parameters.asn);
    if parameters.four_octet {
        all.push(attribute(
            false,
            true,
            PathAttributeValue::AsPath(AsPath::as4_path_segments(four_octet_segments.clone())),
        ));
    } else {
        let two_octet_segments = match path_length {
            0 => Vec::new(),
            times => vec![As2PathSegment::new(
                AsPathSegmentType::AsSequence,
                vec![two_octet_asn.unwrap_or(AS_TRANS); times],
            )],
        };
        all.push(attribute(
            false,
            true,
            PathAttributeValue::AsPath(AsPath::as2_path_segments(two_octet_segments)),
        ));
    }
    if let Some(med) = attributes.med {
        let med = PathAttributeValue::MultiExitDiscriminator(MultiExitDiscriminator::new(med));
        all.push(attribute(true, false, med));
    }
    if parameters.internal {
        let preference = PathAttributeValue::LocalPreference(LocalPreference::new(attributes.local_pref));
        all.push(attribute(false, true, preference));
    }
    if !attributes.communities.is_empty() {
        let each: Vec<_> = attributes.communities.iter().map(|c| Community::new(*c)).collect();
        all.push(attribute(true, true, PathAttributeValue::Communities(Communities::new(each))));
    }
    if !parameters.four_octet && two_octet_asn.is_err() && path_length > 0 {
        all.push(attribute(true, true, PathAttributeValue::As4Path(As4Path::new(four_octet_segments))));
    }
    if !attributes.large_communities.is_empty() {
        let each: Vec<_> =
            attributes.large_communities.iter().map(|[a, b, c]| LargeCommunity::new(*a, *b, *c)).collect();
        all.push(attribute(true, true, PathAttributeValue::LargeCommunities(LargeCommunities::new(each))));
    }
    all.into_iter().flatten().collect()
}

/// Returns the IPv4 and IPv6 next hops given by the local address of a connection. An IPv4-mapped address
/// gives an IPv4 next hop.
pub(crate) fn next_hops(local: IpAddr) -> (Option<Ipv4Addr>, Option<std::net::Ipv6Addr>) {
    match local {
        IpAddr::V4(a) => (Some(a), None),
        IpAddr::V6(a) => (a.to_ipv4_mapped(), Some(a).filter(|a| a.to_ipv4_mapped().is_none())),
    }
}
