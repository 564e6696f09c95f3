//! Expectations that no configuration can meet together.

use std::collections::BTreeMap;

use super::{describe, endpoint_names, is_only_rejection, join_names};
use crate::endpoint::EndpointState;
use crate::expect::{endpoint_states, Expectation, Then, When};
use crate::model::Config;

/// A request and the states of the endpoints.
type Situation<'a> = (When, Vec<(usize, &'a str, EndpointState)>);

/// Finds pairs of expectations with the same request and the same states of endpoints that no configuration
/// can meet together. Returns the indexes of each pair and the reason; both indexes are the same if an
/// expectation contradicts itself.
pub(super) fn contradictions(config: &Config, all: &[Expectation]) -> Vec<(usize, usize, String)> {
    let mut groups: BTreeMap<Situation<'_>, Vec<usize>> = BTreeMap::new();
    let mut found = Vec::new();
    for (i, expectation) in all.iter().enumerate() {
        if let Some(reason) = conflict(config, expectation, expectation) {
            found.push((i, i, reason));
        }
        groups
            .entry((normalized(&expectation.when), endpoint_states(&expectation.given)))
            .or_default()
            .push(i);
    }
    for group in groups.values() {
        for (n, &a) in group.iter().enumerate() {
            for &b in &group[n + 1..] {
                let reason = conflict(config, &all[a], &all[b]);
                if let Some(reason) = reason.or_else(|| conflict(config, &all[b], &all[a])) {
                    found.push((a, b, reason));
                }
            }
        }
    }
    found.sort();
    found
}

/// The request with host and path in the normal form of routing, so that two spellings of one request are
/// equal.
fn normalized(when: &When) -> When {
    let mut when = when.clone();
    if let Ok(host) = route::normalize::host(&when.host) {
        when.host = host.name.into_owned();
    }
    if let Ok(path) = route::normalize::path(when.path.split('?').next().unwrap_or_default()) {
        when.path = path.into_owned();
    }
    when
}

/// The reason why two expectations on the same request cannot both be met. The check is not symmetric, so
/// callers make it in both orders: a rejection that `a` expects is compared with all that `b` expects, and
/// the endpoints and zones that `a` needs are compared with the zones that `b` allows.
fn conflict(config: &Config, a: &Expectation, b: &Expectation) -> Option<String> {
    let endpoints = &a.given;
    let (first, second) = (&a.then, &b.then);
    let different = |noun: &str, one: String, other: String| {
        Some(format!("one request has one {noun}, and they name `{one}` and `{other}`"))
    };
    if let (Some(one), Some(other)) = (&first.route, &second.route) {
        if one != other {
            return different("route", one.clone(), other.clone());
        }
    }
    if let (Some(one), Some(other)) = (first.pool, second.pool) {
        if one != other {
            return different("pool", config.pools[one].name.clone(), config.pools[other].name.clone());
        }
    }
    if let (Some(one), Some(other)) = (first.class, second.class) {
        if one != other {
            return different("class", config.classes[one].name.clone(), config.classes[other].name.clone());
        }
    }
    if let Some(status) = first.refused {
        if let Some(other) = second.refused.filter(|other| *other != status) {
            return Some(format!("one request has one answer, and they name {status} and {other}"));
        }
        let served = second.stays_in.is_some()
            || second.endpoints.as_ref().is_some_and(|endpoints| !endpoints.is_empty());
        if served || (status != 503 && !is_only_rejection(second)) {
            return Some(format!(
                "one wants a refusal with {status}, the other {}",
                describe(config, endpoints, &Then { refused: None, ..second.clone() })
            ));
        }
    }
    if let (Some(one), Some(other)) = (&first.endpoints, &second.endpoints) {
        if one != other {
            let names = |ids| endpoint_names(config, endpoints, ids);
            return Some(format!("the nodes it may reach are either {} or {}", names(one), names(other)));
        }
    }
    // The zones that `second` allows, compared with those that `first` needs.
    let is_allowed = |zone: &String| {
        second.stays_in.as_ref().is_none_or(|zones| zones.contains(zone)) && !second.never_in.contains(zone)
    };
    let allowed = describe(
        config,
        endpoints,
        &Then { stays_in: second.stays_in.clone(), never_in: second.never_in.clone(), ..Then::default() },
    );
    if let Some(zones) = first.stays_in.as_ref().filter(|zones| !zones.iter().any(is_allowed)) {
        let zones = join_names(zones.iter().cloned());
        return Some(format!("one wants it to stay in {zones}, the other {allowed}"));
    }
    for (pool, index) in first.endpoints.iter().flatten() {
        let endpoint = &endpoints.pools[*pool][*index];
        if !is_allowed(&endpoint.zone) {
            return Some(format!(
                "one wants node `{}`, which the configuration puts into zone `{}`, the other {allowed}",
                endpoint.name, endpoint.zone
            ));
        }
    }
    let pool = first.pool.map(|index| (&config.pools[index].name, &endpoints.pools[index]));
    if let Some((name, in_pool)) = pool.filter(|(_, in_pool)| !in_pool.is_empty()) {
        if second.stays_in.is_some() && !in_pool.iter().any(|endpoint| is_allowed(&endpoint.zone)) {
            return Some(format!(
                "one wants pool `{name}`, all of whose nodes the configuration puts elsewhere, the other {allowed}"
            ));
        }
    }
    None
}
