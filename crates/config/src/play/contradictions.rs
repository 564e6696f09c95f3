//! Expectations that no configuration can meet together.

use std::collections::BTreeMap;

use super::{is_only_refusal, list, node_names, words};
use crate::endpoint::EndpointState;
use crate::expect::{states, Expectation, Then, When};
use crate::model::Config;

/// A request, and the state of the fleet.
type Situation<'a> = (When, Vec<(usize, &'a str, EndpointState)>);

/// Pairs that ask two things of one request in one state, and why no configuration meets both.
pub(super) fn contradictions(config: &Config, all: &[Expectation]) -> Vec<(usize, usize, String)> {
    let mut groups: BTreeMap<Situation<'_>, Vec<usize>> = BTreeMap::new();
    let mut found = Vec::new();
    for (i, expectation) in all.iter().enumerate() {
        if let Some(why) = clash(config, expectation, expectation) {
            found.push((i, i, why));
        }
        groups.entry((normal(&expectation.when), states(&expectation.given))).or_default().push(i);
    }
    for group in groups.values() {
        for (n, &a) in group.iter().enumerate() {
            for &b in &group[n + 1..] {
                if let Some(why) = clash(config, &all[a], &all[b]).or_else(|| clash(config, &all[b], &all[a]))
                {
                    found.push((a, b, why));
                }
            }
        }
    }
    found.sort();
    found
}

/// The request as routing sees it, so that the same one in two spellings is the same.
fn normal(when: &When) -> When {
    let mut when = when.clone();
    if let Ok(host) = route::normalize::host(&when.host) {
        when.host = host.name.into_owned();
    }
    if let Ok(path) = route::normalize::path(when.path.split('?').next().unwrap_or_default()) {
        when.path = path.into_owned();
    }
    when
}

/// Why two expectations on the same request cannot both be met, as far as what the first asks is against what
/// the second does.
fn clash(config: &Config, a: &Expectation, b: &Expectation) -> Option<String> {
    let fleet = &a.given;
    let (x, y) = (&a.then, &b.then);
    let differ = |sort: &str, one: String, other: String| {
        Some(format!("one request has one {sort}, and they name `{one}` and `{other}`"))
    };
    if let (Some(one), Some(other)) = (&x.route, &y.route) {
        if one != other {
            return differ("route", one.clone(), other.clone());
        }
    }
    if let (Some(one), Some(other)) = (x.pool, y.pool) {
        if one != other {
            return differ("pool", config.pools[one].name.clone(), config.pools[other].name.clone());
        }
    }
    if let (Some(one), Some(other)) = (x.class, y.class) {
        if one != other {
            return differ("class", config.classes[one].name.clone(), config.classes[other].name.clone());
        }
    }
    if let Some(status) = x.refused {
        if let Some(other) = y.refused.filter(|other| *other != status) {
            return Some(format!("one request has one answer, and they name {status} and {other}"));
        }
        let served = y.stays_in.is_some() || y.nodes.as_ref().is_some_and(|n| !n.is_empty());
        if served || (status != 503 && !is_only_refusal(y)) {
            return Some(format!(
                "one wants a refusal with {status}, the other {}",
                words(config, fleet, &Then { refused: None, ..y.clone() })
            ));
        }
    }
    if let (Some(one), Some(other)) = (&x.nodes, &y.nodes) {
        if one != other {
            let names = |nodes| node_names(config, fleet, nodes);
            return Some(format!("the nodes it may reach are either {} or {}", names(one), names(other)));
        }
    }
    // Zones that `y` leaves, against what `x` needs.
    let leaves = |zone: &String| {
        y.stays_in.as_ref().is_none_or(|zones| zones.contains(zone)) && !y.never_in.contains(zone)
    };
    let asked = words(
        config,
        fleet,
        &Then { stays_in: y.stays_in.clone(), never_in: y.never_in.clone(), ..Then::default() },
    );
    if let Some(zones) = x.stays_in.as_ref().filter(|zones| !zones.iter().any(leaves)) {
        return Some(format!("one wants it to stay in {}, the other {asked}", list(zones.iter().cloned())));
    }
    for (p, n) in x.nodes.iter().flatten() {
        let node = &fleet.pools[*p][*n];
        if !leaves(&node.zone) {
            return Some(format!(
                "one wants node `{}`, which the configuration puts into zone `{}`, the other {asked}",
                node.name, node.zone
            ));
        }
    }
    let pool = x.pool.map(|p| (&config.pools[p].name, &fleet.pools[p]));
    if let Some((name, nodes)) = pool.filter(|(_, nodes)| !nodes.is_empty()) {
        if y.stays_in.is_some() && !nodes.iter().any(|n| leaves(&n.zone)) {
            return Some(format!(
                "one wants pool `{name}`, all of whose nodes the configuration puts elsewhere, the other {asked}"
            ));
        }
    }
    None
}
