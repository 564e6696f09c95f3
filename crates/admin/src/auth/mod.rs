//! Principal may do what: tokens by their hashes, and a bound on failed tries.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Instant;

use config::{Role, Token};
use limit::TokenBucket;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Failed attempts of an address: at once, and a second.
const FAILURE_BURST: f64 = 10.0;
const FAILURES_PER_S: f64 = 0.5;
/// The most addresses with failed attempts; the one that failed longest ago is evicted.
const MAX_ADDRESSES: usize = 1024;

/// Principal asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Principal {
    /// The name of the token.
    pub name: String,
    /// What it may do.
    pub role: Role,
}

/// Why access is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessDenied {
    /// No token, or an unknown one.
    Unauthenticated,
    /// Too many failed attempts from an address.
    TooManyFailures,
    /// The role does not allow it.
    Forbidden,
}

impl Principal {
    /// May see what is a tenant's; with None, what is everybody's.
    ///
    /// # Errors
    /// It may not.
    pub fn reads(&self, tenant: Option<&str>) -> Result<(), AccessDenied> {
        let may = match &self.role {
            Role::Operator | Role::Reader(None) => true,
            Role::Administrator(own) | Role::Reader(Some(own)) => tenant == Some(own.as_str()),
        };
        may.then_some(()).ok_or(AccessDenied::Forbidden)
    }

    /// May change the configuration of a tenant; with None, what is the operator's.
    ///
    /// # Errors
    /// It may not.
    pub fn writes(&self, tenant: Option<&str>) -> Result<(), AccessDenied> {
        let may = match &self.role {
            Role::Operator => true,
            Role::Administrator(own) => tenant == Some(own.as_str()),
            Role::Reader(_) => false,
        };
        may.then_some(()).ok_or(AccessDenied::Forbidden)
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

/// Authenticates clients by their tokens, and bounds failed attempts of an address.
#[derive(Debug, Default)]
pub struct Authenticator {
    tokens: Vec<Token>,
    /// With no token at all everybody on this machine is the operator.
    open: bool,
    failed: BTreeMap<IpAddr, (TokenBucket, i64)>,
    started_at: Option<Instant>,
}

impl Authenticator {
    /// Accepts these tokens; with none and `loopback`, everybody is the operator.
    #[must_use]
    pub fn new(tokens: Vec<Token>, loopback: bool) -> Authenticator {
        let open = tokens.is_empty() && loopback;
        Authenticator { tokens, open, failed: BTreeMap::new(), started_at: Some(Instant::now()) }
    }

    /// The accepted tokens.
    #[must_use]
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Replaces the accepted tokens at once.
    pub fn replace(&mut self, tokens: Vec<Token>) {
        // A service that had tokens is never open again, even when the last one is revoked.
        self.open = self.open && tokens.is_empty();
        self.tokens = tokens;
    }

    /// Principal bears the token of an `Authorization` field.
    ///
    /// # Errors
    /// The token is unknown, or the address has failed too often.
    pub fn authenticate(
        &mut self,
        from: IpAddr,
        authorization: Option<&str>,
    ) -> Result<Principal, AccessDenied> {
        let now = self.started_at.map_or(0, |started_at| started_at.elapsed().as_micros() as i64);
        self.authenticate_at(now, from, authorization)
    }

    fn authenticate_at(
        &mut self,
        now: i64,
        from: IpAddr,
        authorization: Option<&str>,
    ) -> Result<Principal, AccessDenied> {
        if self.open {
            return Ok(Principal { name: "local".to_owned(), role: Role::Operator });
        }
        if let Some((bucket, _)) = self.failed.get_mut(&from) {
            if bucket.refill(now, FAILURES_PER_S, FAILURE_BURST) < 1.0 {
                return Err(AccessDenied::TooManyFailures);
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
            return Ok(Principal { name: token.name.clone(), role: token.role.clone() });
        }
        if self.failed.len() >= MAX_ADDRESSES && !self.failed.contains_key(&from) {
            let oldest = self.failed.iter().min_by_key(|(_, (_, at))| *at).map(|(ip, _)| *ip);
            oldest.and_then(|ip| self.failed.remove(&ip));
        }
        let (bucket, at) =
            self.failed.entry(from).or_insert_with(|| (TokenBucket::full(now, FAILURE_BURST), now));
        bucket.take(1.0);
        *at = now;
        Err(AccessDenied::Unauthenticated)
    }
}
