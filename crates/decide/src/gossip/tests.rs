use super::{GossipMessage, LoadSignal, PeerLoad};
use crate::EndpointId;

/// Guards the encoding of load signals: a byte read as another signal would make peers shed or eject by
/// mistake.
#[test]
fn every_signal_byte_round_trips() {
    for byte in 0..=u8::MAX {
        assert_eq!(LoadSignal::from_byte(byte).to_byte(), byte);
    }
}

/// Guards the wire format between balancers of different versions.
#[test]
fn message_is_six_bytes_with_a_little_endian_id() {
    let message =
        GossipMessage { endpoint: EndpointId(0x0403_0201), in_flight: 9, signal: LoadSignal::Rejected };
    assert_eq!(message.encode(), [1, 2, 3, 4, 9, 255]);
    assert_eq!(GossipMessage::decode(&[1, 2, 3, 4, 9, 255]), Some(message));
    assert_eq!(GossipMessage::decode(&[1, 2, 3, 4, 9]), None);
}

/// Guards against the last message of a peer that stopped: its attempts would count as in flight for ever.
#[test]
fn reports_of_peers_without_messages_expire() {
    let mut load = PeerLoad::default();
    load.record(0, 1, 5);
    load.record(60, 2, 7);
    assert_eq!(load.in_flight(99, 100), 12);
    assert_eq!(load.in_flight(100, 100), 7);
}
