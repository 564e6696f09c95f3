//! Property tests of the route table against a reference that scans all routes, and of normalization. Hosts,
//! segments and values are drawn from small sets, so that requests often match routes.

use proptest::prelude::*;
use route::{
    normalize, EndpointScope, HostPattern, NormalizedRequest, PathPattern, PoolId, RequestAttributes, Route,
    RouteMatcher, RouteTable, Split,
};

fn route(name: usize, matches: RouteMatcher) -> Route {
    Route {
        name: format!("r{name}"),
        matches,
        class: 0,
        scope: EndpointScope::default(),
        split: Split::single(PoolId(0)),
        fallbacks: Vec::new(),
    }
}

fn path_pattern() -> impl Strategy<Value = PathPattern> {
    let segment = prop_oneof![3 => Just("a"), 3 => Just("b"), 2 => Just("{}")];
    (prop::collection::vec(segment, 0..4), 0..3).prop_map(|(segments, end)| {
        let pairs = segments.iter().enumerate().map(|(i, s)| s.replace("{}", &format!("{{p{i}}}")));
        let mut path: String = pairs.map(|s| format!("/{s}")).collect();
        match end {
            0 => path.push_str("/*"),
            1 => path.push('/'),
            _ if path.is_empty() => path.push('/'),
            _ => {}
        }
        PathPattern::parse(&path).expect("a pattern")
    })
}

fn subset_of(names: &'static [&'static str]) -> impl Strategy<Value = Vec<String>> {
    prop::sample::subsequence(names, 0..=names.len()).prop_map(|n| n.iter().map(|s| s.to_string()).collect())
}

fn optional_from(names: &'static [&'static str]) -> impl Strategy<Value = Option<String>> {
    prop::option::weighted(0.3, prop::sample::select(names).prop_map(str::to_owned))
}

fn route_matcher() -> impl Strategy<Value = RouteMatcher> {
    let host = prop::sample::select(vec!["*", "x", "y.x", "*.x", "*.y.x", "*.z"]);
    let headers = (optional_from(&["1", "2"]), optional_from(&["1", "2"])).prop_map(|(a, b)| {
        let pairs = [("h-a", a), ("h-b", b)];
        pairs.into_iter().filter_map(|(n, v)| Some((n.to_owned(), v?))).collect()
    });
    (
        host,
        path_pattern(),
        prop_oneof![2 => Just(Vec::new()), 1 => subset_of(&["GET", "POST"])],
        headers,
        optional_from(&["c", "d"]),
        optional_from(&["t", "u"]),
        prop_oneof![2 => Just(Vec::new()), 1 => subset_of(&["north", "south"])],
    )
        .prop_map(|(host, path, methods, headers, class, tenant, zones)| RouteMatcher {
            host: HostPattern::parse(host).expect("a host"),
            path,
            methods,
            headers,
            class,
            tenant,
            zones,
        })
}

#[derive(Debug, Clone)]
struct Request {
    host: &'static str,
    method: &'static str,
    path: String,
    class: Option<String>,
    tenant: Option<String>,
    zone: &'static str,
    headers: Vec<(String, String)>,
}

impl Request {
    fn normalized(&self) -> NormalizedRequest<'_> {
        let attributes = RequestAttributes {
            method: self.method,
            class: self.class.as_deref(),
            tenant: self.tenant.as_deref(),
            zone: self.zone,
            headers: &self.headers,
        };
        NormalizedRequest { host: self.host, path: &self.path, attributes }
    }
}

fn request() -> impl Strategy<Value = Request> {
    let path = prop::collection::vec(prop::sample::select(vec!["a", "b", "c"]), 0..5);
    let headers = (optional_from(&["1", "2"]), optional_from(&["1", "2"]));
    (
        prop::sample::select(vec!["x", "y.x", "w.y.x", "z", "q.z", ""]),
        prop::sample::select(vec!["GET", "POST", "PUT"]),
        (path, any::<bool>()).prop_map(|(p, slash)| {
            let path: String = p.iter().map(|s| format!("/{s}")).collect();
            if slash || path.is_empty() {
                path + "/"
            } else {
                path
            }
        }),
        optional_from(&["c", "d", "e"]),
        optional_from(&["t", "u", "v"]),
        prop::sample::select(vec!["north", "south", "west"]),
        headers,
    )
        .prop_map(|(host, method, path, class, tenant, zone, (a, b))| {
            let pairs = [("h-a", a), ("h-b", b)];
            let headers = pairs.into_iter().filter_map(|(n, v)| Some((n.to_owned(), v?))).collect();
            Request { host, method, path, class, tenant, zone, headers }
        })
}

/// A set of routes without conflicts: a route that conflicts with an earlier one is left out.
fn routes() -> impl Strategy<Value = Vec<Route>> {
    prop::collection::vec(route_matcher(), 0..30).prop_map(|all| {
        let mut routes: Vec<Route> = Vec::new();
        for (i, matches) in all.into_iter().enumerate() {
            routes.push(route(i, matches));
            if RouteTable::build(routes.clone()).is_err() {
                routes.pop();
            }
        }
        routes
    })
}

/// Finds the most specific matching route by a linear scan. Panics if two matching routes are equally
/// specific, which the build of the table should have reported as a conflict.
fn most_specific_by_scan<'a>(routes: &'a [Route], request: &NormalizedRequest<'_>) -> Option<&'a Route> {
    let matching: Vec<&Route> = routes.iter().filter(|r| r.matches.matches(request)).collect();
    let best = matching.iter().min_by_key(|r| r.matches.specificity())?;
    let equal = matching.iter().filter(|r| r.matches.specificity() == best.matches.specificity()).count();
    assert_eq!(equal, 1, "a conflict was not detected: {matching:?}");
    Some(best)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn lookup_agrees_with_a_linear_scan(
        routes in routes(),
        requests in prop::collection::vec(request(), 1..40),
    ) {
        let table = RouteTable::build(routes.clone()).expect("no conflicts");
        for request in &requests {
            let normalized = request.normalized();
            let (actual, expected) = (table.lookup(&normalized), most_specific_by_scan(&routes, &normalized));
            prop_assert_eq!(actual.map(|r| &r.name), expected.map(|r| &r.name), "{:?}", request);
        }
    }

    /// The order of routes in a file must have no effect on routing.
    #[test]
    fn lookup_does_not_depend_on_the_order_of_routes(
        (routes, shuffled) in routes().prop_flat_map(|r| (Just(r.clone()), Just(r).prop_shuffle())),
        requests in prop::collection::vec(request(), 1..20),
    ) {
        let one = RouteTable::build(routes).expect("no conflicts");
        let other = RouteTable::build(shuffled).expect("no conflicts");
        for request in &requests {
            let normalized = request.normalized();
            let (one, other) = (one.lookup(&normalized), other.lookup(&normalized));
            prop_assert_eq!(one.map(|r| &r.name), other.map(|r| &r.name));
        }
    }

    /// Conflicts are detected in either order of the routes, and only between routes of equal specificity.
    #[test]
    fn conflicts_are_symmetric_and_only_between_equally_specific_routes(
        a in route_matcher(),
        b in route_matcher(),
    ) {
        let in_conflict = |x: &RouteMatcher, y: &RouteMatcher| {
            RouteTable::build(vec![route(0, x.clone()), route(1, y.clone())]).is_err()
        };
        prop_assert_eq!(in_conflict(&a, &b), in_conflict(&b, &a));
        if in_conflict(&a, &b) {
            prop_assert_eq!(a.specificity(), b.specificity());
        }
        prop_assert!(in_conflict(&a, &a), "a route conflicts with its duplicate");
    }

    /// The normal form of a path is its own normal form, without empty and `..` segments.
    #[test]
    fn normalizing_a_path_is_idempotent(raw in "/[a./%2eE0fF\\\\ ;é{~]{0,24}") {
        if let Ok(once) = normalize::path(&raw) {
            let twice = normalize::path(&once);
            prop_assert_eq!(twice.as_deref(), Ok(&*once));
            prop_assert!(!once.contains("//") && !once.contains("/../") && !once.ends_with("/.."), "{}", once);
        }
    }

    #[test]
    fn normalizing_a_host_is_idempotent(raw in "[a-bA-B.:0-9\\[\\]_-]{0,12}") {
        if let Ok(once) = normalize::host(&raw) {
            let twice = normalize::host(&once.name);
            prop_assert_eq!(twice.as_ref().map(|h| &*h.name), Ok(&*once.name));
        }
    }

    /// Guards against a panic on arbitrary text in requests or configurations.
    #[test]
    fn no_input_panics(raw in "\\PC{0,40}") {
        let _ = normalize::path(&raw);
        let _ = normalize::path(&format!("/{raw}"));
        let _ = normalize::host(&raw);
        let _ = PathPattern::parse(&raw);
        let _ = PathPattern::parse(&format!("/{raw}"));
        let _ = HostPattern::parse(&raw);
    }
}

/// A literal segment may match without leading to a route. The lookup must then try the parameter beside it,
/// and after that the prefix above, and not report that there is no route.
#[test]
fn lookup_backtracks_from_a_literal_to_a_parameter() {
    let path = |p: &str| RouteMatcher { path: PathPattern::parse(p).expect(p), ..RouteMatcher::default() };
    let table =
        RouteTable::build(vec![route(0, path("/a/b/c")), route(1, path("/a/{x}/d")), route(2, path("/a/*"))]);
    let table = table.expect("no conflicts");
    let none: Vec<(String, String)> = Vec::new();
    let name = |path: &str| {
        let attributes =
            RequestAttributes { method: "GET", class: None, tenant: None, zone: "", headers: &none };
        let normalized = NormalizedRequest { host: "", path, attributes };
        table.lookup(&normalized).map(|r| r.name.clone())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("r0"));
    assert_eq!(name("/a/b/d").as_deref(), Some("r1"));
    assert_eq!(name("/a/b/e").as_deref(), Some("r2"));
    assert_eq!(name("/b"), None);
}
