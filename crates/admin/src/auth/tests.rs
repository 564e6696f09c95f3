//! Tests of authentication, roles and the bound on failed attempts.

use super::*;

fn authenticator() -> Authenticator {
    let token = |name: &str, text: &str, role| Token { name: name.to_owned(), role, sha256: hash(text) };
    let tokens = vec![
        token("op", "one", Role::Operator),
        token("adm", "two", Role::Administrator("a".to_owned())),
        token("read", "three", Role::Reader(None)),
    ];
    Authenticator::new(tokens, true)
}

const HERE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

#[test]
fn token_identifies_its_bearer() {
    let mut authenticator = authenticator();
    let mut bearer =
        |text: &str| authenticator.authenticate(HERE, Some(text)).map(|principal| principal.name);
    assert_eq!(bearer("Bearer two"), Ok("adm".to_owned()));
    assert_eq!(bearer("Bearer three"), Ok("read".to_owned()));
    for bad in ["Bearer four", "two", "Bearer ", "bearer two", "Bearer two "] {
        assert_eq!(bearer(bad), Err(AccessDenied::Unauthenticated), "{bad}");
    }
    assert_eq!(authenticator.authenticate(HERE, None), Err(AccessDenied::Unauthenticated));
    authenticator.replace(Vec::new());
    assert_eq!(
        authenticator.authenticate(HERE, Some("Bearer one")),
        Err(AccessDenied::Unauthenticated),
        "revoked at once, and not open"
    );
}

#[test]
fn roles_limit_what_principals_may_do() {
    let mut authenticator = authenticator();
    let mut bearer = |text: &str| authenticator.authenticate(HERE, Some(text)).expect("known");
    let operator = bearer("Bearer one");
    let administrator = bearer("Bearer two");
    let reader = bearer("Bearer three");
    let all = |principal: &Principal| {
        [
            principal.reads(None),
            principal.reads(Some("a")),
            principal.reads(Some("b")),
            principal.writes(None),
            principal.writes(Some("a")),
            principal.writes(Some("b")),
        ]
        .map(|r| r.is_ok())
    };
    assert_eq!(all(&operator), [true; 6]);
    assert_eq!(all(&administrator), [false, true, false, false, true, false]);
    assert_eq!(all(&reader), [true, true, true, false, false, false]);
}

#[test]
fn failed_attempts_are_bounded_and_expire() {
    let mut authenticator = authenticator();
    for _ in 0..10 {
        assert_eq!(authenticator.authenticate_at(0, HERE, None), Err(AccessDenied::Unauthenticated));
    }
    // Also with the right token: else it would tell which one is.
    assert_eq!(
        authenticator.authenticate_at(0, HERE, Some("Bearer one")),
        Err(AccessDenied::TooManyFailures)
    );
    let other = IpAddr::from([127, 0, 0, 2]);
    assert!(
        authenticator.authenticate_at(0, other, Some("Bearer one")).is_ok(),
        "another address is another matter"
    );
    assert!(authenticator.authenticate_at(4_000_000, HERE, Some("Bearer one")).is_ok());
    for i in 0..3000_u32 {
        let _ = authenticator.authenticate_at(
            5_000_000 + i64::from(i),
            IpAddr::from((i + 7).to_be_bytes()),
            None,
        );
    }
    assert!(authenticator.failed.len() <= MAX_ADDRESSES);
}
