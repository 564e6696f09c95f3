//! Validation of request heads: a head that is cut off is malformed, and no byte sequence panics.

use super::*;

#[test]
fn head_ends_at_its_empty_line() {
    let head =
        b"POST /a%20b/c?d=e&f HTTP/1.1\r\nHost: a\r\nAccept: x\r\nAccept: y\r\nContent-Length: 3\r\n\r\n";
    let mut raw = head.to_vec();
    raw.extend(b"abc\r\n\r\n");
    assert_eq!(validate_head(&raw), Ok(head.len()));
    for cut in 0..head.len() {
        assert_eq!(validate_head(&head[..cut]), Err(HeadError::Malformed), "cut at {cut}");
    }
}

#[test]
fn no_byte_sequence_panics() {
    // Each byte of a valid head is replaced by each possible byte. The result must be accepted or rejected,
    // not panic.
    let head = b"GET /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for at in 0..head.len() {
        for byte in 0..=255 {
            let mut raw = head.to_vec();
            raw[at] = byte;
            if let Ok(length) = validate_head(&raw) {
                assert!(length <= raw.len() && raw[..length].ends_with(b"\r\n\r\n"));
            }
        }
    }
}
