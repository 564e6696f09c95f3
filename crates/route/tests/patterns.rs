//! Parsing and matching of host and path patterns.

use route::{HostPattern, PathPattern};

/// The messages reach users with the diagnostics of their configuration.
#[test]
fn invalid_patterns_give_errors_with_the_correct_form() {
    let path = |text: &str| PathPattern::parse(text).expect_err(text).to_string();
    assert_eq!(path("a/b"), "a path begins with a slash; write \"/a/b\"");
    assert!(path("/a/{}").contains("names no part"));
    assert_eq!(path("/{a}/{a}"), "two parts are named \"a\"");
    assert!(path("/a*").contains("a star is the whole of the last one"));
    assert!(path("/*/a").contains("a star is the whole of the last one"));
    assert!(path("/a//b").ends_with("write \"/a/b\""));
    assert!(path("/%61").ends_with("write \"/a\""));
    let host = |text: &str| HostPattern::parse(text).expect_err(text).to_string();
    assert_eq!(host("a b"), "\"a b\" is no host; write `name`, `*.name` or `*`");
    assert_eq!(host("a.example:80"), "routes do not tell ports apart; write \"a.example\"");
    assert_eq!(HostPattern::parse("A.Example."), Ok(HostPattern::Exact("a.example".to_owned())));
}

/// Guards against matches beyond the pattern at its boundaries: trailing slashes, empty segments, the bare
/// name of a wildcard, and names that only share a suffix.
#[test]
fn patterns_match_exactly_the_paths_and_hosts_they_describe() {
    let matches = |pattern: &str, path: &str| PathPattern::parse(pattern).expect(pattern).matches(path);
    assert!(matches("/", "/") && matches("/*", "/") && matches("/*", "/a/b") && matches("/a/*", "/a/"));
    assert!(
        !matches("/a/*", "/a") && !matches("/a", "/a/") && !matches("/a", "/a/b") && !matches("/a/*", "/ab")
    );
    assert!(matches("/a/{x}", "/a/b") && !matches("/a/{x}", "/a/") && !matches("/a/{x}", "/a/b/c"));
    assert!(matches("/a/{x}/*", "/a/b/") && matches("/a/{x}/*", "/a/b/c/d"));
    let host = |pattern: &str, host: &str| HostPattern::parse(pattern).expect(pattern).matches(host);
    assert!(host("*.a", "x.a") && host("*.a", "x.y.a") && !host("*.a", "a") && !host("*.a", "xa"));
    assert!(host("*", "") && host("a", "a") && !host("a", "b"));
}
