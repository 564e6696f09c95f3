//! Sections `[[route]]`: the pool and the class of each kind of request.

mod matcher;
mod split;

use std::collections::BTreeMap;

use route::{EndpointScope, Fallback, FallbackCondition, PoolId, Route, RouteTable, Split};
use serde::Deserialize;
use toml::Spanned;

use crate::checker::{Checker, Interner, NameIndex, SpannedString};
use crate::diagnostics::suggest;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Route")]
pub(crate) struct RouteFile {
    pub name: SpannedString,
    #[serde(default, rename = "match")]
    pub matcher: MatcherFile,
    pub class: SpannedString,
    pub pool: Option<SpannedString>,
    pub split: Option<Spanned<SplitFile>>,
    #[serde(default, rename = "nodes")]
    pub scope: ScopeFile,
    #[serde(default, rename = "fallback")]
    pub fallbacks: Vec<FallbackFile>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Match")]
pub(crate) struct MatcherFile {
    pub host: Option<SpannedString>,
    pub path: Option<SpannedString>,
    pub methods: Vec<SpannedString>,
    pub headers: BTreeMap<String, SpannedString>,
    pub class: Option<SpannedString>,
    pub tenant: Option<SpannedString>,
    pub zones: Vec<SpannedString>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Within")]
pub(crate) struct ScopeFile {
    pub zones: Vec<SpannedString>,
    #[serde(rename = "kinds")]
    pub machine_kinds: Vec<SpannedString>,
    pub cells: Vec<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Split")]
pub(crate) struct SplitFile {
    #[serde(rename = "by")]
    pub key: Option<SpannedString>,
    pub pools: Vec<SplitPoolFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Part")]
pub(crate) struct SplitPoolFile {
    pub pool: SpannedString,
    pub weight: Spanned<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Fallback")]
pub(crate) struct FallbackFile {
    pub pool: SpannedString,
    #[serde(rename = "when")]
    pub conditions: Spanned<Vec<ConditionFile>>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "enum Condition")]
pub(crate) enum ConditionFile {
    NoneReady,
    AllDraining,
    #[serde(rename = "refused")]
    Rejected,
}

impl From<ConditionFile> for FallbackCondition {
    fn from(condition: ConditionFile) -> Self {
        match condition {
            ConditionFile::NoneReady => FallbackCondition::NoneReady,
            ConditionFile::AllDraining => FallbackCondition::AllDraining,
            ConditionFile::Rejected => FallbackCondition::Rejected,
        }
    }
}

/// The definitions of other sections that routes may refer to.
pub(crate) struct RouteContext<'c> {
    pub(crate) classes: &'c NameIndex,
    pub(crate) pools: &'c NameIndex,
    pub(crate) tenants: &'c [String],
    /// Whether every endpoint list is in the file. If so, a scope may name only zones and kinds of machines
    /// that an endpoint, a listener, the proxy, or this or an earlier route of the file names.
    pub(crate) all_endpoints_known: bool,
}

impl Checker<'_> {
    /// Checks a route. Returns `None` if its class is undefined or it has no valid pool or split.
    pub(crate) fn route(&mut self, section: &RouteFile, context: &RouteContext<'_>) -> Option<Route> {
        let matches = self.matcher(&section.matcher, context.tenants);
        let class = self.resolve("class", &section.class, context.classes);
        let split = self.pools_of_route(section, context.pools, &matches.path);
        let scope = self.scope(&section.scope, context.all_endpoints_known);
        let mut used_pools: Vec<PoolId> = split.iter().flat_map(Split::pools).collect();
        let mut fallbacks = Vec::new();
        for fallback in &section.fallbacks {
            let Some(pool) = self.resolve("pool", &fallback.pool, context.pools).map(PoolId) else {
                continue;
            };
            self.check_fallback(section, fallback, used_pools.contains(&pool));
            used_pools.push(pool);
            let conditions = fallback.conditions.get_ref().iter().copied().map(FallbackCondition::from);
            fallbacks.push(Fallback { pool, conditions: conditions.collect() });
        }
        Some(Route {
            name: section.name.get_ref().clone(),
            matches,
            class: class?,
            scope,
            split: split?,
            fallbacks,
        })
    }

    fn check_fallback(&mut self, section: &RouteFile, fallback: &FallbackFile, is_used_before: bool) {
        if is_used_before {
            let message = format!(
                "the fallback of route `{}` leads back to pool `{}`",
                section.name.get_ref(),
                fallback.pool.get_ref()
            );
            let help = "a pool stands once in a route; name another, or leave the fallback out".to_owned();
            self.report(fallback.pool.span(), message, Some(help));
        }
        if fallback.conditions.get_ref().is_empty() {
            let help = "write one or more of \"none-ready\", \"all-draining\", \"refused\"".to_owned();
            self.report(fallback.conditions.span(), "`when`: a fallback that is never used", Some(help));
        }
    }

    /// The endpoints that a route may use.
    fn scope(&mut self, scope: &ScopeFile, all_endpoints_known: bool) -> EndpointScope {
        if all_endpoints_known {
            let zone_problems = unknown_words("zone", &scope.zones, &self.zones);
            let kind_problems = unknown_words("kind", &scope.machine_kinds, &self.machine_kinds);
            for problem in zone_problems.into_iter().chain(kind_problems) {
                self.report(problem.span, problem.message, Some(problem.help));
            }
        }
        let values = |words: &[SpannedString]| {
            words.iter().map(|word| word.get_ref().clone()).collect::<Vec<String>>()
        };
        let scope = EndpointScope {
            zones: values(&scope.zones),
            machine_kinds: values(&scope.machine_kinds),
            cells: scope.cells.clone(),
        };
        scope.zones.iter().for_each(|zone| self.zones.intern(zone));
        scope.machine_kinds.iter().for_each(|kind| self.machine_kinds.intern(kind));
        scope
    }

    /// Builds the table. If routes conflict, reports them and returns `None`.
    pub(crate) fn route_table(&mut self, sections: &[RouteFile], routes: Vec<Route>) -> Option<RouteTable> {
        let conflicts = match RouteTable::build(routes) {
            Ok(table) => return Some(table),
            Err(conflicts) => conflicts,
        };
        for conflict in conflicts {
            let first = &sections[conflict.first].name;
            let second = &sections[conflict.second].name;
            let line = self.line(first.span().start);
            let message = format!(
                "routes `{}` (line {line}) and `{}` are equally specific, and a request can match both",
                first.get_ref(),
                second.get_ref()
            );
            let help = "make one of them more specific, or the two disjoint; order decides nothing";
            self.report(second.span(), message, Some(help.to_owned()));
        }
        None
    }
}

/// A problem that is not reported yet.
struct Problem {
    span: std::ops::Range<usize>,
    message: String,
    help: String,
}

fn unknown_words(noun: &str, words: &[SpannedString], known: &Interner) -> Vec<Problem> {
    let unknown = words.iter().filter(|word| !known.contains(word.get_ref()));
    let problem = |word: &SpannedString| Problem {
        span: word.span(),
        message: format!("no node has the {noun} `{}`", word.get_ref()),
        help: suggest(word.get_ref(), &known.non_empty()),
    };
    unknown.map(problem).collect()
}
