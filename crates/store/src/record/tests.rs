//! Tests of the encoding of versions.

use super::*;

/// Guards against a damaged version that is decoded as an intact one.
#[test]
fn flipped_bits_and_truncation_are_detected() {
    let record = Record { number: 7, at_ms: 5, who: "a".into(), why: "b".into(), body: "{}".into() };
    let bytes = record.encode();
    assert_eq!(Record::decode(&bytes), Some(record));
    for cut in 0..bytes.len() {
        assert_eq!(Record::decode(&bytes[..cut]), None, "cut at {cut}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(Record::decode(&bytes), None, "bit {bit}");
    }
}
