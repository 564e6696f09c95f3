//! Tests of authentication, roles and the rate limit on failed attempts.

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

const CLIENT: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

/// A revoked last token must not turn the service into one without authentication.
#[test]
fn known_token_identifies_principal_and_others_are_rejected() {
    let mut authenticator = authenticator();
    let mut bearer =
        |text: &str| authenticator.authenticate(CLIENT, Some(text)).map(|principal| principal.name);
    assert_eq!(bearer("Bearer two"), Ok("adm".to_owned()));
    assert_eq!(bearer("Bearer three"), Ok("read".to_owned()));
    for bad in ["Bearer four", "two", "Bearer ", "bearer two", "Bearer two "] {
        assert_eq!(bearer(bad), Err(AccessDenied::Unauthenticated), "{bad}");
    }
    assert_eq!(authenticator.authenticate(CLIENT, None), Err(AccessDenied::Unauthenticated));
    authenticator.replace_tokens(Vec::new());
    assert_eq!(
        authenticator.authenticate(CLIENT, Some("Bearer one")),
        Err(AccessDenied::Unauthenticated),
        "a revoked token is rejected at once, and the service does not become open"
    );
}

#[test]
fn roles_limit_reads_and_writes_by_tenant() {
    let mut authenticator = authenticator();
    let mut bearer = |text: &str| authenticator.authenticate(CLIENT, Some(text)).expect("known");
    let operator = bearer("Bearer one");
    let administrator = bearer("Bearer two");
    let reader = bearer("Bearer three");
    let permissions = |principal: &Principal| {
        [
            principal.authorize_read(None),
            principal.authorize_read(Some("a")),
            principal.authorize_read(Some("b")),
            principal.authorize_write(None),
            principal.authorize_write(Some("a")),
            principal.authorize_write(Some("b")),
        ]
        .map(|r| r.is_ok())
    };
    assert_eq!(permissions(&operator), [true; 6]);
    assert_eq!(permissions(&administrator), [false, true, false, false, true, false]);
    assert_eq!(permissions(&reader), [true, true, true, false, false, false]);
}

/// Guards against unlimited guesses from one address, and against unlimited memory for many addresses.
#[test]
fn failed_attempts_are_limited_by_address_and_expire() {
    let mut authenticator = authenticator();
    for _ in 0..10 {
        assert_eq!(authenticator.authenticate_at(0, CLIENT, None), Err(AccessDenied::Unauthenticated));
    }
    // A valid token is rejected too: otherwise the response would reveal which token is valid.
    assert_eq!(
        authenticator.authenticate_at(0, CLIENT, Some("Bearer one")),
        Err(AccessDenied::TooManyFailures)
    );
    let other = IpAddr::from([127, 0, 0, 2]);
    assert!(
        authenticator.authenticate_at(0, other, Some("Bearer one")).is_ok(),
        "the failures of one address do not count against another"
    );
    assert!(authenticator.authenticate_at(4_000_000, CLIENT, Some("Bearer one")).is_ok());
    for i in 0..3000_u32 {
        let _ = authenticator.authenticate_at(
            5_000_000 + i64::from(i),
            IpAddr::from((i + 7).to_be_bytes()),
            None,
        );
    }
    assert!(authenticator.failures.len() <= MAX_ADDRESSES);
}
