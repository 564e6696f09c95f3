//! Normalization of paths and hosts. Different spellings of one path must not be routed differently, and
//! ambiguous or malformed ones must be rejected, so that no request bypasses the rules of a route.

use route::normalize::{host, path, NormalizeError, MAX_SEGMENTS};

#[test]
fn equivalent_paths_have_one_normal_form_and_invalid_ones_are_rejected() {
    let cases = [
        ("/", Ok("/")),
        ("/a/b", Ok("/a/b")),
        ("/a/b/", Ok("/a/b/")),
        ("//", Ok("/")),
        ("/a//b", Ok("/a/b")),
        ("//a///b//", Ok("/a/b/")),
        ("/a/./b", Ok("/a/b")),
        ("/a/b/..", Ok("/a/")),
        ("/a/b/.", Ok("/a/b/")),
        ("/a/../b", Ok("/b")),
        ("/a/%2e%2e/b", Ok("/b")),
        ("/a/%2E./b", Ok("/b")),
        ("/%61/%7e", Ok("/a/~")),
        ("/a%2fb", Ok("/a%2Fb")),
        ("/a%20b", Ok("/a%20b")),
        ("/a b", Ok("/a%20b")),
        ("/a%2Bb+c", Ok("/a%2Bb+c")),
        ("/\u{e9}", Ok("/%C3%A9")),
        ("/...", Ok("/...")),
        ("/.a", Ok("/.a")),
        ("/..", Err(NormalizeError::AboveRoot)),
        ("/a/../..", Err(NormalizeError::AboveRoot)),
        ("/%2e%2e/a", Err(NormalizeError::AboveRoot)),
        ("/a%00", Err(NormalizeError::ControlCharacter)),
        ("/a%0d%0ab", Err(NormalizeError::ControlCharacter)),
        ("/a%7f", Err(NormalizeError::ControlCharacter)),
        ("/a\n", Err(NormalizeError::ControlCharacter)),
        ("/a%", Err(NormalizeError::BrokenEncoding)),
        ("/a%2", Err(NormalizeError::BrokenEncoding)),
        ("/a%zz", Err(NormalizeError::BrokenEncoding)),
        ("/a%+1", Err(NormalizeError::BrokenEncoding)),
        ("/a/..%2fb", Err(NormalizeError::HiddenDotSegment)),
        ("/a/%2e%2e%5cb", Err(NormalizeError::HiddenDotSegment)),
        ("/a/..\\b", Err(NormalizeError::HiddenDotSegment)),
        ("a", Err(NormalizeError::NotAbsolute)),
        ("", Err(NormalizeError::NotAbsolute)),
        ("*", Err(NormalizeError::NotAbsolute)),
    ];
    for (raw, expected) in cases {
        assert_eq!(path(raw).as_deref(), expected.as_ref().map(|s| *s), "{raw}");
    }
    assert_eq!(path(&"/a".repeat(MAX_SEGMENTS)).map(|p| p.len()), Ok(2 * MAX_SEGMENTS));
    assert_eq!(path(&"/a".repeat(MAX_SEGMENTS + 1)), Err(NormalizeError::TooManySegments));
}

#[test]
fn equivalent_hosts_have_one_normal_form_and_invalid_ones_are_rejected() {
    let cases = [
        ("a.example", Ok(("a.example", None))),
        ("A.Example.", Ok(("a.example", None))),
        ("A.example:8080", Ok(("a.example", Some(8080)))),
        ("a.example.:80", Ok(("a.example", Some(80)))),
        ("a.example:", Ok(("a.example", None))),
        ("127.0.0.1:1", Ok(("127.0.0.1", Some(1)))),
        ("[::1]:9", Ok(("[::1]", Some(9)))),
        ("[0:0::0001]", Ok(("[::1]", None))),
        ("", Ok(("", None))),
        (".", Err(NormalizeError::InvalidHost)),
        (":80", Err(NormalizeError::InvalidHost)),
        ("a..b", Err(NormalizeError::InvalidHost)),
        ("a.example..", Err(NormalizeError::InvalidHost)),
        ("a b", Err(NormalizeError::InvalidHost)),
        ("a%2eb", Err(NormalizeError::InvalidHost)),
        ("user@a", Err(NormalizeError::InvalidHost)),
        ("a,b", Err(NormalizeError::InvalidHost)),
        ("[::1", Err(NormalizeError::InvalidHost)),
        ("[::1]x", Err(NormalizeError::InvalidHost)),
        ("::1", Err(NormalizeError::InvalidPort)),
        ("a:65536", Err(NormalizeError::InvalidPort)),
        ("a:+1", Err(NormalizeError::InvalidPort)),
    ];
    for (raw, expected) in cases {
        let actual = host(raw).map(|h| (h.name.into_owned(), h.port));
        assert_eq!(actual.as_ref().map(|(n, p)| (n.as_str(), *p)), expected.as_ref().map(|x| *x), "{raw}");
    }
}
