//! Evaluates expectations on a configuration, with the route table and the rules on pools that serve.

mod contradictions;
mod report;

use std::collections::BTreeSet;

use route::{EndpointCounts, HeaderFields, PoolId, RawRequest, RequestAttributes, RouteError, SplitKey};

use self::contradictions::contradictions;
pub use self::report::{Contradiction, Failure, Place, Report};
use crate::endpoint::EndpointState;
use crate::expect::{Expectation, NodeId, Then, When};
use crate::model::Config;
use crate::pool_endpoints::PoolEndpoints;

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered at once.
    Unrouted(RouteError),
    /// Routed.
    Routed {
        /// The route's place.
        route: usize,
        /// The pools that it may prefer: more than one only where the request has no key to split by.
        preferred: Vec<usize>,
        /// The pools that it may go to first.
        first: BTreeSet<usize>,
        /// The nodes that it may reach; with none it is refused with 503.
        nodes: BTreeSet<NodeId>,
    },
}

pub(crate) fn play(config: &Config, all: &[Expectation]) -> Report {
    let mut report = Report { expectations: all.len(), ..Report::default() };
    let mut accused = BTreeSet::new();
    for (a, b, why) in contradictions(config, all) {
        accused.extend([a, b]);
        report.contradictions.push(Contradiction { first: place(&all[a]), second: place(&all[b]), why });
    }
    for expectation in all.iter().enumerate().filter(|(i, _)| !accused.contains(i)).map(|(_, e)| e) {
        let verdict = Counted::new(config, &expectation.given).verdict(&expectation.when);
        if let Some((expected, would)) = unmet(config, &expectation.given, &expectation.then, &verdict) {
            let route = blamed(config, &verdict);
            report.failures.push(Failure { place: place(expectation), expected, would, route });
        } else if expectation.only_then {
            let plain = Counted::new(config, &expectation.plain).verdict(&expectation.when);
            if unmet(config, &expectation.plain, &expectation.then, &plain).is_none() {
                report.failures.push(Failure {
                    place: place(expectation),
                    expected: "this in the given state only".to_owned(),
                    would: "it holds without that state as well".to_owned(),
                    route: blamed(config, &plain),
                });
            }
        }
    }
    report
}

fn place(expectation: &Expectation) -> Place {
    Place { name: expectation.name.clone(), file: expectation.file.clone(), line: expectation.line }
}

fn blamed(config: &Config, verdict: &Verdict) -> Option<Place> {
    let Verdict::Routed { route, .. } = verdict else { return None };
    let origin = config.route_origins.get(*route)?;
    let name = config.table.routes()[*route].name.clone();
    Some(Place { name, file: origin.file.clone(), line: origin.line })
}

/// A configuration with the fleet in some state.
struct Counted<'a> {
    config: &'a Config,
    fleet: &'a PoolEndpoints,
}

impl<'a> Counted<'a> {
    fn new(config: &'a Config, fleet: &'a PoolEndpoints) -> Self {
        Counted { config, fleet }
    }

    fn verdict(&self, when: &When) -> Verdict {
        let attributes = RequestAttributes {
            method: &when.method,
            class: when.class.as_deref(),
            tenant: when.tenant.as_deref(),
            zone: &when.zone,
            headers: &when.headers,
        };
        let path = when.path.split('?').next().unwrap_or_default();
        let request = RawRequest { host: &when.host, path, attributes };
        let found = match self.config.table.resolve(&request) {
            Ok(found) => found,
            Err(unrouted) => return Verdict::Unrouted(unrouted),
        };
        let route = &self.config.table.routes()[found.route];
        let request = found.request(attributes);
        let keyless = match &route.split.key {
            SplitKey::RequestId => !route.split.has_single_pool(),
            SplitKey::Header(name) => HeaderFields::get(&when.headers, name).is_none(),
            SplitKey::PathParameter(_) => false,
        };
        // Without a key the request's own id decides, and that may be any.
        let preferred: Vec<PoolId> =
            if keyless { route.split.pools().collect() } else { vec![route.preferred(&request, "")] };
        let usable = |pool: PoolId| {
            let nodes = self.fleet.pools[pool.0].iter().enumerate();
            nodes.filter(|(_, n)| route.scope.allows(&n.zone, &n.machine_kind, n.cell))
        };
        let count = |pool: PoolId| {
            let of = |state| usable(pool).filter(|(_, n)| n.state == state).count();
            EndpointCounts { ready: of(EndpointState::Ready), draining: of(EndpointState::Draining) }
        };
        let (mut first, mut nodes) = (BTreeSet::new(), BTreeSet::new());
        for pool in &preferred {
            first.insert(route.first_pool(*pool, count).pool.0);
            for step in route.reachable_pools(*pool, count) {
                let ready = usable(step.pool).filter(|(_, n)| n.state == EndpointState::Ready);
                nodes.extend(ready.map(|(n, _)| (step.pool.0, n)));
            }
        }
        let preferred = preferred.iter().map(|p| p.0).collect();
        Verdict::Routed { route: found.route, preferred, first, nodes }
    }
}

fn list(names: impl IntoIterator<Item = String>) -> String {
    let names: Vec<String> = names.into_iter().map(|n| format!("`{n}`")).collect();
    match names.split_last() {
        None => "none".to_owned(),
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} and {last}", rest.join(", ")),
    }
}

fn node_names(config: &Config, fleet: &PoolEndpoints, nodes: &BTreeSet<NodeId>) -> String {
    let name = |(p, n): &NodeId| format!("{}/{}", config.pools[*p].name, fleet.pools[*p][*n].name);
    if nodes.len() > 12 {
        let some = nodes.iter().take(10).map(name);
        return format!("{} and {} more", list(some), nodes.len() - 10);
    }
    list(nodes.iter().map(name))
}

/// What was expected and what would happen, where these differ.
fn unmet(config: &Config, fleet: &PoolEndpoints, then: &Then, verdict: &Verdict) -> Option<(String, String)> {
    let pool = |p: &usize| config.pools[*p].name.clone();
    let (route, first, nodes) = match verdict {
        Verdict::Unrouted(unrouted) => {
            let status = unrouted.status();
            if then.refused == Some(status) && is_only_refusal(then) {
                return None;
            }
            return Some((
                words(config, fleet, then),
                format!("it would be refused with {status}: {unrouted}"),
            ));
        }
        Verdict::Routed { route, first, nodes, .. } => (&config.table.routes()[*route], first, nodes),
    };
    let wrong = |would: String| Some((words(config, fleet, then), would));
    if let Some(status) = then.refused {
        if status != 503 {
            return wrong(format!("it would go to pool {}", list(first.iter().map(pool))));
        }
        if !nodes.is_empty() {
            return wrong(format!("it would be served by {}", node_names(config, fleet, nodes)));
        }
    }
    if then.route.as_ref().is_some_and(|name| *name != route.name) {
        return wrong(format!("it would take route `{}`", route.name));
    }
    if then.class.is_some_and(|class| class != route.class) {
        return wrong(format!("its class would be `{}`", config.classes[route.class].name));
    }
    if then.pool.is_some_and(|p| *first != BTreeSet::from([p])) {
        return wrong(format!("it would go to pool {}", list(first.iter().map(pool))));
    }
    let served = then.nodes.is_some() || then.stays_in.is_some();
    if served && nodes.is_empty() && then.nodes.as_ref().is_none_or(|n| !n.is_empty()) {
        return wrong("it would be refused with 503: no node that it may use is ready".to_owned());
    }
    if then.nodes.as_ref().is_some_and(|expected| expected != nodes) {
        return wrong(format!("it could reach {}", node_names(config, fleet, nodes)));
    }
    let zone = |(p, n): &&NodeId| &fleet.pools[*p][*n].zone;
    let outside = |node: &&NodeId| {
        then.stays_in.as_ref().is_some_and(|zones| !zones.contains(zone(node)))
            || then.never_in.contains(zone(node))
    };
    let strays: BTreeSet<NodeId> = nodes.iter().filter(outside).copied().collect();
    if strays.is_empty() {
        return None;
    }
    let zones: BTreeSet<String> = strays.iter().map(|n| zone(&n).clone()).collect();
    wrong(format!("it could reach {} in zone {}", node_names(config, fleet, &strays), list(zones)))
}

/// Does it ask for nothing but a refusal?
fn is_only_refusal(then: &Then) -> bool {
    then.route.is_none()
        && then.pool.is_none()
        && then.class.is_none()
        && then.nodes.as_ref().is_none_or(BTreeSet::is_empty)
        && then.stays_in.is_none()
}

/// What an expectation asks for, in words.
fn words(config: &Config, fleet: &PoolEndpoints, then: &Then) -> String {
    let mut words = Vec::new();
    words.extend(then.route.iter().map(|r| format!("route `{r}`")));
    words.extend(then.pool.map(|p| format!("pool `{}`", config.pools[p].name)));
    words.extend(then.class.map(|c| format!("class `{}`", config.classes[c].name)));
    words.extend(then.nodes.as_ref().map(|n| format!("just the nodes {}", node_names(config, fleet, n))));
    words.extend(then.stays_in.as_ref().map(|z| format!("to stay in {}", list(z.iter().cloned()))));
    if !then.never_in.is_empty() {
        words.push(format!("never to reach {}", list(then.never_in.iter().cloned())));
    }
    words.extend(then.refused.map(|s| format!("a refusal with {s}")));
    words.join(" and ")
}
