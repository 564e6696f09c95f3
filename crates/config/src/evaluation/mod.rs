//! Evaluates expectations on a configuration, with the same route table and fallback rules as live requests.

mod contradictions;
mod report;

use std::collections::BTreeSet;

use route::{EndpointCounts, HeaderFields, PoolId, RawRequest, RequestAttributes, RouteError, SplitKey};

use self::contradictions::contradictions;
pub use self::report::{Contradiction, Failure, Position, Report};
use crate::endpoint::EndpointState;
use crate::expect::{EndpointId, Expectation, Then, When};
use crate::model::Config;
use crate::pool_endpoints::PoolEndpoints;

/// The routing of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutingOutcome {
    /// The request has no normal form or no route, and is answered at once.
    Rejected(RouteError),
    /// A route takes the request.
    Routed {
        /// The index of the route.
        route: usize,
        /// The pools that the split may choose, by index; several only if the request has no key to split by.
        preferred: Vec<usize>,
        /// The pools that may be tried first, after fallbacks, by index.
        first: BTreeSet<usize>,
        /// The endpoints that the request may reach; if there is none, it is rejected with 503.
        endpoints: BTreeSet<EndpointId>,
    },
}

/// Evaluates expectations. Those that contradict each other are reported as contradictions and not evaluated.
pub(crate) fn evaluate(config: &Config, all: &[Expectation]) -> Report {
    let mut report = Report { expectations: all.len(), ..Report::default() };
    let mut contradictory = BTreeSet::new();
    for (a, b, reason) in contradictions(config, all) {
        contradictory.extend([a, b]);
        let (first, second) = (position(&all[a]), position(&all[b]));
        report.contradictions.push(Contradiction { first, second, reason });
    }
    let consistent = all.iter().enumerate().filter(|(index, _)| !contradictory.contains(index));
    for (_, expectation) in consistent {
        let outcome = Evaluator::new(config, &expectation.given).evaluate(&expectation.when);
        let mismatch = find_mismatch(config, &expectation.given, &expectation.then, &outcome);
        if let Some((expected, actual)) = mismatch {
            let route = matched_route(config, &outcome);
            report.failures.push(Failure { position: position(expectation), expected, actual, route });
        } else if expectation.only_then {
            let ordinary = Evaluator::new(config, &expectation.ordinary).evaluate(&expectation.when);
            if find_mismatch(config, &expectation.ordinary, &expectation.then, &ordinary).is_none() {
                report.failures.push(Failure {
                    position: position(expectation),
                    expected: "this in the given state only".to_owned(),
                    actual: "it holds without that state as well".to_owned(),
                    route: matched_route(config, &ordinary),
                });
            }
        }
    }
    report
}

fn position(expectation: &Expectation) -> Position {
    Position { name: expectation.name.clone(), file: expectation.file.clone(), line: expectation.line }
}

/// The position of the route that takes a request.
fn matched_route(config: &Config, outcome: &RoutingOutcome) -> Option<Position> {
    let RoutingOutcome::Routed { route, .. } = outcome else { return None };
    let origin = config.route_origins.get(*route)?;
    let name = config.table.routes()[*route].name.clone();
    Some(Position { name, file: origin.file.clone(), line: origin.line })
}

/// Evaluates requests on a configuration whose endpoints are in given states.
struct Evaluator<'a> {
    config: &'a Config,
    endpoints: &'a PoolEndpoints,
}

impl<'a> Evaluator<'a> {
    fn new(config: &'a Config, endpoints: &'a PoolEndpoints) -> Self {
        Evaluator { config, endpoints }
    }

    fn evaluate(&self, when: &When) -> RoutingOutcome {
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
            Err(error) => return RoutingOutcome::Rejected(error),
        };
        let route = &self.config.table.routes()[found.route];
        let request = found.request(attributes);
        let keyless = match &route.split.key {
            SplitKey::RequestId => !route.split.has_single_pool(),
            SplitKey::Header(name) => HeaderFields::get(&when.headers, name).is_none(),
            SplitKey::PathParameter(_) => false,
        };
        // Without a key the pool depends on the request id, so it may be any pool of the split.
        let preferred: Vec<PoolId> =
            if keyless { route.split.pools().collect() } else { vec![route.preferred(&request, "")] };
        let usable = |pool: PoolId| {
            let endpoints = self.endpoints.pools[pool.0].iter().enumerate();
            endpoints.filter(|(_, endpoint)| {
                route.scope.allows(&endpoint.zone, &endpoint.machine_kind, endpoint.cell)
            })
        };
        let count = |pool: PoolId| {
            let in_state = |state| usable(pool).filter(|(_, endpoint)| endpoint.state == state).count();
            EndpointCounts {
                ready: in_state(EndpointState::Ready),
                draining: in_state(EndpointState::Draining),
            }
        };
        let (mut first, mut endpoints) = (BTreeSet::new(), BTreeSet::new());
        for pool in &preferred {
            first.insert(route.first_pool(*pool, count).pool.0);
            for step in route.reachable_pools(*pool, count) {
                let ready = usable(step.pool).filter(|(_, endpoint)| endpoint.state == EndpointState::Ready);
                endpoints.extend(ready.map(|(index, _)| (step.pool.0, index)));
            }
        }
        let preferred = preferred.iter().map(|pool| pool.0).collect();
        RoutingOutcome::Routed { route: found.route, preferred, first, endpoints }
    }
}

/// Names in backquotes, joined with commas and `and`; `none` if there are none.
fn join_names(names: impl IntoIterator<Item = String>) -> String {
    let names: Vec<String> = names.into_iter().map(|name| format!("`{name}`")).collect();
    match names.split_last() {
        None => "none".to_owned(),
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("{} and {last}", rest.join(", ")),
    }
}

/// The names of endpoints as `pool/name`; of more than 12 the first 10 and the number of the others.
fn endpoint_names(config: &Config, endpoints: &PoolEndpoints, ids: &BTreeSet<EndpointId>) -> String {
    let name = |(pool, index): &EndpointId| {
        format!("{}/{}", config.pools[*pool].name, endpoints.pools[*pool][*index].name)
    };
    if ids.len() > 12 {
        let some = ids.iter().take(10).map(name);
        return format!("{} and {} more", join_names(some), ids.len() - 10);
    }
    join_names(ids.iter().map(name))
}

/// The expected routing and the actual one, in words; `None` if the expectation is met.
fn find_mismatch(
    config: &Config,
    endpoints: &PoolEndpoints,
    then: &Then,
    outcome: &RoutingOutcome,
) -> Option<(String, String)> {
    let pool_name = |index: &usize| config.pools[*index].name.clone();
    let (route, first, reachable) = match outcome {
        RoutingOutcome::Rejected(error) => {
            let status = error.status();
            if then.refused == Some(status) && is_only_rejection(then) {
                return None;
            }
            return Some((
                describe(config, endpoints, then),
                format!("it would be refused with {status}: {error}"),
            ));
        }
        RoutingOutcome::Routed { route, first, endpoints, .. } => {
            (&config.table.routes()[*route], first, endpoints)
        }
    };
    let mismatch = |actual: String| Some((describe(config, endpoints, then), actual));
    if let Some(status) = then.refused {
        if status != 503 {
            return mismatch(format!("it would go to pool {}", join_names(first.iter().map(pool_name))));
        }
        if !reachable.is_empty() {
            let served_by = endpoint_names(config, endpoints, reachable);
            return mismatch(format!("it would be served by {served_by}"));
        }
    }
    if then.route.as_ref().is_some_and(|name| *name != route.name) {
        return mismatch(format!("it would take route `{}`", route.name));
    }
    if then.class.is_some_and(|class| class != route.class) {
        return mismatch(format!("its class would be `{}`", config.classes[route.class].name));
    }
    if then.pool.is_some_and(|pool| *first != BTreeSet::from([pool])) {
        return mismatch(format!("it would go to pool {}", join_names(first.iter().map(pool_name))));
    }
    let expects_endpoints = then.endpoints.is_some() || then.stays_in.is_some();
    if expects_endpoints
        && reachable.is_empty()
        && then.endpoints.as_ref().is_none_or(|expected| !expected.is_empty())
    {
        return mismatch("it would be refused with 503: no node that it may use is ready".to_owned());
    }
    if then.endpoints.as_ref().is_some_and(|expected| expected != reachable) {
        return mismatch(format!("it could reach {}", endpoint_names(config, endpoints, reachable)));
    }
    let zone = |(pool, index): &&EndpointId| &endpoints.pools[*pool][*index].zone;
    let is_outside = |id: &&EndpointId| {
        then.stays_in.as_ref().is_some_and(|zones| !zones.contains(zone(id)))
            || then.never_in.contains(zone(id))
    };
    let outside: BTreeSet<EndpointId> = reachable.iter().filter(is_outside).copied().collect();
    if outside.is_empty() {
        return None;
    }
    let zones: BTreeSet<String> = outside.iter().map(|id| zone(&id).clone()).collect();
    let names = endpoint_names(config, endpoints, &outside);
    mismatch(format!("it could reach {names} in zone {}", join_names(zones)))
}

/// Whether a rejected request can meet all that is expected besides `refused`.
fn is_only_rejection(then: &Then) -> bool {
    then.route.is_none()
        && then.pool.is_none()
        && then.class.is_none()
        && then.endpoints.as_ref().is_none_or(BTreeSet::is_empty)
        && then.stays_in.is_none()
}

/// An expected routing, in words.
fn describe(config: &Config, endpoints: &PoolEndpoints, then: &Then) -> String {
    let mut parts = Vec::new();
    parts.extend(then.route.iter().map(|route| format!("route `{route}`")));
    parts.extend(then.pool.map(|index| format!("pool `{}`", config.pools[index].name)));
    parts.extend(then.class.map(|index| format!("class `{}`", config.classes[index].name)));
    let names = |ids| endpoint_names(config, endpoints, ids);
    parts.extend(then.endpoints.as_ref().map(|ids| format!("just the nodes {}", names(ids))));
    let zones = |zones: &Vec<String>| join_names(zones.iter().cloned());
    parts.extend(then.stays_in.as_ref().map(|stays_in| format!("to stay in {}", zones(stays_in))));
    if !then.never_in.is_empty() {
        parts.push(format!("never to reach {}", zones(&then.never_in)));
    }
    parts.extend(then.refused.map(|status| format!("a refusal with {status}")));
    parts.join(" and ")
}
