//! Measures a lookup in tables with different numbers of routes, which are spread over many hosts and paths.

use route::{
    EndpointScope, HostPattern, NormalizedRequest, PathPattern, PoolId, RequestAttributes, Route,
    RouteMatcher, RouteTable, Split,
};

fn main() {
    divan::main();
}

fn table(routes: usize) -> RouteTable {
    let route = |i: usize| {
        let path = match i % 4 {
            0 => format!("/club-{}/standings/{{event}}", i / 4),
            1 => format!("/club-{}/rounds/{{round}}/tables/{{table}}", i / 4),
            2 => format!("/club-{}/*", i / 4),
            _ => format!("/club-{}/close-round", i / 4),
        };
        Route {
            name: format!("route-{i}"),
            matches: RouteMatcher {
                host: HostPattern::parse(&format!("h{}.example", i % 100)).expect("a host"),
                path: PathPattern::parse(&path).expect("a path"),
                methods: vec!["GET".to_owned()],
                ..RouteMatcher::default()
            },
            class: 0,
            scope: EndpointScope::default(),
            split: Split::single(PoolId(0)),
            fallbacks: Vec::new(),
        }
    };
    RouteTable::build((0..routes).map(route).collect()).expect("no conflicts")
}

/// Hosts and paths of requests that match a route in the table with this number of routes.
fn requests(routes: usize) -> Vec<(String, String)> {
    let route = |i: usize| (i * 7919 + 1) % routes / 4 * 4 + 1;
    (0..64)
        .map(route)
        .map(|i| (format!("h{}.example", i % 100), format!("/club-{}/rounds/7/tables/12", i / 4)))
        .collect()
}

fn bench(
    bencher: divan::Bencher<'_, '_>,
    routes: usize,
    lookup: impl Fn(&RouteTable, &NormalizedRequest<'_>) -> Option<usize>,
) {
    let table = table(routes);
    let requests = requests(routes);
    let headers: Vec<(String, String)> = Vec::new();
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1) % requests.len();
        let (host, path) = &requests[next];
        let attributes =
            RequestAttributes { method: "GET", class: None, tenant: None, zone: "south", headers: &headers };
        let request = NormalizedRequest { host, path, attributes };
        let found = lookup(&table, divan::black_box(&request));
        assert!(found.is_some());
        found
    });
}

#[divan::bench(args = [10, 1_000, 10_000, 100_000], sample_size = 1000)]
fn lookup(bencher: divan::Bencher<'_, '_>, routes: usize) {
    bench(bencher, routes, RouteTable::lookup_index);
}

/// A linear scan of all routes, for comparison.
#[divan::bench(args = [10, 1_000, 10_000], sample_size = 64)]
fn linear_scan(bencher: divan::Bencher<'_, '_>, routes: usize) {
    bench(bencher, routes, |table, request| {
        let routes = table.routes().iter().enumerate();
        let matching = routes.filter(|(_, route)| route.matches.matches(request));
        matching.min_by_key(|(_, route)| route.matches.specificity()).map(|(index, _)| index)
    });
}

#[divan::bench(args = ["/standings/1", "/a//b/%2e%2e/c"])]
fn normalize_path(path: &str) -> usize {
    route::normalize::path(divan::black_box(path)).map_or(0, |path| path.len())
}
