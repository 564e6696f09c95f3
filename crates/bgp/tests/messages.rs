//! The codec of messages: compared with an independent codec, and with malformed messages of peers.

use std::collections::BTreeMap;
use std::net::IpAddr;

use bgp::{
    notification, parse_header, scan_update, Attributes, EncodingParameters, MessageType, Notification, Open,
    SessionParameters, Table,
};
use proptest::prelude::*;
use testkit::bgp_router::{self, BgpMessage};

const SESSION: SessionParameters =
    SessionParameters { asn: 64512, internal: false, four_octet: true, ipv6: true };

fn attribute(flags: u8, code: u8, value: &[u8]) -> Vec<u8> {
    let mut octets = vec![flags, code, value.len() as u8];
    octets.extend_from_slice(value);
    octets
}

fn update(withdrawn: &[u8], attributes: &[u8], announced: &[u8]) -> Vec<u8> {
    let mut body = (withdrawn.len() as u16).to_be_bytes().to_vec();
    body.extend_from_slice(withdrawn);
    body.extend((attributes.len() as u16).to_be_bytes());
    body.extend_from_slice(attributes);
    body.extend_from_slice(announced);
    body
}

const ROUTE: [u8; 4] = [24, 203, 0, 113];

fn origin() -> Vec<u8> {
    attribute(0x40, 1, &[0])
}

fn as_path() -> Vec<u8> {
    attribute(0x40, 2, &[2, 1, 0, 0, 0xfd, 0xe8])
}

fn next_hop() -> Vec<u8> {
    attribute(0x40, 3, &[192, 0, 2, 1])
}

/// The attributes that are mandatory in an external session.
fn mandatory_attributes() -> Vec<u8> {
    [origin(), as_path(), next_hop()].concat()
}

#[test]
fn header_errors_return_the_notification_of_rfc_4271() {
    let header = |length: u16, kind: u8| {
        let mut header = [0xff; 19];
        header[16..18].copy_from_slice(&length.to_be_bytes());
        header[18] = kind;
        header
    };
    assert_eq!(parse_header(&header(19, 4)), Ok((19, MessageType::Keepalive)));
    assert_eq!(parse_header(&header(4096, 2)), Ok((4096, MessageType::Update)));
    assert_eq!(parse_header(&header(23, 5)), Ok((23, MessageType::RouteRefresh)));
    for index in 0..16 {
        let mut bad_marker = header(19, 4);
        bad_marker[index] = 0xfe;
        assert_eq!(parse_header(&bad_marker), Err(Notification::new(1, 1, &[])));
    }
    let lengths =
        [(0, 4), (18, 4), (20, 4), (4097, 2), (65535, 2), (28, 1), (22, 2), (20, 3), (22, 5), (24, 5)];
    for (length, kind) in lengths {
        let data = u16::to_be_bytes(length);
        assert_eq!(
            parse_header(&header(length, kind)),
            Err(Notification::new(1, 2, &data)),
            "{length} of {kind}"
        );
    }
    for kind in [0, 6, 255] {
        assert_eq!(parse_header(&header(19, kind)), Err(Notification::new(1, 3, &[kind])));
    }
}

#[test]
fn open_is_parsed_and_errors_return_the_notification_of_rfc_4271() {
    let capabilities: Vec<(u8, Vec<u8>)> = bgp_router::default_capabilities(4_200_000_000);
    let borrowed: Vec<(u8, &[u8])> = capabilities.iter().map(|(c, v)| (*c, v.as_slice())).collect();
    let whole = bgp_router::encode_open(4_200_000_000, 90, [10, 0, 0, 1], &borrowed);
    let open = Open::read(&whole[19..]).expect("a valid OPEN");
    assert_eq!((open.asn, open.hold_s, open.four_octet), (4_200_000_000, 90, true));
    assert!(open.ipv4 && open.ipv6 && open.route_refresh);
    // Truncated after each octet, and with each length field off by one.
    for length in 0..whole.len() - 19 {
        assert_eq!(Open::read(&whole[19..19 + length]).expect_err("truncated").code, 2, "at {length}");
    }
    for index in [28, 30, 32] {
        for change in [-1i8, 1] {
            let mut wrong_length = whole.clone();
            wrong_length[index] = wrong_length[index].wrapping_add_signed(change);
            let error = Open::read(&wrong_length[19..]).expect_err("a wrong length");
            assert_eq!(error.code, 2, "{change} at {index}");
        }
    }
    let without_capabilities = |asn, hold, id, version| {
        let mut whole = bgp_router::encode_open(asn, hold, id, &[]);
        whole[19] = version;
        Open::read(&whole[19..])
    };
    let open = without_capabilities(64513, 3, [10, 0, 0, 1], 4).expect("an OPEN without capabilities");
    assert!(open.ipv4 && !open.ipv6 && !open.four_octet);
    assert_eq!(without_capabilities(64513, 90, [10, 0, 0, 1], 3), Err(Notification::new(2, 1, &[0, 4])));
    for hold in [0, 1, 2] {
        assert_eq!(without_capabilities(64513, hold, [10, 0, 0, 1], 4), Err(Notification::new(2, 6, &[])));
    }
    for id in [[0; 4], [255; 4], [224, 0, 0, 1]] {
        assert_eq!(without_capabilities(64513, 90, id, 4), Err(Notification::new(2, 3, &[])));
    }
    for asn in [0, 23456] {
        assert_eq!(without_capabilities(asn, 90, [10, 0, 0, 1], 4), Err(Notification::new(2, 2, &[])));
    }
    let mut unknown_parameter = bgp_router::encode_open(64513, 90, [10, 0, 0, 1], &[(2, &[])]);
    unknown_parameter[29] = 1;
    assert_eq!(Open::read(&unknown_parameter[19..]), Err(Notification::new(2, 4, &[])));
    // The extended format of RFC 9072, with an unknown capability.
    let mut extended = vec![4, 0xfc, 1, 0, 90, 10, 0, 0, 1, 255, 255, 0, 9, 2, 0, 6, 200, 4, 1, 2, 3, 4];
    assert!(Open::read(&extended).is_ok());
    extended[12] = 10;
    assert!(Open::read(&extended).is_err());
}

/// Guards against ending a session for an error that RFC 7606 limits to the routes or to one attribute, and
/// against accepting routes with such an error.
#[test]
fn malformed_update_is_handled_as_rfc_7606_requires() {
    let scan = |attributes: Vec<u8>| scan_update(&update(&[], &attributes, &ROUTE), &SESSION);
    let withdrawn = |attributes: Vec<u8>| scan(attributes).expect("no reset").treated_as_withdraw;
    let valid = scan_update(&update(&ROUTE, &mandatory_attributes(), &ROUTE), &SESSION).expect("valid");
    assert_eq!((valid.announced, valid.withdrawn, valid.treated_as_withdraw), (1, 1, false));
    // A well-known mandatory attribute is missing.
    assert!(withdrawn([origin(), as_path()].concat()));
    assert!(withdrawn([origin(), next_hop()].concat()));
    assert!(withdrawn([as_path(), next_hop()].concat()));
    // The value of an attribute is malformed.
    let with = |attribute: Vec<u8>| [mandatory_attributes(), attribute].concat();
    let replace = |code: u8, attribute: Vec<u8>| {
        let all = [(1, origin()), (2, as_path()), (3, next_hop())];
        let mut all: Vec<u8> = all.into_iter().filter(|(c, _)| *c != code).flat_map(|(_, a)| a).collect();
        all.extend(attribute);
        all
    };
    assert!(withdrawn(replace(1, attribute(0x40, 1, &[3]))));
    assert!(withdrawn(replace(1, attribute(0x40, 1, &[0, 0]))));
    assert!(withdrawn(replace(2, attribute(0x40, 2, &[2, 2, 0, 0, 0, 1]))));
    assert!(withdrawn(replace(2, attribute(0x40, 2, &[9, 1, 0, 0, 0, 1]))));
    assert!(withdrawn(replace(2, attribute(0x40, 2, &[2, 0]))));
    assert!(withdrawn(replace(3, attribute(0x40, 3, &[1, 2, 3]))));
    assert!(withdrawn(with(attribute(0x80, 4, &[0; 3]))));
    assert!(withdrawn(with(attribute(0xc0, 8, &[0; 5]))));
    assert!(withdrawn(with(attribute(0xc0, 8, &[]))));
    assert!(withdrawn(with(attribute(0xc0, 16, &[0; 7]))));
    assert!(withdrawn(with(attribute(0xc0, 32, &[0; 11]))));
    // These attributes are discarded without affecting the routes.
    for discardable in [
        attribute(0x40, 5, &[0, 0, 0, 100]),
        attribute(0x40, 6, &[1]),
        attribute(0xc0, 7, &[0; 5]),
        attribute(0x80, 9, &[0; 4]),
        attribute(0x80, 10, &[0; 4]),
        attribute(0xc0, 17, &[1]),
        attribute(0xc0, 18, &[1]),
        origin(),
    ] {
        let summary = scan(with(discardable)).expect("no reset");
        assert_eq!((summary.treated_as_withdraw, summary.discarded), (false, 1));
    }
    // A loop is detected behind other AS numbers.
    let looped = attribute(0x40, 2, &[2, 2, 0, 0, 0, 1, 0, 0, 0xfc, 0]);
    assert!(scan(replace(2, looped)).expect("valid").looped);
    // LOCAL_PREF is mandatory in an internal session.
    let internal = SessionParameters { internal: true, ..SESSION };
    assert!(
        scan_update(&update(&[], &mandatory_attributes(), &ROUTE), &internal)
            .expect("no reset")
            .treated_as_withdraw
    );
    let with_local_pref = with(attribute(0x40, 5, &[0, 0, 0, 100]));
    assert!(
        !scan_update(&update(&[], &with_local_pref, &ROUTE), &internal)
            .expect("no reset")
            .treated_as_withdraw
    );
    // Prefixes that cannot be located, and multiprotocol attributes that cannot be parsed, end the session.
    let reset = |body: Vec<u8>| scan_update(&body, &SESSION).expect_err("a reset");
    let reset = |body: Vec<u8>| (reset(body.clone()).code, reset(body).subcode);
    assert_eq!(reset(update(&[], &mandatory_attributes(), &[33, 1, 2, 3, 4, 5])), (3, 10));
    assert_eq!(reset(update(&[24, 1], &[], &[])), (3, 10));
    assert_eq!(reset(update(&[], &mandatory_attributes(), &[24, 1, 2])), (3, 10));
    let mut wrong_length = update(&[], &mandatory_attributes(), &ROUTE);
    wrong_length[3] = 200;
    assert_eq!(reset(wrong_length), (3, 1));
    let repeated = attribute(0x80, 15, &[0, 2, 1]);
    assert_eq!(reset(update(&[], &[repeated.clone(), repeated].concat(), &[])), (3, 1));
    assert_eq!(reset(update(&[], &attribute(0x80, 14, &[0, 2, 1, 9]), &[])), (3, 9));
    assert_eq!(reset(update(&[], &attribute(0x80, 15, &[0, 2, 1, 129, 0]), &[])), (3, 9));
    let unknown = attribute(0x40, 99, &[7]);
    let notification = scan_update(&update(&[], &unknown, &[]), &SESSION).expect_err("a reset");
    assert_eq!(notification, Notification::new(3, 2, &[0x40, 99, 1, 7]));
    // Prefixes of a family that was not negotiated are ignored.
    assert_eq!(
        scan_update(&update(&[], &attribute(0x80, 15, &[0, 25, 65, 9]), &[]), &SESSION)
            .expect("valid")
            .withdrawn,
        0
    );
}

/// Guards against accepting an attribute with wrong flags, and against reading beyond a truncated UPDATE.
#[test]
fn wrong_flags_and_truncation_are_detected_in_every_attribute() {
    for flags in 0..=255u8 {
        for code in 0..=255u8 {
            let mut encoded = vec![flags, code];
            if flags & 0x10 != 0 {
                encoded.push(0);
            }
            encoded.extend([4, 0, 0, 0, 1]);
            let optional = flags & 0x80 != 0;
            let known = matches!(code, 1..=10 | 14..=18 | 32);
            match scan_update(&update(&[], &[mandatory_attributes(), encoded].concat(), &ROUTE), &SESSION) {
                Ok(summary) => {
                    let transitive = flags & 0x40 != 0;
                    let expected = match code {
                        4 | 9 | 10 | 14 | 15 => (true, false),
                        1..=3 | 5 | 6 => (false, true),
                        _ => (true, true),
                    };
                    if known && (optional, transitive) != expected && !matches!(code, 1..=3) {
                        assert!(summary.treated_as_withdraw || summary.discarded > 0, "{flags:x} on {code}");
                    }
                    assert!(known || optional, "an unknown well-known attribute was accepted: {code}");
                }
                Err(error) => assert!(
                    (error.code, error.subcode) == (3, 9) && matches!(code, 14 | 15)
                        || (error.code, error.subcode) == (3, 2) && !known && !optional,
                    "{flags:x} on {code}: {error}"
                ),
            }
        }
    }
    let whole = update(&ROUTE, &mandatory_attributes(), &ROUTE);
    for length in 0..whole.len() {
        // An UPDATE that is truncated before the announced prefixes is valid and announces none.
        match scan_update(&whole[..length], &SESSION) {
            Ok(summary) => assert_eq!((length, summary.announced), (whole.len() - ROUTE.len(), 0)),
            Err(error) => assert_eq!(error.code, 3),
        }
    }
}

/// Guards against a text of a peer that controls the terminal of an operator, and against messages beyond the
/// maximum length.
#[test]
fn shutdown_text_is_bounded_and_free_of_control_characters() {
    let text = "ä".repeat(200);
    let cease = Notification::cease(2, &text);
    assert_eq!(cease.data.len(), 255);
    assert_eq!(cease.text().expect("a text"), "ä".repeat(127));
    let whole = notification(&cease);
    assert_eq!(Notification::read(&whole[19..]), cease);
    let mut with_control_characters = Notification::new(6, 2, b"\x08a\x1b[2Jb\xff");
    with_control_characters.data[0] = 7;
    assert_eq!(with_control_characters.text().as_deref(), Some("a [2Jb\u{fffd}"));
    with_control_characters.data[0] = 9;
    assert_eq!(with_control_characters.text(), None, "the length exceeds the data");
    assert_eq!(notification(&Notification::new(1, 1, &[0; 9000])).len(), 4096);
}

fn prefixes() -> impl Strategy<Value = Vec<(IpAddr, u8)>> {
    let v4 = (0x0100_0000u32..0xdfff_ffff, 8u8..=32).prop_map(|(a, bits)| {
        let net = ipnet::Ipv4Net::new(a.into(), bits).expect("bits").trunc();
        (IpAddr::from(net.addr()), bits)
    });
    let v6 = (any::<u64>(), 16u8..=128).prop_map(|(a, bits)| {
        let address = u128::from(a) << 60 | 0x2001 << 112;
        let net = ipnet::Ipv6Net::new(address.into(), bits).expect("bits").trunc();
        (IpAddr::from(net.addr()), bits)
    });
    proptest::collection::vec(prop_oneof![v4, v6], 0..900)
}

fn attributes() -> impl Strategy<Value = Attributes> {
    let med = proptest::option::of(any::<u32>());
    let communities = proptest::collection::vec(any::<u32>(), 0..70);
    let large = proptest::collection::vec(any::<[u32; 3]>(), 0..30);
    (med, 0..10u8, communities, large, any::<u32>()).prop_map(
        |(med, prepend, communities, large, local_pref)| Attributes {
            med,
            prepend,
            communities,
            large_communities: large,
            local_pref,
        },
    )
}

proptest! {
    #[test]
    /// Guards against an error that the encoder and the decoder of the crate share.
    fn encoded_updates_decode_equally_in_an_independent_codec(
        prefixes in prefixes(), attributes in attributes(), internal: bool, four_octet: bool, large_asn: bool,
    ) {
        let asn = if large_asn { 4_200_000_001 } else { 64512 };
        let parameters = EncodingParameters {
            asn, internal, four_octet,
            next_hop_v4: Some([192, 0, 2, 7].into()),
            next_hop_v6: Some("2001:db8::7".parse().expect("an address")),
        };
        let net = |(address, bits): &(IpAddr, u8)| ipnet::IpNet::new(*address, *bits).expect("bits");
        let desired: BTreeMap<_, _> = prefixes.iter().map(|p| (net(p), attributes.clone())).collect();
        let mut table = Table::default();
        let asn_length = if four_octet { 4 } else { 2 };
        let session = SessionParameters { asn: 1, internal, four_octet, ipv6: true };
        let mut announced = Vec::new();
        let read = |message: &Vec<u8>| {
            let header = message[..19].try_into().expect("a header");
            assert_eq!(parse_header(header), Ok((message.len(), MessageType::Update)));
            let summary = scan_update(&message[19..], &session).expect("valid");
            assert!(!summary.treated_as_withdraw && summary.discarded == 0);
            let BgpMessage::Routes(routes) = bgp_router::decode(message, asn_length) else { panic!("an UPDATE") };
            routes
        };
        let messages = table.update(&desired, &parameters);
        for message in &messages {
            let routes = read(message);
            let encoded_asn = if four_octet || !large_asn { asn } else { 23456 };
            let times = if internal { 0 } else { usize::from(attributes.prepend) + 1 };
            prop_assert_eq!(&routes.path, &vec![encoded_asn; times]);
            prop_assert_eq!(routes.med, attributes.med);
            prop_assert_eq!(routes.local_pref, internal.then_some(attributes.local_pref));
            prop_assert_eq!(&routes.communities, &attributes.communities);
            prop_assert_eq!(&routes.large_communities, &attributes.large_communities);
            announced.extend(routes.announced);
        }
        announced.sort();
        prop_assert_eq!(announced.iter().map(net).collect::<Vec<_>>(), desired.keys().copied().collect::<Vec<_>>());
        prop_assert!(table.update(&desired, &parameters).is_empty(), "an unchanged prefix was advertised again");
        let refreshed = table.refresh(&parameters, false).len() + table.refresh(&parameters, true).len();
        prop_assert_eq!(refreshed, messages.len());
        let mut withdrawn: Vec<_> =
            table.update(&BTreeMap::new(), &parameters).iter().flat_map(|m| read(m).withdrawn).collect();
        withdrawn.sort();
        prop_assert_eq!(withdrawn, announced);
    }

    #[test]
    fn arbitrary_octets_do_not_panic_a_parser(octets in proptest::collection::vec(any::<u8>(), 0..600), ipv6: bool, four_octet: bool) {
        let session = SessionParameters { four_octet, ipv6, ..SESSION };
        if let Ok(summary) = scan_update(&octets, &session) {
            prop_assert!((summary.announced + summary.withdrawn) as usize <= octets.len());
        }
        let _ = Open::read(&octets);
        let _ = Notification::read(&octets).to_string();
        if let Some(header) = octets.first_chunk() {
            let _ = parse_header(header);
        }
    }

    #[test]
    fn valid_update_with_one_changed_octet_does_not_panic(index in 0..60usize, octet: u8) {
        let mp_reach = attribute(0x80, 14, &[0, 2, 1, 16, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 48, 32, 1, 13, 184, 0, 1]);
        let mut whole = update(&ROUTE, &[mandatory_attributes(), mp_reach].concat(), &ROUTE);
        let index = index % whole.len();
        whole[index] = octet;
        let _ = scan_update(&whole, &SESSION);
    }
}
