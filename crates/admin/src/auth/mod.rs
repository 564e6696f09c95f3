//! Authentication by bearer tokens, authorization by roles, and a rate limit on failed attempts.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Instant;

use config::{Role, Token};
use limit::TokenBucket;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// The number of failed attempts that an address may make at once.
const FAILURE_BURST: f64 = 10.0;
/// The number of further failed attempts per second and address.
const FAILURES_PER_S: f64 = 0.5;
/// The maximum number of addresses with failed attempts; beyond it, the address that failed longest ago is
/// evicted.
const MAX_ADDRESSES: usize = 1024;

/// An authenticated client of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Principal {
    /// The name of the token.
    pub name: String,
    /// The role, which determines the permissions.
    pub role: Role,
}

/// Why access is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessDenied {
    /// The request has no token, or an unknown one.
    Unauthenticated,
    /// The client's address has made too many failed attempts.
    TooManyFailures,
    /// The role does not permit the operation.
    Forbidden,
}

impl Principal {
    /// Checks the permission to read the data of a tenant; with `None`, the data of the whole service.
    ///
    /// # Errors
    /// If the role does not permit it, returns [`AccessDenied::Forbidden`].
    pub fn authorize_read(&self, tenant: Option<&str>) -> Result<(), AccessDenied> {
        let is_allowed = match &self.role {
            Role::Operator | Role::Reader(None) => true,
            Role::Administrator(own) | Role::Reader(Some(own)) => tenant == Some(own.as_str()),
        };
        is_allowed.then_some(()).ok_or(AccessDenied::Forbidden)
    }

    /// Checks the permission to change the configuration of a tenant; with `None`, that of the whole service.
    ///
    /// # Errors
    /// If the role does not permit it, returns [`AccessDenied::Forbidden`].
    pub fn authorize_write(&self, tenant: Option<&str>) -> Result<(), AccessDenied> {
        let is_allowed = match &self.role {
            Role::Operator => true,
            Role::Administrator(own) => tenant == Some(own.as_str()),
            Role::Reader(_) => false,
        };
        is_allowed.then_some(()).ok_or(AccessDenied::Forbidden)
    }
}

/// The SHA-256 hash of a text.
#[must_use]
pub fn hash(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

/// Generates a token of 256 random bits, in hexadecimal.
///
/// # Errors
/// If the system's random number generator fails, returns its error.
pub fn new_token() -> Result<String, String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|e| e.to_string())?;
    Ok(hex(&bytes))
}

/// Formats bytes in hexadecimal.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Authenticates clients by their tokens, and limits the rate of failed attempts by address.
#[derive(Debug, Default)]
pub struct Authenticator {
    tokens: Vec<Token>,
    /// Whether every client is the operator: the API listens on loopback only and has had no token since the
    /// start.
    open: bool,
    /// The failed attempts by address: the attempts left, and the time of the last failure in microseconds.
    failures: BTreeMap<IpAddr, (TokenBucket, i64)>,
    started_at: Option<Instant>,
}

impl Authenticator {
    /// Creates an authenticator that accepts these tokens. If there are none and the API listens on loopback,
    /// every client is the operator.
    #[must_use]
    pub fn new(tokens: Vec<Token>, loopback: bool) -> Authenticator {
        let open = tokens.is_empty() && loopback;
        Authenticator { tokens, open, failures: BTreeMap::new(), started_at: Some(Instant::now()) }
    }

    /// The accepted tokens.
    #[must_use]
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// Replaces the accepted tokens with immediate effect.
    pub fn replace_tokens(&mut self, tokens: Vec<Token>) {
        // Once there has been a token, the service does not become open again when the last one is revoked.
        self.open = self.open && tokens.is_empty();
        self.tokens = tokens;
    }

    /// Authenticates the bearer of the token in an `Authorization` field, and counts a failure against the
    /// address.
    ///
    /// # Errors
    /// If the token is missing or unknown, or the address has exceeded the rate of failed attempts, returns
    /// the reason.
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
        if let Some((bucket, _)) = self.failures.get_mut(&from) {
            if bucket.refill(now, FAILURES_PER_S, FAILURE_BURST) < 1.0 {
                return Err(AccessDenied::TooManyFailures);
            }
        }
        let token = authorization.and_then(|a| a.strip_prefix("Bearer ")).unwrap_or_default();
        let hashed = hash(token);
        // All tokens are compared in constant time, so that the duration reveals nothing about a token that
        // is similar.
        let (mut found, mut index) = (Choice::from(0), 0_u64);
        for (i, known) in self.tokens.iter().enumerate() {
            let same = known.sha256.ct_eq(&hashed);
            index = u64::conditional_select(&index, &(i as u64), same);
            found |= same;
        }
        if bool::from(found) {
            let token = &self.tokens[index as usize];
            return Ok(Principal { name: token.name.clone(), role: token.role.clone() });
        }
        if self.failures.len() >= MAX_ADDRESSES && !self.failures.contains_key(&from) {
            let oldest = self.failures.iter().min_by_key(|(_, (_, at))| *at).map(|(ip, _)| *ip);
            oldest.and_then(|ip| self.failures.remove(&ip));
        }
        let (bucket, at) =
            self.failures.entry(from).or_insert_with(|| (TokenBucket::full(now, FAILURE_BURST), now));
        bucket.take(1.0);
        *at = now;
        Err(AccessDenied::Unauthenticated)
    }
}
