//! Ownership of hosts: patterns of different owners must not overlap, or one tenant could take over hosts of
//! another.

use route::{HostOwners, HostPattern};

fn pattern(text: &str) -> HostPattern {
    HostPattern::parse(text).expect(text)
}

#[test]
fn overlapping_pattern_of_another_owner_is_rejected() {
    let overlapping = [
        ("a.x", "a.x"),
        ("*.x", "*.x"),
        ("*.x", "a.x"),
        ("a.x", "*.x"),
        ("*.x", "*.b.x"),
        ("*.b.x", "*.x"),
        ("*", "a"),
        ("a", "*"),
    ];
    for (first, second) in overlapping {
        let mut hosts = HostOwners::default();
        assert_eq!(hosts.insert(&pattern(first), 1), Ok(()));
        assert_eq!(hosts.insert(&pattern(second), 2), Err(1), "{first}, then {second}");
        assert_eq!(hosts.insert(&pattern(second), 1), Ok(()), "an owner may overlap with its own patterns");
    }
    let mut hosts = HostOwners::default();
    for (host, owner) in [("*.x", 1), ("x", 2), ("*.y", 3), ("a.xx", 4)] {
        assert_eq!(hosts.insert(&pattern(host), owner), Ok(()), "{host}");
    }
    let owner = |host: &str| hosts.owner(host).copied();
    assert_eq!(
        [owner("a.b.x"), owner("x"), owner("a.y"), owner("a.xx"), owner("z")],
        [Some(1), Some(2), Some(3), Some(4), None]
    );
}
