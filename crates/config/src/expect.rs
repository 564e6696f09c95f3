//! Expectations: how a given request must be routed while the endpoints are in given states.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use serde::Deserialize;

use crate::checker::SpannedString;
use crate::diagnostics::{suggest, Diagnostics, TextId};
use crate::endpoint::{EndpointSpec, EndpointState};
use crate::model::Config;
use crate::pool_endpoints::PoolEndpoints;
use crate::section::pool::Source;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub(crate) struct ExpectationsFile {
    #[serde(default, rename = "expect")]
    expectations: Vec<ExpectationFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Raw")]
struct ExpectationFile {
    name: SpannedString,
    #[serde(default)]
    given: GivenFile,
    when: WhenFile,
    then: toml::Spanned<ThenFile>,
    #[serde(default)]
    only_then: bool,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct RawGiven")]
struct GivenFile {
    ready: Vec<SpannedString>,
    draining: Vec<SpannedString>,
    gone: Vec<SpannedString>,
    lost_zones: Vec<SpannedString>,
    #[serde(rename = "nodes")]
    added_endpoints: Vec<AddedEndpointFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct RawNode")]
struct AddedEndpointFile {
    pool: SpannedString,
    name: SpannedString,
    zone: String,
    #[serde(default, rename = "kind")]
    machine_kind: String,
    cell: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct RawWhen")]
struct WhenFile {
    zone: Option<SpannedString>,
    #[serde(default = "default_method")]
    method: String,
    #[serde(default)]
    host: String,
    path: SpannedString,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    class: Option<String>,
    tenant: Option<String>,
}

fn default_method() -> String {
    "GET".to_owned()
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct RawThen")]
struct ThenFile {
    route: Option<SpannedString>,
    pool: Option<SpannedString>,
    class: Option<SpannedString>,
    #[serde(rename = "nodes")]
    endpoints: Option<Vec<SpannedString>>,
    stays_in: Option<Vec<SpannedString>>,
    never_in: Option<Vec<SpannedString>>,
    refused: Option<toml::Spanned<u16>>,
}

/// An endpoint, by the index of its pool and its index in that pool.
pub(crate) type EndpointId = (usize, usize);

/// A checked expectation.
#[derive(Clone, Debug)]
pub(crate) struct Expectation {
    pub name: String,
    pub file: String,
    pub line: usize,
    /// The endpoints in the states that the expectation gives them, with those that it adds.
    pub given: PoolEndpoints,
    /// The endpoints in their ordinary states, those of the configuration, with those that the expectation
    /// adds.
    pub ordinary: PoolEndpoints,
    pub when: When,
    pub then: Then,
    /// Whether the expectation must fail while the endpoints are in their ordinary states.
    pub only_then: bool,
}

/// The request of an expectation.
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

/// The expected routing of a request. `None` and an empty `never_in` expect nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Then {
    pub route: Option<String>,
    /// The index of the pool that must be tried first.
    pub pool: Option<usize>,
    /// The index of the class.
    pub class: Option<usize>,
    /// Exactly the endpoints that the request may reach.
    pub endpoints: Option<BTreeSet<EndpointId>>,
    /// The only zones in which the request may reach endpoints.
    pub stays_in: Option<Vec<String>>,
    /// The zones in which the request may reach no endpoint.
    pub never_in: Vec<String>,
    /// The status of the rejection.
    pub refused: Option<u16>,
}

struct ExpectationChecker<'a> {
    text: TextId,
    config: &'a Config,
    diagnostics: &'a mut Diagnostics,
    /// The zones that any endpoint, listener or route names.
    zones: BTreeSet<String>,
}

/// Checks a file of expectations against a configuration and its endpoints. Problems go to `diagnostics`.
pub(crate) fn check(
    file: ExpectationsFile,
    text: TextId,
    config: &Config,
    endpoints: &PoolEndpoints,
    diagnostics: &mut Diagnostics,
) -> Vec<Expectation> {
    let mut zones: BTreeSet<String> = config.zones.iter().cloned().collect();
    zones.extend(endpoints.pools.iter().flatten().map(|endpoint| endpoint.zone.clone()));
    let mut checker = ExpectationChecker { text, config, diagnostics, zones };
    let mut lines_by_name: BTreeMap<String, usize> = BTreeMap::new();
    let mut all = Vec::new();
    for raw in file.expectations {
        let line = checker.diagnostics.line(text, raw.name.span().start);
        if let Some(first) = lines_by_name.insert(raw.name.get_ref().clone(), line) {
            let help = format!("the first is in line {first}");
            let message = format!("two expectations are named {:?}", raw.name.get_ref());
            checker.report(raw.name.span(), message, Some(help));
        }
        let ordinary = checker.with_added_endpoints(&raw.given, endpoints);
        let given = checker.in_given_states(&raw.given, &ordinary);
        let when = checker.when(&raw.when);
        let then = checker.then(raw.then.get_ref(), raw.then.span(), &ordinary);
        if raw.only_then && endpoint_states(&given) == endpoint_states(&ordinary) {
            let message = "`only_then`: the given state is the ordinary one";
            checker.report(raw.name.span(), message, Some("say under `given` what is different".to_owned()));
        }
        let file = checker.diagnostics.name(text).to_owned();
        let (name, only_then) = (raw.name.get_ref().clone(), raw.only_then);
        all.push(Expectation { name, file, line, given, ordinary, when, then, only_then });
    }
    all
}

/// The index of the pool, the name and the state of each endpoint.
pub(crate) fn endpoint_states(endpoints: &PoolEndpoints) -> Vec<(usize, &str, EndpointState)> {
    let pools = endpoints.pools.iter().enumerate();
    pools
        .flat_map(|(index, pool)| {
            pool.iter().map(move |endpoint| (index, endpoint.name.as_str(), endpoint.state))
        })
        .collect()
}

impl ExpectationChecker<'_> {
    fn report(&mut self, span: Range<usize>, message: impl Into<String>, help: Option<String>) {
        self.diagnostics.report(self.text, span, message, help);
    }

    /// The index of the known name that a word refers to.
    fn resolve(&mut self, noun: &str, word: &SpannedString, known: &[&str]) -> Option<usize> {
        let found = known.iter().position(|name| name == word.get_ref());
        if found.is_none() {
            let message = format!("there is no {noun} `{}`", word.get_ref());
            self.report(word.span(), message, Some(suggest(word.get_ref(), known)));
        }
        found
    }

    fn pool(&mut self, word: &SpannedString) -> Option<usize> {
        let known: Vec<&str> = self.config.pools.iter().map(|pool| pool.name.as_str()).collect();
        self.resolve("pool", word, &known)
    }

    fn zone(&mut self, word: &SpannedString) -> String {
        let zones = self.zones.clone();
        let known: Vec<&str> = zones.iter().map(String::as_str).collect();
        self.resolve("zone", word, &known);
        word.get_ref().clone()
    }

    /// Finds an endpoint by `name`, if only one pool has it, or by `pool/name`.
    fn endpoint(&mut self, word: &SpannedString, endpoints: &PoolEndpoints) -> Option<EndpointId> {
        let text = word.get_ref();
        let (pool, name) = text.split_once('/').map_or((None, text.as_str()), |(p, n)| (Some(p), n));
        let mut found = Vec::new();
        for (index, in_pool) in endpoints.pools.iter().enumerate() {
            if pool.is_none_or(|pool| self.config.pools[index].name == pool) {
                let position = in_pool.iter().position(|endpoint| endpoint.name == name);
                found.extend(position.map(|position| (index, position)));
            }
        }
        match found[..] {
            [one] => Some(one),
            [] => {
                let known: Vec<&str> =
                    endpoints.pools.iter().flatten().map(|endpoint| endpoint.name.as_str()).collect();
                let has_discovery =
                    self.config.pools.iter().any(|pool| matches!(pool.source, Source::Discovery(_)));
                let help = if has_discovery && known.is_empty() {
                    "nodes that discovery tells are made up for an expectation under given.nodes".to_owned()
                } else {
                    suggest(name, &known)
                };
                self.report(word.span(), format!("there is no node `{text}`"), Some(help));
                None
            }
            [(pool, _), ..] => {
                let help = format!("write \"{}/{name}\", say", self.config.pools[pool].name);
                self.report(word.span(), format!("several pools have a node `{name}`"), Some(help));
                None
            }
        }
    }

    /// The endpoints with those that an expectation adds.
    fn with_added_endpoints(&mut self, given: &GivenFile, endpoints: &PoolEndpoints) -> PoolEndpoints {
        let mut endpoints = endpoints.clone();
        for raw in &given.added_endpoints {
            self.zones.insert(raw.zone.clone());
            let Some(pool) = self.pool(&raw.pool) else { continue };
            if endpoints.pools[pool].iter().any(|endpoint| endpoint.name == *raw.name.get_ref()) {
                let message = format!("pool `{}` has a node `{}`", raw.pool.get_ref(), raw.name.get_ref());
                self.report(raw.name.span(), message, Some("give it another name".to_owned()));
                continue;
            }
            endpoints.pools[pool].push(EndpointSpec {
                name: raw.name.get_ref().clone(),
                address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
                zone: raw.zone.clone(),
                machine_kind: raw.machine_kind.clone(),
                cell: raw.cell,
                weight: 1.0,
                state: EndpointState::Ready,
                started_unix_ms: 0.0,
            });
        }
        endpoints
    }

    /// The endpoints in the states that an expectation gives them. An endpoint's own state overrides
    /// `lost_zones`.
    fn in_given_states(&mut self, given: &GivenFile, ordinary: &PoolEndpoints) -> PoolEndpoints {
        let mut endpoints = ordinary.clone();
        for word in &given.lost_zones {
            let zone = self.zone(word);
            let lost = endpoints.pools.iter_mut().flatten().filter(|endpoint| endpoint.zone == zone);
            lost.for_each(|endpoint| endpoint.state = EndpointState::Gone);
        }
        let mut seen: BTreeMap<EndpointId, Range<usize>> = BTreeMap::new();
        let named = [
            (&given.draining, EndpointState::Draining),
            (&given.gone, EndpointState::Gone),
            (&given.ready, EndpointState::Ready),
        ];
        for (words, state) in named {
            for word in words {
                let Some((pool, index)) = self.endpoint(word, ordinary) else { continue };
                if seen.insert((pool, index), word.span()).is_some() {
                    let message = format!("node `{}` is given two states", word.get_ref());
                    self.report(word.span(), message, None);
                }
                endpoints.pools[pool][index].state = state;
            }
        }
        endpoints
    }

    fn when(&mut self, when: &WhenFile) -> When {
        let zone = when.zone.as_ref().map(|zone| self.zone(zone));
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

    fn then(&mut self, then: &ThenFile, span: Range<usize>, endpoints: &PoolEndpoints) -> Then {
        let config = self.config;
        let routes: Vec<&str> = config.table.routes().iter().map(|r| r.name.as_str()).collect();
        let classes: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
        if let Some(status) = &then.refused {
            if ![400, 404, 503].contains(status.get_ref()) {
                let help = "routing answers 400 (no normal form), 404 (no route) or 503 (no node ready)";
                let message = format!("`refused`: routing never answers {}", status.get_ref());
                self.report(status.span(), message, Some(help.to_owned()));
            }
        }
        let zones = |checker: &mut Self, words: &[SpannedString]| {
            words.iter().map(|word| checker.zone(word)).collect::<Vec<_>>()
        };
        let checked = Then {
            route: then.route.as_ref().map(|word| {
                self.resolve("route", word, &routes);
                word.get_ref().clone()
            }),
            pool: then.pool.as_ref().and_then(|word| self.pool(word)),
            class: then.class.as_ref().and_then(|word| self.resolve("class", word, &classes)),
            endpoints: then
                .endpoints
                .as_ref()
                .map(|words| words.iter().filter_map(|word| self.endpoint(word, endpoints)).collect()),
            stays_in: then.stays_in.as_ref().map(|words| zones(self, words)),
            never_in: then.never_in.as_ref().map(|words| zones(self, words)).unwrap_or_default(),
            refused: then.refused.as_ref().map(|status| *status.get_ref()),
        };
        let expects_nothing = checked.route.is_none()
            && then.pool.is_none()
            && then.class.is_none()
            && checked.endpoints.is_none()
            && checked.stays_in.is_none()
            && checked.never_in.is_empty()
            && checked.refused.is_none();
        if expects_nothing {
            let help =
                "say `route`, `pool`, `class`, `nodes`, `stays_in`, `never_in` or `refused`".to_owned();
            self.report(span, "`then` expects nothing", Some(help));
        }
        checked
    }
}
