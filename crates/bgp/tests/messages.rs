//! Messages: ours against a codec that shares nothing with them, and everything that a peer can send wrongly.

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

fn path() -> Vec<u8> {
    attribute(0x40, 2, &[2, 1, 0, 0, 0xfd, 0xe8])
}

fn hop() -> Vec<u8> {
    attribute(0x40, 3, &[192, 0, 2, 1])
}

fn sound() -> Vec<u8> {
    [origin(), path(), hop()].concat()
}

#[test]
fn headers() {
    let header = |length: u16, kind: u8| {
        let mut header = [0xff; 19];
        header[16..18].copy_from_slice(&length.to_be_bytes());
        header[18] = kind;
        header
    };
    assert_eq!(parse_header(&header(19, 4)), Ok((19, MessageType::Keepalive)));
    assert_eq!(parse_header(&header(4096, 2)), Ok((4096, MessageType::Update)));
    assert_eq!(parse_header(&header(23, 5)), Ok((23, MessageType::RouteRefresh)));
    for marked in 0..16 {
        let mut wrong = header(19, 4);
        wrong[marked] = 0xfe;
        assert_eq!(parse_header(&wrong), Err(Notification::new(1, 1, &[])));
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
fn opens() {
    let good: Vec<(u8, Vec<u8>)> = bgp_router::default_capabilities(4_200_000_000);
    let borrowed: Vec<(u8, &[u8])> = good.iter().map(|(c, v)| (*c, v.as_slice())).collect();
    let whole = bgp_router::encode_open(4_200_000_000, 90, [10, 0, 0, 1], &borrowed);
    let open = Open::read(&whole[19..]).expect("a good one");
    assert_eq!((open.asn, open.hold_s, open.four_octet), (4_200_000_000, 90, true));
    assert!(open.ipv4 && open.ipv6 && open.refresh);
    // Cut short at each octet, and with a length that lies by one.
    for length in 0..whole.len() - 19 {
        assert_eq!(Open::read(&whole[19..19 + length]).expect_err("cut").code, 2, "at {length}");
    }
    for place in [28, 30, 32] {
        for change in [-1i8, 1] {
            let mut lies = whole.clone();
            lies[place] = lies[place].wrapping_add_signed(change);
            assert_eq!(Open::read(&lies[19..]).expect_err("a lie").code, 2, "{change} at {place}");
        }
    }
    let bare = |asn, hold, id, version| {
        let mut whole = bgp_router::encode_open(asn, hold, id, &[]);
        whole[19] = version;
        Open::read(&whole[19..])
    };
    let open = bare(64513, 3, [10, 0, 0, 1], 4).expect("as old as can be");
    assert!(open.ipv4 && !open.ipv6 && !open.four_octet);
    assert_eq!(bare(64513, 90, [10, 0, 0, 1], 3), Err(Notification::new(2, 1, &[0, 4])));
    for hold in [0, 1, 2] {
        assert_eq!(bare(64513, hold, [10, 0, 0, 1], 4), Err(Notification::new(2, 6, &[])));
    }
    for id in [[0; 4], [255; 4], [224, 0, 0, 1]] {
        assert_eq!(bare(64513, 90, id, 4), Err(Notification::new(2, 3, &[])));
    }
    for asn in [0, 23456] {
        assert_eq!(bare(asn, 90, [10, 0, 0, 1], 4), Err(Notification::new(2, 2, &[])));
    }
    let mut odd = bgp_router::encode_open(64513, 90, [10, 0, 0, 1], &[(2, &[])]);
    odd[29] = 1;
    assert_eq!(Open::read(&odd[19..]), Err(Notification::new(2, 4, &[])));
    // RFC 9072's longer form, with a capability that nobody knows.
    let mut long = vec![4, 0xfc, 1, 0, 90, 10, 0, 0, 1, 255, 255, 0, 9, 2, 0, 6, 200, 4, 1, 2, 3, 4];
    assert!(Open::read(&long).is_ok());
    long[12] = 10;
    assert!(Open::read(&long).is_err());
}

#[test]
fn what_a_malformed_update_does_follows_rfc_7606() {
    let seen = |attributes: Vec<u8>| scan_update(&update(&[], &attributes, &ROUTE), &SESSION);
    let withdrawn = |attributes: Vec<u8>| seen(attributes).expect("no reset").treated_as_withdraw;
    let good = scan_update(&update(&ROUTE, &sound(), &ROUTE), &SESSION).expect("good");
    assert_eq!((good.announced, good.withdrawn, good.treated_as_withdraw), (1, 1, false));
    // A well-known mandatory one is missing.
    assert!(withdrawn([origin(), path()].concat()));
    assert!(withdrawn([origin(), hop()].concat()));
    assert!(withdrawn([path(), hop()].concat()));
    // Values.
    let other = |attribute: Vec<u8>| [sound(), attribute].concat();
    let instead = |code: u8, attribute: Vec<u8>| {
        let all = [(1, origin()), (2, path()), (3, hop())];
        let mut all: Vec<u8> = all.into_iter().filter(|(c, _)| *c != code).flat_map(|(_, a)| a).collect();
        all.extend(attribute);
        all
    };
    assert!(withdrawn(instead(1, attribute(0x40, 1, &[3]))));
    assert!(withdrawn(instead(1, attribute(0x40, 1, &[0, 0]))));
    assert!(withdrawn(instead(2, attribute(0x40, 2, &[2, 2, 0, 0, 0, 1]))));
    assert!(withdrawn(instead(2, attribute(0x40, 2, &[9, 1, 0, 0, 0, 1]))));
    assert!(withdrawn(instead(2, attribute(0x40, 2, &[2, 0]))));
    assert!(withdrawn(instead(3, attribute(0x40, 3, &[1, 2, 3]))));
    assert!(withdrawn(other(attribute(0x80, 4, &[0; 3]))));
    assert!(withdrawn(other(attribute(0xc0, 8, &[0; 5]))));
    assert!(withdrawn(other(attribute(0xc0, 8, &[]))));
    assert!(withdrawn(other(attribute(0xc0, 16, &[0; 7]))));
    assert!(withdrawn(other(attribute(0xc0, 32, &[0; 11]))));
    // Those that do no harm are dropped alone.
    for harmless in [
        attribute(0x40, 5, &[0, 0, 0, 100]),
        attribute(0x40, 6, &[1]),
        attribute(0xc0, 7, &[0; 5]),
        attribute(0x80, 9, &[0; 4]),
        attribute(0x80, 10, &[0; 4]),
        attribute(0xc0, 17, &[1]),
        attribute(0xc0, 18, &[1]),
        origin(),
    ] {
        let seen = seen(other(harmless)).expect("no reset");
        assert_eq!((seen.treated_as_withdraw, seen.discarded), (false, 1));
    }
    // A loop is seen, also behind other numbers.
    assert!(seen(instead(2, attribute(0x40, 2, &[2, 2, 0, 0, 0, 1, 0, 0, 0xfc, 0]))).expect("good").looped);
    // Within an AS the preference has to be there.
    let internal = SessionParameters { internal: true, ..SESSION };
    assert!(scan_update(&update(&[], &sound(), &ROUTE), &internal).expect("no reset").treated_as_withdraw);
    let with = other(attribute(0x40, 5, &[0, 0, 0, 100]));
    assert!(!scan_update(&update(&[], &with, &ROUTE), &internal).expect("no reset").treated_as_withdraw);
    // Routes that cannot be found, and families that cannot be read, end the session.
    let reset = |body: Vec<u8>| scan_update(&body, &SESSION).expect_err("a reset");
    let reset = |body: Vec<u8>| (reset(body.clone()).code, reset(body).subcode);
    assert_eq!(reset(update(&[], &sound(), &[33, 1, 2, 3, 4, 5])), (3, 10));
    assert_eq!(reset(update(&[24, 1], &[], &[])), (3, 10));
    assert_eq!(reset(update(&[], &sound(), &[24, 1, 2])), (3, 10));
    let mut lies = update(&[], &sound(), &ROUTE);
    lies[3] = 200;
    assert_eq!(reset(lies), (3, 1));
    let twice = attribute(0x80, 15, &[0, 2, 1]);
    assert_eq!(reset(update(&[], &[twice.clone(), twice].concat(), &[])), (3, 1));
    assert_eq!(reset(update(&[], &attribute(0x80, 14, &[0, 2, 1, 9]), &[])), (3, 9));
    assert_eq!(reset(update(&[], &attribute(0x80, 15, &[0, 2, 1, 129, 0]), &[])), (3, 9));
    let unknown = attribute(0x40, 99, &[7]);
    let told = scan_update(&update(&[], &unknown, &[]), &SESSION).expect_err("a reset");
    assert_eq!(told, Notification::new(3, 2, &[0x40, 99, 1, 7]));
    // A family that is not spoken is none of ours.
    assert_eq!(
        scan_update(&update(&[], &attribute(0x80, 15, &[0, 25, 65, 9]), &[]), &SESSION)
            .expect("good")
            .withdrawn,
        0
    );
}

#[test]
fn every_flag_on_every_attribute_and_each_octet_cut_off() {
    for flags in 0..=255u8 {
        for code in 0..=255u8 {
            let mut one = vec![flags, code];
            if flags & 0x10 != 0 {
                one.push(0);
            }
            one.extend([4, 0, 0, 0, 1]);
            let optional = flags & 0x80 != 0;
            let known = matches!(code, 1..=10 | 14..=18 | 32);
            match scan_update(&update(&[], &[sound(), one].concat(), &ROUTE), &SESSION) {
                Ok(seen) => {
                    let transitive = flags & 0x40 != 0;
                    let wanted = match code {
                        4 | 9 | 10 | 14 | 15 => (true, false),
                        1..=3 | 5 | 6 => (false, true),
                        _ => (true, true),
                    };
                    if known && (optional, transitive) != wanted && !matches!(code, 1..=3) {
                        assert!(seen.treated_as_withdraw || seen.discarded > 0, "{flags:x} on {code}");
                    }
                    assert!(known || optional, "a well-known one that nobody knows: {code}");
                }
                Err(why) => assert!(
                    (why.code, why.subcode) == (3, 9) && matches!(code, 14 | 15)
                        || (why.code, why.subcode) == (3, 2) && !known && !optional,
                    "{flags:x} on {code}: {why}"
                ),
            }
        }
    }
    let whole = update(&ROUTE, &sound(), &ROUTE);
    for length in 0..whole.len() {
        // Cut before its routes it is one without, if only the lengths agree.
        match scan_update(&whole[..length], &SESSION) {
            Ok(seen) => assert_eq!((length, seen.announced), (whole.len() - ROUTE.len(), 0)),
            Err(why) => assert_eq!(why.code, 3),
        }
    }
}

#[test]
fn texts_of_a_shutdown_are_bounded_and_harm_no_terminal() {
    let text = "ä".repeat(200);
    let cease = Notification::cease(2, &text);
    assert_eq!(cease.data.len(), 255);
    assert_eq!(cease.text().expect("a text"), "ä".repeat(127));
    let whole = notification(&cease);
    assert_eq!(Notification::read(&whole[19..]), cease);
    let mut rude = Notification::new(6, 2, b"\x08a\x1b[2Jb\xff");
    rude.data[0] = 7;
    assert_eq!(rude.text().as_deref(), Some("a [2Jb\u{fffd}"));
    rude.data[0] = 9;
    assert_eq!(rude.text(), None, "longer than it is");
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
    fn what_is_written_is_read_the_same_by_another_codec(
        prefixes in prefixes(), attributes in attributes(), internal: bool, four_octet: bool, big: bool,
    ) {
        let asn = if big { 4_200_000_001 } else { 64512 };
        let speaker = EncodingParameters {
            asn, internal, four_octet,
            next_hop_v4: Some([192, 0, 2, 7].into()),
            next_hop_v6: Some("2001:db8::7".parse().expect("an address")),
        };
        let net = |(address, bits): &(IpAddr, u8)| ipnet::IpNet::new(*address, *bits).expect("bits");
        let wanted: BTreeMap<_, _> = prefixes.iter().map(|p| (net(p), attributes.clone())).collect();
        let mut table = Table::default();
        let wide = if four_octet { 4 } else { 2 };
        let session = SessionParameters { asn: 1, internal, four_octet, ipv6: true };
        let mut announced = Vec::new();
        let read = |message: &Vec<u8>| {
            let header = message[..19].try_into().expect("a header");
            assert_eq!(parse_header(header), Ok((message.len(), MessageType::Update)));
            let seen = scan_update(&message[19..], &session).expect("sound");
            assert!(!seen.treated_as_withdraw && seen.discarded == 0);
            let BgpMessage::Routes(routes) = bgp_router::decode(message, wide) else { panic!("an UPDATE") };
            routes
        };
        let messages = table.update(&wanted, &speaker);
        for message in &messages {
            let routes = read(message);
            let shown = if four_octet || !big { asn } else { 23456 };
            let times = if internal { 0 } else { usize::from(attributes.prepend) + 1 };
            prop_assert_eq!(&routes.path, &vec![shown; times]);
            prop_assert_eq!(routes.med, attributes.med);
            prop_assert_eq!(routes.local_pref, internal.then_some(attributes.local_pref));
            prop_assert_eq!(&routes.communities, &attributes.communities);
            prop_assert_eq!(&routes.large_communities, &attributes.large_communities);
            announced.extend(routes.announced);
        }
        announced.sort();
        prop_assert_eq!(announced.iter().map(net).collect::<Vec<_>>(), wanted.keys().copied().collect::<Vec<_>>());
        prop_assert!(table.update(&wanted, &speaker).is_empty(), "what was told is not told again");
        let again = table.refresh(&speaker, false).len() + table.refresh(&speaker, true).len();
        prop_assert_eq!(again, messages.len());
        let mut gone: Vec<_> =
            table.update(&BTreeMap::new(), &speaker).iter().flat_map(|m| read(m).withdrawn).collect();
        gone.sort();
        prop_assert_eq!(gone, announced);
    }

    #[test]
    fn no_octets_make_a_reader_panic(octets in proptest::collection::vec(any::<u8>(), 0..600), v6: bool, wide: bool) {
        let session = SessionParameters { four_octet: wide, ipv6: v6, ..SESSION };
        if let Ok(seen) = scan_update(&octets, &session) {
            prop_assert!((seen.announced + seen.withdrawn) as usize <= octets.len());
        }
        let _ = Open::read(&octets);
        let _ = Notification::read(&octets).to_string();
        if let Some(header) = octets.first_chunk() {
            let _ = parse_header(header);
        }
    }

    #[test]
    fn nor_does_a_sound_message_with_one_octet_changed(place in 0..60usize, octet: u8) {
        let rest = attribute(0x80, 14, &[0, 2, 1, 16, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 48, 32, 1, 13, 184, 0, 1]);
        let mut whole = update(&ROUTE, &[sound(), rest].concat(), &ROUTE);
        let place = place % whole.len();
        whole[place] = octet;
        let _ = scan_update(&whole, &SESSION);
    }
}
