//! Guards against an unintended change of the OpenAPI document, which is a public interface. Names and doc
//! comments of the types and handlers of the API end up in it.

/// The FNV-1a hash of the document, and its length in bytes.
const EXPECTED: (u64, usize) = (17_840_495_812_242_965_812, 18_211);

#[test]
fn openapi_document_is_byte_for_byte_unchanged() {
    let document = serde_json::to_string(&admin::openapi()).expect("JSON");
    let hash = document.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    assert_eq!((hash, document.len()), EXPECTED, "{document}");
}
