//! Tests of path templates.

use super::*;

/// Guards against a value that changes the path: a slash, a relative segment or an empty segment. Malformed
/// templates are rejected.
#[test]
fn path_template_is_filled_in_and_escaped() {
    let template = PathTemplate::parse("/a/{b}/{_meta.c}").expect("valid template");
    let fill = |value: &str| template.fill(|member| (member.name == "b").then(|| value.to_owned()));
    assert_eq!(fill("x y/ü"), "/a/x%20y%2F%C3%BC/-");
    assert_eq!(fill(""), "/a/-/-");
    assert_eq!(fill(".."), "/a/%2E-%2E-/-");
    for bad in ["", "a", "/a?b", "/a//b", "/../a", "/{a", "/{}", "/{a.b.c}", "/a b", "/%41"] {
        assert_eq!(PathTemplate::parse(bad), None, "{bad}");
    }
}
