//! The state that administrators change: one change at a time, checked whole, kept on disk, applied, and only then
//! answered.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use config::{Document, DocumentError, Role, SharedSettings, TenantDocument, Tenants, Token};
use limit::Usage;
use serde_json::Value;
use store::{Record, StoreError, Versions};
use tokio::sync::Mutex;

use crate::auth::{hash, hex, new_token, Denied, Doorman, Who};

/// What serves: it takes versions over, and tells what tenants use.
pub trait Plane: Send + Sync {
    /// Serve this from now on; done when it does.
    fn apply(&self, number: u64, tenants: Arc<Tenants>) -> Pin<Box<dyn Future<Output = ()> + Send>>;

    /// What each tenant uses.
    fn status(&self) -> Pin<Box<dyn Future<Output = BTreeMap<String, TenantStatus>> + Send>>;
}

/// What a tenant uses.
#[derive(Clone, Debug, Default)]
pub struct TenantStatus {
    /// The version under which its requests are taken.
    pub version: u64,
    /// Its pools run.
    pub started: bool,
    /// What it has used.
    pub usage: Usage,
}

/// The name under which tokens are kept.
const TOKENS: &str = "tokens";
/// So many tokens at most.
const MOST_TOKENS: usize = 10_000;

/// All that the API works on.
pub struct Service {
    shared: SharedSettings,
    plane: Box<dyn Plane>,
    /// Asked for each request, and held for no longer than that takes.
    pub(crate) doorman: std::sync::Mutex<Doorman>,
    /// Tokens of the file, which only the file changes.
    fixed: Vec<Token>,
    state: Mutex<State>,
}

struct State {
    store: Box<dyn Versions>,
    number: u64,
    document: Document,
    tenants: Arc<Tenants>,
    issued: Vec<Token>,
}

/// Why a change was not made.
#[derive(Debug)]
pub(crate) enum Rejected {
    Denied(Denied),
    NotFound(String),
    /// It is not what it was when it was read.
    Stale,
    /// It has to be said what is to be changed.
    NoMatch,
    Malformed(String),
    Refused(Box<DocumentError>),
    Store(StoreError),
}

impl From<Denied> for Rejected {
    fn from(denied: Denied) -> Self {
        Rejected::Denied(denied)
    }
}

/// How a change is to be made.
#[derive(Clone, Debug, Default)]
pub(crate) struct Manner {
    pub dry_run: bool,
    pub why: String,
    /// What `If-Match` says.
    pub matches: Option<String>,
}

/// A change that was made, or would have been.
pub(crate) struct Made {
    pub number: u64,
    pub tag: Option<String>,
}

/// What tells one state of a tenant from another.
pub(crate) fn tag(doc: &TenantDocument) -> String {
    let json = serde_json::to_string(doc).unwrap_or_default();
    format!("\"{}\"", hex(&hash(&json)[..8]))
}

impl Service {
    /// Takes a store over. The newest version serves; where there is none, `first` becomes the first. A newest version
    /// that can no longer serve leaves the one before in its place, with a line in the second part.
    ///
    /// # Errors
    /// Neither can serve, or nothing can be kept.
    pub fn open(
        shared: SharedSettings,
        plane: Box<dyn Plane>,
        tokens: Vec<Token>,
        loopback: bool,
        store: Box<dyn Versions>,
        newest: Option<Record>,
        first: Document,
    ) -> Result<(Service, Vec<String>), String> {
        let mut warnings = Vec::new();
        let mut store = store;
        let mut candidate = newest;
        let (number, document, tenants) = loop {
            let Some(record) = candidate else {
                let tenants =
                    Tenants::compile(&shared, &first, &Tenants::default()).map_err(|e| e.to_string())?;
                let record = Record {
                    number: 1,
                    at_ms: now_ms(),
                    who: "file".to_owned(),
                    why: "the first start".to_owned(),
                    body: serde_json::to_string(&first).map_err(|e| e.to_string())?,
                };
                store.append(&record).map_err(|e| format!("the first version cannot be kept: {e}"))?;
                break (1, first, tenants);
            };
            let document = serde_json::from_str::<Document>(&record.body).map_err(|e| e.to_string());
            let compiled = document.and_then(|d| {
                let tenants =
                    Tenants::compile(&shared, &d, &Tenants::default()).map_err(|e| e.to_string())?;
                Ok((d, tenants))
            });
            match compiled {
                Ok((document, tenants)) => break (record.number, document, tenants),
                Err(e) => {
                    warnings.push(format!("version {} cannot serve: {e}", record.number));
                    let before = (1..record.number).rev().take(store::KEPT as usize);
                    candidate = before.filter_map(|n| store.get(n)).next();
                    if candidate.is_none() {
                        return Err(warnings.join("; "));
                    }
                }
            }
        };
        let issued: Vec<Token> =
            store.value(TOKENS).and_then(|json| serde_json::from_str(&json).ok()).unwrap_or_default();
        let all: Vec<Token> = tokens.iter().chain(&issued).cloned().collect();
        if all.is_empty() && !loopback {
            return Err(
                "`admin.listen` is not on loopback and there is no token; make one with `amberlever token`"
                    .to_owned(),
            );
        }
        // A version that was passed over keeps its number, so that none is given twice.
        let newest = store.list(1).first().map_or(number, |r| r.number.max(number));
        let state = State { store, number: newest, document, tenants: Arc::new(tenants), issued };
        let doorman = std::sync::Mutex::new(Doorman::new(all, loopback));
        Ok((Service { shared, plane, doorman, fixed: tokens, state: Mutex::new(state) }, warnings))
    }

    /// The version that serves.
    pub async fn current(&self) -> (u64, Arc<Tenants>) {
        let state = self.state.lock().await;
        (state.number, Arc::clone(&state.tenants))
    }

    pub(crate) async fn document(&self) -> Document {
        self.state.lock().await.document.clone()
    }

    pub(crate) async fn status(&self) -> BTreeMap<String, TenantStatus> {
        self.plane.status().await
    }

    // ---- Versions ----

    pub(crate) async fn versions(&self, most: usize) -> Vec<Record> {
        self.state.lock().await.store.list(most)
    }

    pub(crate) async fn version(&self, number: u64) -> Result<(Record, Document), Rejected> {
        let missing = || Rejected::NotFound(format!("there is no version {number}"));
        let record = self.state.lock().await.store.get(number).ok_or_else(missing)?;
        let document = serde_json::from_str(&record.body).map_err(|_| missing())?;
        Ok((record, document))
    }

    /// Changes the document. `tenant` is the one whose state `If-Match` speaks of.
    pub(crate) async fn change(
        &self,
        who: &Who,
        manner: &Manner,
        tenant: Option<&str>,
        edit: impl FnOnce(&mut Document) -> Result<(), Rejected>,
    ) -> Result<Made, Rejected> {
        let mut state = self.state.lock().await;
        if let Some(doc) = tenant.and_then(|t| state.document.tenants.get(t)) {
            match &manner.matches {
                None => return Err(Rejected::NoMatch),
                Some(tags) if tags.split(',').any(|t| t.trim() == tag(doc)) => {}
                Some(_) => return Err(Rejected::Stale),
            }
        } else if manner.matches.is_some() && tenant.is_some() {
            return Err(Rejected::Stale);
        }
        let mut document = state.document.clone();
        edit(&mut document)?;
        let tenants = Tenants::compile(&self.shared, &document, &state.tenants)
            .map_err(|refused| Rejected::Refused(Box::new(refused)))?;
        let tag = tenant.and_then(|t| document.tenants.get(t)).map(tag);
        if manner.dry_run || document == state.document {
            return Ok(Made { number: state.number, tag });
        }
        let number = state.number + 1;
        let body = serde_json::to_string(&document).map_err(|e| Rejected::Malformed(e.to_string()))?;
        let (who, why) = (who.name.clone(), manner.why.clone());
        let record = Record { number, at_ms: now_ms(), who, why, body };
        // On disk before it serves, and it serves before it is answered.
        state.store.append(&record).map_err(Rejected::Store)?;
        let tenants = Arc::new(tenants);
        (state.number, state.document, state.tenants) = (number, document, Arc::clone(&tenants));
        self.plane.apply(number, tenants).await;
        Ok(Made { number, tag })
    }

    // ---- Tokens ----

    pub(crate) fn tokens(&self) -> Vec<(String, Role)> {
        let doorman = self.doorman.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        doorman.tokens().iter().map(|t| (t.name.clone(), t.role.clone())).collect()
    }

    /// Issues a token: its text, which is told once and kept nowhere.
    pub(crate) async fn issue(&self, name: &str, role: Role) -> Result<String, Rejected> {
        let mut state = self.state.lock().await;
        let is_name = (1..=64).contains(&name.len())
            && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        if !is_name || self.tokens().iter().any(|(n, _)| n == name) {
            return Err(Rejected::Malformed(format!("{name:?} does not name a new token")));
        }
        if state.issued.len() >= MOST_TOKENS {
            return Err(Rejected::Malformed(format!("there are {MOST_TOKENS} tokens")));
        }
        let text = new_token().map_err(Rejected::Malformed)?;
        let mut issued = state.issued.clone();
        issued.push(Token { name: name.to_owned(), role, sha256: hash(&text) });
        self.keep(&mut state, issued)?;
        Ok(text)
    }

    /// Revokes a token, at once.
    pub(crate) async fn revoke(&self, name: &str) -> Result<(), Rejected> {
        let mut state = self.state.lock().await;
        let issued: Vec<Token> = state.issued.iter().filter(|t| t.name != name).cloned().collect();
        if issued.len() == state.issued.len() {
            return Err(Rejected::NotFound(format!("no token {name:?} was issued here")));
        }
        self.keep(&mut state, issued)
    }

    fn keep(&self, state: &mut State, issued: Vec<Token>) -> Result<(), Rejected> {
        let json = serde_json::to_string(&issued).map_err(|e| Rejected::Malformed(e.to_string()))?;
        state.store.put(TOKENS, &json).map_err(Rejected::Store)?;
        let all = self.fixed.iter().chain(&issued).cloned().collect();
        self.doorman.lock().unwrap_or_else(std::sync::PoisonError::into_inner).replace(all);
        state.issued = issued;
        Ok(())
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A tenant of a document.
pub(crate) fn tenant_mut<'a>(
    document: &'a mut Document,
    name: &str,
) -> Result<&'a mut TenantDocument, Rejected> {
    let missing = || Rejected::NotFound(format!("there is no tenant `{name}`"));
    document.tenants.get_mut(name).ok_or_else(missing)
}

/// A document as JSON.
pub(crate) fn as_json(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}
