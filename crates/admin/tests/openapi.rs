//! The OpenAPI document is the operators' interface: its bytes stay the same.

/// FNV-1a of the document, and its length in bytes, as measured before the API became a module for each resource.
const EXPECTED: (u64, usize) = (17_840_495_812_242_965_812, 18_211);

#[test]
fn the_openapi_document_keeps_its_bytes() {
    let document = serde_json::to_string(&admin::openapi()).expect("JSON");
    let hash = document.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    assert_eq!((hash, document.len()), EXPECTED, "{document}");
}
