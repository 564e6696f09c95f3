//! Who may do what: tokens by their hashes, and a bound on failed tries.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Instant;

use config::{Role, Token};
use limit::TokenBucket;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Failed tries of an address at once, and a second.
const TRIES: f64 = 10.0;
const TRIES_PER_S: f64 = 0.5;
/// Addresses that are remembered for their failed tries; with more, those that failed least lately are forgotten.
const MOST_ADDRESSES: usize = 1024;

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Who {
    /// The name of the token.
    pub name: String,
    /// What it may do.
    pub role: Role,
}

/// Why somebody may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No token, or none that is known.
    Unknown,
    /// Too many failed tries from there.
    TooMany,
    /// Known, and not allowed.
    Forbidden,
}

impl Who {
    /// May see what is a tenant's; with None, what is everybody's.
    ///
    /// # Errors
    /// It may not.
    pub fn reads(&self, tenant: Option<&str>) -> Result<(), Denied> {
        let may = match &self.role {
            Role::Operator | Role::Reader(None) => true,
            Role::Administrator(own) | Role::Reader(Some(own)) => tenant == Some(own.as_str()),
        };
        may.then_some(()).ok_or(Denied::Forbidden)
    }

    /// May change the configuration of a tenant; with None, what is the operator's.
    ///
    /// # Errors
    /// It may not.
    pub fn writes(&self, tenant: Option<&str>) -> Result<(), Denied> {
        let may = match &self.role {
            Role::Operator => true,
            Role::Administrator(own) => tenant == Some(own.as_str()),
            Role::Reader(_) => false,
        };
        may.then_some(()).ok_or(Denied::Forbidden)
    }
}

/// The hash of a token.
#[must_use]
pub fn hash(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// A new token: 256 random bits.
///
/// # Errors
/// The system gives no random bits.
pub fn new_token() -> Result<String, String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|e| e.to_string())?;
    Ok(hex(&bytes))
}

/// Bytes in hex digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Knows tokens.
#[derive(Debug, Default)]
pub struct Doorman {
    tokens: Vec<Token>,
    /// With no token at all everybody on this machine is the operator.
    open: bool,
    failed: BTreeMap<IpAddr, (TokenBucket, i64)>,
    began: Option<Instant>,
}

impl Doorman {
    /// One that lets in whoever bears one of these; with none and `loopback`, everybody.
    #[must_use]
    pub fn new(tokens: Vec<Token>, loopback: bool) -> Doorman {
        let open = tokens.is_empty() && loopback;
        Doorman { tokens, open, failed: BTreeMap::new(), began: Some(Instant::now()) }
    }

    /// The tokens that it knows.
    #[must_use]
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Puts others in their place, at once.
    pub fn replace(&mut self, tokens: Vec<Token>) {
        // A service that had tokens is never open again: to revoke the last one locks the door.
        self.open = self.open && tokens.is_empty();
        self.tokens = tokens;
    }

    /// Who bears the token of an `Authorization` field.
    ///
    /// # Errors
    /// Nobody, or somebody who has failed too often.
    pub fn who(&mut self, from: IpAddr, authorization: Option<&str>) -> Result<Who, Denied> {
        let now = self.began.map_or(0, |b| b.elapsed().as_micros() as i64);
        self.who_at(now, from, authorization)
    }

    fn who_at(&mut self, now: i64, from: IpAddr, authorization: Option<&str>) -> Result<Who, Denied> {
        if self.open {
            return Ok(Who { name: "local".to_owned(), role: Role::Operator });
        }
        if let Some((bucket, _)) = self.failed.get_mut(&from) {
            if bucket.refill(now, TRIES_PER_S, TRIES) < 1.0 {
                return Err(Denied::TooMany);
            }
        }
        let token = authorization.and_then(|a| a.strip_prefix("Bearer ")).unwrap_or_default();
        let hashed = hash(token);
        // Every token is compared whole, so that the time tells nothing of which one is near.
        let (mut found, mut at) = (Choice::from(0), 0_u64);
        for (i, known) in self.tokens.iter().enumerate() {
            let same = known.sha256.ct_eq(&hashed);
            at = u64::conditional_select(&at, &(i as u64), same);
            found |= same;
        }
        if bool::from(found) {
            let token = &self.tokens[at as usize];
            return Ok(Who { name: token.name.clone(), role: token.role.clone() });
        }
        if self.failed.len() >= MOST_ADDRESSES && !self.failed.contains_key(&from) {
            let oldest = self.failed.iter().min_by_key(|(_, (_, at))| *at).map(|(ip, _)| *ip);
            oldest.and_then(|ip| self.failed.remove(&ip));
        }
        let (bucket, at) = self.failed.entry(from).or_insert_with(|| (TokenBucket::full(now, TRIES), now));
        bucket.take(1.0);
        *at = now;
        Err(Denied::Unknown)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn doorman() -> Doorman {
        let token = |name: &str, text: &str, role| Token { name: name.to_owned(), role, sha256: hash(text) };
        let tokens = vec![
            token("op", "one", Role::Operator),
            token("adm", "two", Role::Administrator("a".to_owned())),
            token("read", "three", Role::Reader(None)),
        ];
        Doorman::new(tokens, true)
    }

    const HERE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

    #[test]
    fn who_bears_which_token() {
        let mut doorman = doorman();
        let mut who = |text: &str| doorman.who(HERE, Some(text)).map(|w| w.name);
        assert_eq!(who("Bearer two"), Ok("adm".to_owned()));
        assert_eq!(who("Bearer three"), Ok("read".to_owned()));
        for bad in ["Bearer four", "two", "Bearer ", "bearer two", "Bearer two "] {
            assert_eq!(who(bad), Err(Denied::Unknown), "{bad}");
        }
        assert_eq!(doorman.who(HERE, None), Err(Denied::Unknown));
        doorman.replace(Vec::new());
        assert_eq!(
            doorman.who(HERE, Some("Bearer one")),
            Err(Denied::Unknown),
            "revoked at once, and not open"
        );
    }

    #[test]
    fn roles_reach_so_far() {
        let mut doorman = doorman();
        let mut who = |text: &str| doorman.who(HERE, Some(text)).expect("known");
        let (op, adm, read) = (who("Bearer one"), who("Bearer two"), who("Bearer three"));
        let all = |who: &Who| {
            [
                who.reads(None),
                who.reads(Some("a")),
                who.reads(Some("b")),
                who.writes(None),
                who.writes(Some("a")),
                who.writes(Some("b")),
            ]
            .map(|r| r.is_ok())
        };
        assert_eq!(all(&op), [true; 6]);
        assert_eq!(all(&adm), [false, true, false, false, true, false]);
        assert_eq!(all(&read), [true, true, true, false, false, false]);
    }

    #[test]
    fn failed_tries_are_bounded_and_forgotten_in_time() {
        let mut doorman = doorman();
        for _ in 0..10 {
            assert_eq!(doorman.who_at(0, HERE, None), Err(Denied::Unknown));
        }
        // Also with the right token: else it would tell which one is.
        assert_eq!(doorman.who_at(0, HERE, Some("Bearer one")), Err(Denied::TooMany));
        let other = IpAddr::from([127, 0, 0, 2]);
        assert!(doorman.who_at(0, other, Some("Bearer one")).is_ok(), "another address is another matter");
        assert!(doorman.who_at(4_000_000, HERE, Some("Bearer one")).is_ok());
        for i in 0..3000_u32 {
            let _ = doorman.who_at(5_000_000 + i64::from(i), IpAddr::from((i + 7).to_be_bytes()), None);
        }
        assert!(doorman.failed.len() <= MOST_ADDRESSES);
    }
}
