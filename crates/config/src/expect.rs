//! Expectations: what must become of a request while the fleet is in a given state.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use serde::Deserialize;

use crate::checker::Word;
use crate::diagnostics::{suggest, Diagnostics, TextId};
use crate::endpoint::{EndpointSpec, EndpointState};
use crate::model::Config;
use crate::pool_endpoints::PoolEndpoints;
use crate::section::pool::Source;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub(crate) struct ExpectationsFile {
    #[serde(default)]
    expect: Vec<Raw>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: Word,
    #[serde(default)]
    given: RawGiven,
    when: RawWhen,
    then: toml::Spanned<RawThen>,
    #[serde(default)]
    only_then: bool,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawGiven {
    ready: Vec<Word>,
    draining: Vec<Word>,
    gone: Vec<Word>,
    lost_zones: Vec<Word>,
    nodes: Vec<RawNode>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawNode {
    pool: Word,
    name: Word,
    zone: String,
    #[serde(default)]
    kind: String,
    cell: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWhen {
    zone: Option<Word>,
    #[serde(default = "get")]
    method: String,
    #[serde(default)]
    host: String,
    path: Word,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    class: Option<String>,
    tenant: Option<String>,
}

fn get() -> String {
    "GET".to_owned()
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawThen {
    route: Option<Word>,
    pool: Option<Word>,
    class: Option<Word>,
    nodes: Option<Vec<Word>>,
    stays_in: Option<Vec<Word>>,
    never_in: Option<Vec<Word>>,
    refused: Option<toml::Spanned<u16>>,
}

/// A node by pool and place in the fleet.
pub(crate) type NodeId = (usize, usize);

#[derive(Clone, Debug)]
pub(crate) struct Expectation {
    pub name: String,
    pub file: String,
    pub line: usize,
    /// The fleet in the given state, and as it is without.
    pub given: PoolEndpoints,
    pub plain: PoolEndpoints,
    pub when: When,
    pub then: Then,
    /// It must hold in the given state only.
    pub only_then: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct When {
    pub zone: String,
    pub method: String,
    pub host: String,
    pub path: String,
    pub class: Option<String>,
    pub tenant: Option<String>,
    pub headers: Vec<(String, String)>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Then {
    pub route: Option<String>,
    pub pool: Option<usize>,
    pub class: Option<usize>,
    pub nodes: Option<BTreeSet<NodeId>>,
    pub stays_in: Option<Vec<String>>,
    pub never_in: Vec<String>,
    pub refused: Option<u16>,
}

struct Check<'a> {
    text: TextId,
    config: &'a Config,
    diagnostics: &'a mut Diagnostics,
    /// Zones that any node, listener or route names.
    zones: BTreeSet<String>,
}

pub(crate) fn check(
    file: ExpectationsFile,
    text: TextId,
    config: &Config,
    fleet: &PoolEndpoints,
    diagnostics: &mut Diagnostics,
) -> Vec<Expectation> {
    let mut zones: BTreeSet<String> = config.zones.iter().cloned().collect();
    zones.extend(fleet.pools.iter().flatten().map(|n| n.zone.clone()));
    let mut check = Check { text, config, diagnostics, zones };
    let mut names: BTreeMap<String, usize> = BTreeMap::new();
    let mut all = Vec::new();
    for raw in file.expect {
        let line = check.diagnostics.line(text, raw.name.span().start);
        if let Some(first) = names.insert(raw.name.get_ref().clone(), line) {
            let help = format!("the first is in line {first}");
            let message = format!("two expectations are named {:?}", raw.name.get_ref());
            check.fault(raw.name.span(), message, Some(help));
        }
        let plain = check.added(&raw.given, fleet);
        let given = check.given(&raw.given, &plain);
        let when = check.when(&raw.when);
        let then = check.then(raw.then.get_ref(), raw.then.span(), &plain);
        if raw.only_then && states(&given) == states(&plain) {
            let message = "`only_then`: the given state is the ordinary one";
            check.fault(raw.name.span(), message, Some("say under `given` what is different".to_owned()));
        }
        let file = check.diagnostics.name(text).to_owned();
        let (name, only_then) = (raw.name.get_ref().clone(), raw.only_then);
        all.push(Expectation { name, file, line, given, plain, when, then, only_then });
    }
    all
}

/// What of a fleet decides where requests may go.
pub(crate) fn states(fleet: &PoolEndpoints) -> Vec<(usize, &str, EndpointState)> {
    let pools = fleet.pools.iter().enumerate();
    pools.flat_map(|(p, nodes)| nodes.iter().map(move |n| (p, n.name.as_str(), n.state))).collect()
}

impl Check<'_> {
    fn fault(&mut self, span: Range<usize>, message: impl Into<String>, help: Option<String>) {
        self.diagnostics.report(self.text, span, message, help);
    }

    fn refer(&mut self, sort: &str, word: &Word, known: &[&str]) -> Option<usize> {
        let found = known.iter().position(|k| k == word.get_ref());
        if found.is_none() {
            let message = format!("there is no {sort} `{}`", word.get_ref());
            self.fault(word.span(), message, Some(suggest(word.get_ref(), known)));
        }
        found
    }

    fn pool(&mut self, word: &Word) -> Option<usize> {
        let known: Vec<&str> = self.config.pools.iter().map(|p| p.name.as_str()).collect();
        self.refer("pool", word, &known)
    }

    fn zone(&mut self, word: &Word) -> String {
        let zones = self.zones.clone();
        let known: Vec<&str> = zones.iter().map(String::as_str).collect();
        self.refer("zone", word, &known);
        word.get_ref().clone()
    }

    /// A node by `name`, where that is in one pool only, or by `pool/name`.
    fn node(&mut self, word: &Word, fleet: &PoolEndpoints) -> Option<NodeId> {
        let text = word.get_ref();
        let (pool, name) = text.split_once('/').map_or((None, text.as_str()), |(p, n)| (Some(p), n));
        let mut found = Vec::new();
        for (p, nodes) in fleet.pools.iter().enumerate() {
            if pool.is_none_or(|pool| self.config.pools[p].name == pool) {
                found.extend(nodes.iter().position(|n| n.name == name).map(|n| (p, n)));
            }
        }
        match found[..] {
            [one] => Some(one),
            [] => {
                let known: Vec<&str> = fleet.pools.iter().flatten().map(|n| n.name.as_str()).collect();
                let open = self.config.pools.iter().any(|p| matches!(p.source, Source::Discovery(_)));
                let help = if open && known.is_empty() {
                    "nodes that discovery tells are made up for an expectation under given.nodes".to_owned()
                } else {
                    suggest(name, &known)
                };
                self.fault(word.span(), format!("there is no node `{text}`"), Some(help));
                None
            }
            [(p, _), ..] => {
                let help = format!("write \"{}/{name}\", say", self.config.pools[p].name);
                self.fault(word.span(), format!("several pools have a node `{name}`"), Some(help));
                None
            }
        }
    }

    /// The fleet with the nodes that an expectation makes up.
    fn added(&mut self, given: &RawGiven, fleet: &PoolEndpoints) -> PoolEndpoints {
        let mut fleet = fleet.clone();
        for raw in &given.nodes {
            self.zones.insert(raw.zone.clone());
            let Some(pool) = self.pool(&raw.pool) else { continue };
            if fleet.pools[pool].iter().any(|n| n.name == *raw.name.get_ref()) {
                let message = format!("pool `{}` has a node `{}`", raw.pool.get_ref(), raw.name.get_ref());
                self.fault(raw.name.span(), message, Some("give it another name".to_owned()));
                continue;
            }
            fleet.pools[pool].push(EndpointSpec {
                name: raw.name.get_ref().clone(),
                address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
                zone: raw.zone.clone(),
                machine_kind: raw.kind.clone(),
                cell: raw.cell,
                weight: 1.0,
                state: EndpointState::Ready,
                started_unix_ms: 0.0,
            });
        }
        fleet
    }

    fn given(&mut self, given: &RawGiven, plain: &PoolEndpoints) -> PoolEndpoints {
        let mut fleet = plain.clone();
        for word in &given.lost_zones {
            let zone = self.zone(word);
            let lost = fleet.pools.iter_mut().flatten().filter(|n| n.zone == zone);
            lost.for_each(|n| n.state = EndpointState::Gone);
        }
        let mut seen: BTreeMap<NodeId, Range<usize>> = BTreeMap::new();
        let named = [
            (&given.draining, EndpointState::Draining),
            (&given.gone, EndpointState::Gone),
            (&given.ready, EndpointState::Ready),
        ];
        for (words, state) in named {
            for word in words {
                let Some((p, n)) = self.node(word, plain) else { continue };
                if seen.insert((p, n), word.span()).is_some() {
                    let message = format!("node `{}` is given two states", word.get_ref());
                    self.fault(word.span(), message, None);
                }
                fleet.pools[p][n].state = state;
            }
        }
        fleet
    }

    fn when(&mut self, when: &RawWhen) -> When {
        let zone = when.zone.as_ref().map(|z| self.zone(z));
        let mut headers: Vec<(String, String)> =
            when.headers.iter().map(|(name, value)| (name.to_ascii_lowercase(), value.clone())).collect();
        headers.sort();
        When {
            zone: zone.unwrap_or_else(|| self.config.zone.clone()),
            method: when.method.clone(),
            host: when.host.clone(),
            path: when.path.get_ref().clone(),
            class: when.class.clone(),
            tenant: when.tenant.clone(),
            headers,
        }
    }

    fn then(&mut self, then: &RawThen, span: Range<usize>, fleet: &PoolEndpoints) -> Then {
        let config = self.config;
        let routes: Vec<&str> = config.table.routes().iter().map(|r| r.name.as_str()).collect();
        let classes: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
        if let Some(status) = &then.refused {
            if ![400, 404, 503].contains(status.get_ref()) {
                let help = "routing answers 400 (no normal form), 404 (no route) or 503 (no node ready)";
                let message = format!("`refused`: routing never answers {}", status.get_ref());
                self.fault(status.span(), message, Some(help.to_owned()));
            }
        }
        let zones =
            |check: &mut Self, words: &[Word]| words.iter().map(|w| check.zone(w)).collect::<Vec<_>>();
        let checked = Then {
            route: then.route.as_ref().map(|word| {
                self.refer("route", word, &routes);
                word.get_ref().clone()
            }),
            pool: then.pool.as_ref().and_then(|word| self.pool(word)),
            class: then.class.as_ref().and_then(|word| self.refer("class", word, &classes)),
            nodes: then.nodes.as_ref().map(|w| w.iter().filter_map(|w| self.node(w, fleet)).collect()),
            stays_in: then.stays_in.as_ref().map(|words| zones(self, words)),
            never_in: then.never_in.as_ref().map(|words| zones(self, words)).unwrap_or_default(),
            refused: then.refused.as_ref().map(|s| *s.get_ref()),
        };
        let empty = checked.route.is_none()
            && then.pool.is_none()
            && then.class.is_none()
            && checked.nodes.is_none()
            && checked.stays_in.is_none()
            && checked.never_in.is_empty()
            && checked.refused.is_none();
        if empty {
            let help =
                "say `route`, `pool`, `class`, `nodes`, `stays_in`, `never_in` or `refused`".to_owned();
            self.fault(span, "`then` expects nothing", Some(help));
        }
        checked
    }
}
