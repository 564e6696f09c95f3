//! The state that administrators change. Changes are made one at a time; each is checked completely, stored
//! on disk and applied before the response.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use config::{Document, DocumentError, Role, SharedSettings, TenantDocument, Tenants, Token};
use limit::Usage;
use serde_json::Value;
use store::{Record, StoreError, VersionStore};
use tokio::sync::Mutex;

use crate::auth::{hash, hex, new_token, AccessDenied, Authenticator, Principal};

/// The data plane, which serves versions of the configuration and reports the usage of tenants.
pub trait DataPlane: Send + Sync {
    /// Applies a version. Completes when requests are served by it.
    fn apply(&self, number: u64, tenants: Arc<Tenants>) -> Pin<Box<dyn Future<Output = ()> + Send>>;

    /// The status of each tenant, by name.
    fn status(&self) -> Pin<Box<dyn Future<Output = BTreeMap<String, TenantStatus>> + Send>>;
}

/// The status of a tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantStatus {
    /// The version by which its requests are served.
    pub version: u64,
    /// Whether its pools are running.
    pub started: bool,
    /// Its use of limited resources.
    pub usage: Usage,
}

/// The key of the issued tokens in the store.
const TOKENS_KEY: &str = "tokens";
const MAX_TOKENS: usize = 10_000;
const FIRST_VERSION: u64 = 1;
const MAX_TOKEN_NAME_BYTES: usize = 64;
/// The number of bytes of the hash that make up an ETag.
const ETAG_BYTES: usize = 8;

/// The administration service: its state, and the data plane to which changes are applied.
pub struct Service {
    shared: SharedSettings,
    plane: Box<dyn DataPlane>,
    /// Locked only while a request is authenticated or tokens are listed or replaced.
    authenticator: std::sync::Mutex<Authenticator>,
    /// The tokens of the configuration file, which the API cannot revoke.
    configured_tokens: Vec<Token>,
    state: Mutex<State>,
}

struct State {
    store: Box<dyn VersionStore>,
    number: u64,
    document: Document,
    tenants: Arc<Tenants>,
    issued_tokens: Vec<Token>,
}

/// Why a change was not made.
#[derive(Debug)]
pub(crate) enum ChangeError {
    Denied(AccessDenied),
    NotFound(String),
    /// The tenant has changed since it was read: `If-Match` has another ETag.
    Stale,
    /// The change of an existing tenant lacks `If-Match`.
    IfMatchRequired,
    Malformed(String),
    Document(Box<DocumentError>),
    Store(StoreError),
}

impl From<AccessDenied> for ChangeError {
    fn from(denied: AccessDenied) -> Self {
        ChangeError::Denied(denied)
    }
}

/// Options of a change.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeOptions {
    pub dry_run: bool,
    pub reason: String,
    /// The value of `If-Match`.
    pub if_match: Option<String>,
    /// The version whose content a rollback restores.
    pub rollback_to: Option<u64>,
}

/// The result of a change, or of a dry run.
pub(crate) struct ChangeResult {
    pub version: u64,
    pub etag: Option<String>,
}

/// The ETag of a tenant: the first bytes of the SHA-256 hash of its JSON, in hexadecimal.
pub(crate) fn etag(doc: &TenantDocument) -> String {
    let json = serde_json::to_string(doc).unwrap_or_default();
    format!("\"{}\"", hex(&hash(&json)[..ETAG_BYTES]))
}

impl Service {
    /// Opens the service on a store and serves the newest version. An empty store gets `initial_document` as
    /// its first version. If the newest version can no longer be served, serves an older one; the second
    /// value has a warning for each version that was skipped.
    ///
    /// # Errors
    /// If no version can be served, the first one cannot be stored, or the API is reachable from other hosts
    /// without any token, returns a message.
    pub fn open(
        shared: SharedSettings,
        plane: Box<dyn DataPlane>,
        tokens: Vec<Token>,
        loopback: bool,
        store: Box<dyn VersionStore>,
        newest: Option<Record>,
        initial_document: Document,
    ) -> Result<(Service, Vec<String>), String> {
        let mut warnings = Vec::new();
        let mut store = store;
        let served = match newest {
            Some(record) => newest_valid_version(&shared, store.as_ref(), record, &mut warnings)?,
            None => append_first_version(&shared, store.as_mut(), initial_document)?,
        };
        let issued: Vec<Token> =
            store.value(TOKENS_KEY).and_then(|json| serde_json::from_str(&json).ok()).unwrap_or_default();
        let all: Vec<Token> = tokens.iter().chain(&issued).cloned().collect();
        if all.is_empty() && !loopback {
            return Err(
                "`admin.listen` is not on loopback and there is no token; create one with `amberlever token new`"
                    .to_owned(),
            );
        }
        // A skipped version keeps its number, so that no number is used twice.
        let number = store.list(1).first().map_or(served.number, |record| record.number.max(served.number));
        let tenants = Arc::new(served.tenants);
        let state = State { store, number, document: served.document, tenants, issued_tokens: issued };
        let authenticator = std::sync::Mutex::new(Authenticator::new(all, loopback));
        let service =
            Service { shared, plane, authenticator, configured_tokens: tokens, state: Mutex::new(state) };
        Ok((service, warnings))
    }

    /// The number of the newest version, and the compiled tenants that are served.
    pub async fn current(&self) -> (u64, Arc<Tenants>) {
        let state = self.state.lock().await;
        (state.number, Arc::clone(&state.tenants))
    }

    pub(crate) fn authenticator(&self) -> std::sync::MutexGuard<'_, Authenticator> {
        self.authenticator.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(crate) async fn document(&self) -> Document {
        self.state.lock().await.document.clone()
    }

    pub(crate) async fn status(&self) -> BTreeMap<String, TenantStatus> {
        self.plane.status().await
    }

    // ---- Versions ----

    pub(crate) async fn versions(&self, max: usize) -> Vec<Record> {
        self.state.lock().await.store.list(max)
    }

    pub(crate) async fn version(&self, number: u64) -> Result<(Record, Document), ChangeError> {
        let missing = || ChangeError::NotFound(format!("there is no version {number}"));
        let record = self.state.lock().await.store.get(number).ok_or_else(missing)?;
        let document = serde_json::from_str(&record.body).map_err(|_| missing())?;
        Ok((record, document))
    }

    /// Changes the document by `edit`. `If-Match` is compared with the ETag of `tenant`; if that is `None`,
    /// it is ignored.
    pub(crate) async fn change(
        &self,
        principal: &Principal,
        options: &ChangeOptions,
        tenant: Option<&str>,
        edit: impl FnOnce(&mut Document) -> Result<(), ChangeError>,
    ) -> Result<ChangeResult, ChangeError> {
        let mut state = self.state.lock().await;
        if let Some(tenant) = tenant {
            check_if_match(state.document.tenants.get(tenant), options.if_match.as_deref())?;
        }
        let mut document = state.document.clone();
        edit(&mut document)?;
        let tenants = Tenants::compile(&self.shared, &document, &state.tenants)
            .map_err(|error| ChangeError::Document(Box::new(error)))?;
        let etag = tenant.and_then(|name| document.tenants.get(name)).map(etag);
        if options.dry_run || document == state.document {
            return Ok(ChangeResult { version: state.number, etag });
        }
        let number = state.number + 1;
        let body = serde_json::to_string(&document).map_err(|e| ChangeError::Malformed(e.to_string()))?;
        let record = Record {
            number,
            at_ms: now_ms(),
            who: principal.name.clone(),
            why: options.reason.clone(),
            body,
        };
        // The version is on disk before it is applied, and applied before the response.
        state.store.append(&record).map_err(ChangeError::Store)?;
        let tenants = Arc::new(tenants);
        state.number = number;
        state.document = document;
        state.tenants = Arc::clone(&tenants);
        self.plane.apply(number, tenants).await;
        Ok(ChangeResult { version: number, etag })
    }

    // ---- Tokens ----

    pub(crate) fn tokens(&self) -> Vec<(String, Role)> {
        self.authenticator().tokens().iter().map(|t| (t.name.clone(), t.role.clone())).collect()
    }

    /// Issues a token and returns its text, of which only the hash is stored.
    pub(crate) async fn issue(&self, name: &str, role: Role) -> Result<String, ChangeError> {
        let mut state = self.state.lock().await;
        let is_valid_name = (1..=MAX_TOKEN_NAME_BYTES).contains(&name.len())
            && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        if !is_valid_name || self.tokens().iter().any(|(n, _)| n == name) {
            return Err(ChangeError::Malformed(format!("{name:?} does not name a new token")));
        }
        if state.issued_tokens.len() >= MAX_TOKENS {
            return Err(ChangeError::Malformed(format!("there are {MAX_TOKENS} tokens")));
        }
        let text = new_token().map_err(ChangeError::Malformed)?;
        let mut issued = state.issued_tokens.clone();
        issued.push(Token { name: name.to_owned(), role, sha256: hash(&text) });
        self.store_tokens(&mut state, issued)?;
        Ok(text)
    }

    /// Revokes an issued token with immediate effect.
    pub(crate) async fn revoke(&self, name: &str) -> Result<(), ChangeError> {
        let mut state = self.state.lock().await;
        let issued: Vec<Token> = state.issued_tokens.iter().filter(|t| t.name != name).cloned().collect();
        if issued.len() == state.issued_tokens.len() {
            return Err(ChangeError::NotFound(format!("no token {name:?} was issued here")));
        }
        self.store_tokens(&mut state, issued)
    }

    fn store_tokens(&self, state: &mut State, issued: Vec<Token>) -> Result<(), ChangeError> {
        let json = serde_json::to_string(&issued).map_err(|e| ChangeError::Malformed(e.to_string()))?;
        state.store.put(TOKENS_KEY, &json).map_err(ChangeError::Store)?;
        let all = self.configured_tokens.iter().chain(&issued).cloned().collect();
        self.authenticator().replace_tokens(all);
        state.issued_tokens = issued;
        Ok(())
    }
}

/// A version whose tenants have been compiled.
struct CompiledVersion {
    number: u64,
    document: Document,
    tenants: Tenants,
}

/// Compiles and stores the first version.
fn append_first_version(
    shared: &SharedSettings,
    store: &mut dyn VersionStore,
    document: Document,
) -> Result<CompiledVersion, String> {
    let tenants = compile(shared, &document)?;
    let record = Record {
        number: FIRST_VERSION,
        at_ms: now_ms(),
        who: "file".to_owned(),
        why: "the first start".to_owned(),
        body: serde_json::to_string(&document).map_err(|error| error.to_string())?,
    };
    store.append(&record).map_err(|error| format!("cannot store the first version: {error}"))?;
    Ok(CompiledVersion { number: FIRST_VERSION, document, tenants })
}

/// The newest stored version that can be compiled. Adds a warning for each newer one.
fn newest_valid_version(
    shared: &SharedSettings,
    store: &dyn VersionStore,
    newest: Record,
    warnings: &mut Vec<String>,
) -> Result<CompiledVersion, String> {
    let mut record = newest;
    loop {
        let error = match compile_record(shared, &record) {
            Ok(compiled) => return Ok(compiled),
            Err(error) => error,
        };
        warnings.push(format!("cannot serve version {}, trying an older one: {error}", record.number));
        let mut older = (FIRST_VERSION..record.number).rev().take(store::RETAINED_VERSIONS as usize);
        record = older.find_map(|number| store.get(number)).ok_or_else(|| warnings.join("; "))?;
    }
}

fn compile_record(shared: &SharedSettings, record: &Record) -> Result<CompiledVersion, String> {
    let document: Document = serde_json::from_str(&record.body).map_err(|error| error.to_string())?;
    let tenants = compile(shared, &document)?;
    Ok(CompiledVersion { number: record.number, document, tenants })
}

fn compile(shared: &SharedSettings, document: &Document) -> Result<Tenants, String> {
    Tenants::compile(shared, document, &Tenants::default()).map_err(|error| error.to_string())
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Finds a tenant in a document.
pub(crate) fn tenant_mut<'a>(
    document: &'a mut Document,
    name: &str,
) -> Result<&'a mut TenantDocument, ChangeError> {
    document.tenants.get_mut(name).ok_or_else(|| unknown_tenant(name))
}

pub(crate) fn unknown_tenant(name: &str) -> ChangeError {
    ChangeError::NotFound(format!("there is no tenant `{name}`"))
}

/// Checks `If-Match` against the ETag of a tenant. A tenant is created without `If-Match`.
fn check_if_match(tenant: Option<&TenantDocument>, if_match: Option<&str>) -> Result<(), ChangeError> {
    match (tenant, if_match) {
        (None, None) => Ok(()),
        (None, Some(_)) => Err(ChangeError::Stale),
        (Some(_), None) => Err(ChangeError::IfMatchRequired),
        (Some(tenant), Some(etags)) => {
            let current = etag(tenant);
            let is_current = etags.split(',').any(|candidate| candidate.trim() == current);
            is_current.then_some(()).ok_or(ChangeError::Stale)
        }
    }
}

/// Converts a document to JSON.
pub(crate) fn as_json(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}
