//! Encodes and decodes BGP-4 messages, without sharing code with the proxy.

use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, TcpStream};

use super::message::{BgpMessage, Prefix, Routes};

/// The length of a message header in octets: marker, length and type.
const HEADER_LEN: usize = 19;
const MARKER: [u8; 16] = [0xff; 16];
const MAX_MESSAGE_LEN: usize = 4096;
/// The two-octet AS number that stands for a four-octet one, as RFC 6793 defines it.
const AS_TRANS: u16 = 23456;

/// Message types.
pub(super) mod message_type {
    pub const OPEN: u8 = 1;
    pub const UPDATE: u8 = 2;
    pub const NOTIFICATION: u8 = 3;
    pub const KEEPALIVE: u8 = 4;
}

/// Path attribute types.
mod attribute {
    pub const AS_PATH: u8 = 2;
    pub const NEXT_HOP: u8 = 3;
    pub const MULTI_EXIT_DISC: u8 = 4;
    pub const LOCAL_PREF: u8 = 5;
    pub const COMMUNITIES: u8 = 8;
    pub const MP_REACH_NLRI: u8 = 14;
    pub const MP_UNREACH_NLRI: u8 = 15;
    pub const LARGE_COMMUNITIES: u8 = 32;
    /// The flag of an attribute whose length takes two octets.
    pub const EXTENDED_LENGTH: u8 = 0x10;
}

pub(super) const FOUR_OCTET_AS_CAPABILITY: u8 = 65;
const MULTIPROTOCOL_CAPABILITY: u8 = 1;
const ROUTE_REFRESH_CAPABILITY: u8 = 2;
const FQDN_CAPABILITY: u8 = 73;
/// The type of the OPEN parameter that holds capabilities.
const CAPABILITIES_PARAMETER: u8 = 2;

/// Decodes a big-endian number.
fn number(octets: &[u8]) -> u32 {
    octets.iter().fold(0, |number, octet| (number << 8) | u32::from(*octet))
}

/// Encodes a message with its header.
pub fn encode(message_type: u8, body: &[u8]) -> Vec<u8> {
    let mut message = MARKER.to_vec();
    message.extend(u16::try_from(body.len() + HEADER_LEN).expect("short").to_be_bytes());
    message.push(message_type);
    message.extend_from_slice(body);
    message
}

/// Encodes an OPEN with these capabilities, each a code and a value.
pub fn encode_open(asn: u32, hold_time: u16, id: [u8; 4], capabilities: &[(u8, &[u8])]) -> Vec<u8> {
    let mut values = Vec::new();
    for (code, value) in capabilities {
        values.extend([*code, value.len() as u8]);
        values.extend_from_slice(value);
    }
    let mut body = vec![4];
    body.extend(u16::try_from(asn).unwrap_or(AS_TRANS).to_be_bytes());
    body.extend(hold_time.to_be_bytes());
    body.extend(id);
    match values.len() {
        0 => body.push(0),
        length => body.extend([length as u8 + 2, CAPABILITIES_PARAMETER, length as u8]),
    }
    body.extend(values);
    encode(message_type::OPEN, &body)
}

/// Returns the capabilities of the default OPEN.
pub fn default_capabilities(asn: u32) -> Vec<(u8, Vec<u8>)> {
    vec![
        (MULTIPROTOCOL_CAPABILITY, vec![0, 1, 0, 1]),
        (MULTIPROTOCOL_CAPABILITY, vec![0, 2, 0, 1]),
        (ROUTE_REFRESH_CAPABILITY, vec![]),
        (FOUR_OCTET_AS_CAPABILITY, asn.to_be_bytes().to_vec()),
        (FQDN_CAPABILITY, b"a name".to_vec()),
    ]
}

/// Reads the next message of a connection. Returns `None` if the connection has ended.
pub fn read_message(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut message = vec![0; HEADER_LEN];
    stream.read_exact(&mut message).ok()?;
    assert_eq!(message[..16], MARKER, "the marker");
    let length = number(&message[16..18]) as usize;
    assert!((HEADER_LEN..=MAX_MESSAGE_LEN).contains(&length), "a length of {length}");
    message.resize(length, 0);
    stream.read_exact(&mut message[HEADER_LEN..]).ok()?;
    Some(message)
}

/// Decodes a message whose header is valid. AS numbers in paths have `asn_octets` octets.
pub fn decode(message: &[u8], asn_octets: usize) -> BgpMessage {
    let body = &message[HEADER_LEN..];
    match message[HEADER_LEN - 1] {
        message_type::OPEN => decode_open(body),
        message_type::UPDATE => BgpMessage::Routes(decode_update(body, asn_octets)),
        message_type::NOTIFICATION => {
            BgpMessage::Notification { code: body[0], subcode: body[1], data: body[2..].to_vec() }
        }
        message_type::KEEPALIVE => BgpMessage::Keepalive,
        other => BgpMessage::Other(other),
    }
}

fn decode_open(body: &[u8]) -> BgpMessage {
    let capabilities = decode_capabilities(&body[10..]);
    let four_octet_asn = capabilities.iter().find(|(code, _)| *code == FOUR_OCTET_AS_CAPABILITY);
    BgpMessage::Open {
        asn: four_octet_asn.map_or_else(|| number(&body[1..3]), |(_, value)| number(value)),
        hold_time: number(&body[3..5]) as u16,
        id: Ipv4Addr::from(number(&body[5..9])),
        capabilities,
    }
}

fn decode_capabilities(mut parameters: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let mut capabilities = Vec::new();
    while let [_, length, rest @ ..] = parameters {
        let (mut parameter, next) = rest.split_at(usize::from(*length));
        while let [code, length, rest @ ..] = parameter {
            let (value, next) = rest.split_at(usize::from(*length));
            capabilities.push((*code, value.to_vec()));
            parameter = next;
        }
        parameters = next;
    }
    capabilities
}

fn decode_prefixes(mut octets: &[u8], is_v6: bool) -> Vec<Prefix> {
    let mut prefixes = Vec::new();
    while let [bits, rest @ ..] = octets {
        let (significant, next) = rest.split_at(usize::from(*bits).div_ceil(8));
        let mut address = [0; 16];
        address[..significant.len()].copy_from_slice(significant);
        let address = if is_v6 {
            IpAddr::from(address)
        } else {
            IpAddr::from([address[0], address[1], address[2], address[3]])
        };
        prefixes.push((address, *bits));
        octets = next;
    }
    prefixes
}

fn decode_update(body: &[u8], asn_octets: usize) -> Routes {
    let (withdrawn, rest) = body[2..].split_at(number(&body[..2]) as usize);
    let (mut attributes, announced) = rest[2..].split_at(number(&rest[..2]) as usize);
    let mut routes = Routes {
        withdrawn: decode_prefixes(withdrawn, false),
        announced: decode_prefixes(announced, false),
        ..Routes::default()
    };
    while let [flags, code, rest @ ..] = attributes {
        let length_octets = usize::from(flags & attribute::EXTENDED_LENGTH != 0) + 1;
        let length = number(&rest[..length_octets]) as usize;
        let (value, next) = rest[length_octets..].split_at(length);
        decode_attribute(&mut routes, *code, value, asn_octets);
        attributes = next;
    }
    routes
}

fn decode_attribute(routes: &mut Routes, code: u8, value: &[u8], asn_octets: usize) {
    match code {
        attribute::AS_PATH => routes.path.extend(decode_as_path(value, asn_octets)),
        attribute::NEXT_HOP => routes.next_hop = Some(Ipv4Addr::from(number(value)).into()),
        attribute::MULTI_EXIT_DISC => routes.med = Some(number(value)),
        attribute::LOCAL_PREF => routes.local_pref = Some(number(value)),
        attribute::COMMUNITIES => routes.communities = value.chunks(4).map(number).collect(),
        attribute::MP_REACH_NLRI => {
            let next_hop: [u8; 16] = value[4..20].try_into().expect("sixteen octets");
            routes.next_hop = Some(Ipv6Addr::from(next_hop).into());
            routes.announced.extend(decode_prefixes(&value[5 + usize::from(value[3])..], true));
        }
        attribute::MP_UNREACH_NLRI => routes.withdrawn.extend(decode_prefixes(&value[3..], true)),
        attribute::LARGE_COMMUNITIES => {
            let community = |c: &[u8]| [number(&c[..4]), number(&c[4..8]), number(&c[8..])];
            routes.large_communities = value.chunks(12).map(community).collect();
        }
        _ => {}
    }
}

fn decode_as_path(mut segments: &[u8], asn_octets: usize) -> Vec<u32> {
    let mut path = Vec::new();
    while let [_, count, rest @ ..] = segments {
        let (numbers, next) = rest.split_at(usize::from(*count) * asn_octets);
        path.extend(numbers.chunks(asn_octets).map(number));
        segments = next;
    }
    path
}
