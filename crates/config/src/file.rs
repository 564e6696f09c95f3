//! The file as it is written. Unknown keys are refused; places are kept for what other parts refer to.

use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

use crate::announce;
use crate::hosted::TenantLimits;
use crate::operators;

pub(crate) type Word = Spanned<String>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    pub server: Server,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
    #[serde(default, rename = "method")]
    pub methods: Vec<Method>,
    #[serde(default)]
    pub members: Members,
    /// Where what was learned outlives the process.
    pub knowledge: Option<Knowledge>,
    /// Where operators call.
    pub operators: Option<operators::File>,
    /// Addresses that are announced to routers.
    pub bgp: Option<announce::File>,
    /// With it the file is that of a hosted service.
    pub admin: Option<Admin>,
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Seed>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Knowledge {
    pub folder: Word,
    pub every_s: Option<Spanned<usize>>,
    pub files: Option<Spanned<usize>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Admin {
    pub listen: Word,
    pub state: Word,
    #[serde(default, rename = "token")]
    pub tokens: Vec<Token>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Token {
    pub name: Word,
    pub role: Word,
    pub tenant: Option<Word>,
    pub sha256: Word,
}

/// A tenant as it is when there is no state yet.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Seed {
    pub name: Word,
    pub hosts: Vec<String>,
    #[serde(default)]
    pub limits: TenantLimits,
    pub file: Word,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Capacity {
    pub requests_per_s: Option<f64>,
    pub in_flight: Option<u64>,
    pub body_bytes: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Server {
    pub listen: Spanned<Vec<Listen>>,
    #[serde(default = "local")]
    pub zone: String,
    #[serde(default = "sockets")]
    pub sockets: Spanned<usize>,
    #[serde(default)]
    pub proxies: Proxies,
    #[serde(default)]
    pub tenants: Vec<Word>,
    #[serde(default)]
    pub expectations: Vec<Word>,
    /// Only for a hosted service: what the whole program can bear.
    #[serde(default)]
    pub capacity: Capacity,
    /// Keys of requests that are open or were answered.
    #[serde(default)]
    pub keys: Keys,
}

fn local() -> String {
    "local".to_owned()
}

fn sockets() -> Spanned<usize> {
    Spanned::new(0..0, 1024)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    pub address: Word,
    pub zone: Option<String>,
    pub zone_header: Option<Word>,
    pub tenant: Option<Word>,
    pub protocol: Option<Word>,
    pub framing: Option<Word>,
    pub calls: Option<Spanned<usize>>,
    /// With JSON-RPC: the host that stands in for the one that HTTP callers name.
    pub host: Option<Word>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Method {
    pub name: Word,
    pub class: Word,
    pub verb: Option<Word>,
    pub path: Option<Word>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Members {
    pub key: Option<Word>,
    pub timeout_ms: Option<Word>,
    pub tenant: Option<Word>,
    pub class: Option<Word>,
    pub id: Option<Word>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Keys {
    pub entries: Option<Spanned<usize>>,
    pub bytes: Option<Spanned<usize>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Proxies {
    pub count: Spanned<u32>,
    pub rank: Spanned<u32>,
}

impl Default for Proxies {
    fn default() -> Self {
        Proxies { count: Spanned::new(0..0, 1), rank: Spanned::new(0..0, 0) }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Limits {
    pub attempts: Spanned<usize>,
    pub connect_timeout_ms: Spanned<u64>,
    pub keep_alive_ms: Spanned<u64>,
    pub drain_grace_ms: Spanned<u64>,
    pub retry_after_ms: Spanned<u64>,
    pub cold_ms: Spanned<u64>,
    pub cold_from: Spanned<f64>,
    pub cross_zone_price: Spanned<f64>,
    pub body_bytes: Option<Spanned<usize>>,
}

impl Default for Limits {
    fn default() -> Self {
        let ms = |ms| Spanned::new(0..0, ms);
        Limits {
            attempts: Spanned::new(0..0, 3),
            connect_timeout_ms: ms(1_000),
            keep_alive_ms: ms(30_000),
            drain_grace_ms: ms(1_000),
            retry_after_ms: ms(2_000),
            cold_ms: ms(10_000),
            cold_from: Spanned::new(0..0, 0.2),
            cross_zone_price: Spanned::new(0..0, 0.05),
            body_bytes: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    pub name: Word,
    pub aim_ms: Spanned<u64>,
    pub deadline_ms: Spanned<u64>,
    #[serde(default = "one")]
    pub worth: Spanned<f64>,
    #[serde(default = "nothing")]
    pub late_worth: Spanned<f64>,
    pub semantics: Spanned<Semantics>,
    pub dedup_group: Option<Spanned<Group>>,
    pub dedup_window_ms: Option<Spanned<u64>>,
}

fn one() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

fn nothing() -> Spanned<f64> {
    Spanned::new(0..0, 0.0)
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Semantics {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Pool {
    pub name: Word,
    /// Its part of the sockets, against the other pools'.
    pub share: Option<Spanned<u32>>,
    pub nodes: Option<Vec<Node>>,
    pub file: Option<Word>,
    pub discovery: Option<Word>,
    pub protocol: Option<Word>,
    pub framing: Option<Word>,
    pub calls: Option<Spanned<usize>>,
    /// With JSON-RPC: the notification that calls a request off, if its nodes know one.
    pub cancel: Option<Word>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Node {
    pub name: Word,
    pub address: Word,
    pub zone: Option<String>,
    #[serde(default)]
    pub kind: String,
    pub cell: Option<u64>,
    pub weight: Option<Spanned<f64>>,
    #[serde(default)]
    pub state: State,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    #[default]
    Ready,
    Draining,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Route {
    pub name: Word,
    #[serde(default, rename = "match")]
    pub matches: Match,
    pub class: Word,
    pub pool: Option<Word>,
    pub split: Option<Spanned<Split>>,
    #[serde(default)]
    pub nodes: Within,
    #[serde(default)]
    pub fallback: Vec<Fallback>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Match {
    pub host: Option<Word>,
    pub path: Option<Word>,
    pub methods: Vec<Word>,
    pub headers: BTreeMap<String, Word>,
    pub class: Option<Word>,
    pub tenant: Option<Word>,
    pub zones: Vec<Word>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Within {
    pub zones: Vec<Word>,
    pub kinds: Vec<Word>,
    pub cells: Vec<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Split {
    pub by: Option<Word>,
    pub pools: Vec<Part>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Part {
    pub pool: Word,
    pub weight: Spanned<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fallback {
    pub pool: Word,
    pub when: Spanned<Vec<Condition>>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Condition {
    NoneReady,
    AllDraining,
    Refused,
}
