//! Slow start in one balancer, through the public interface.
mod common;

use common::{pool, ready_endpoint, sent_to, settings, Proxy};
use decide::{Endpoint, EndpointId, EndpointState, Event, Micros, Outcome, RequestId, Settings, UpdateScope};

fn slow_start_settings() -> Settings {
    Settings {
        balancers: 10,
        slow_start_min_capacity: 0.2,
        slow_start_duration: 10_000_000,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
        ..settings()
    }
}

/// Guards against overload of a warming endpoint that ranks well: the balancer must hold requests back from
/// it.
#[test]
fn warming_endpoint_gets_no_more_than_its_budget() {
    let mut endpoints = pool(4);
    let mut proxy = Proxy::new(Settings { balancers: 1, ..slow_start_settings() }, &endpoints[..3]);
    let mut sends = [0.0; 4];
    for n in 0..400 {
        if n == 200 {
            endpoints[3].up_since = Some(proxy.now);
            proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &endpoints });
            sends = [0.0; 4];
        }
        let requests: Vec<(RequestId, Vec<EndpointId>)> =
            (0..36).map(|_| proxy.request(0)).map(|(id, actions)| (id, sent_to(&actions))).collect();
        proxy.advance(10_000);
        for (id, to) in requests {
            for endpoint in to {
                // The warming endpoint is faster than the warm ones, so that it ranks well and only its
                // budget limits it.
                let took = if endpoint == EndpointId(3) { 1_000 } else { 10_000 };
                sends[endpoint.0 as usize] += 1.0;
                proxy.outcome(id, 0, endpoint, Outcome::Ok, took);
            }
        }
    }
    // In the two seconds after its start its capacity rises to 0.36 of that of a warm endpoint.
    let carried = (sends[0] + sends[1] + sends[2]) / 3.0;
    assert!(sends[3] >= 1.0 && sends[3] <= 0.36 * 3.0 * carried / 1.5, "{sends:?}");
}

/// An endpoint that has restarted ranks last. Guards against its getting no request until the others are
/// heavily loaded.
#[test]
fn idle_warming_endpoint_gets_warm_up_requests_that_can_wait() {
    let mut endpoints = pool(4);
    let mut proxy = Proxy::new(Settings { balancers: 1, ..slow_start_settings() }, &endpoints);
    // Three requests at a time, so that the warm endpoints are never heavily loaded. Each can wait for
    // `time_left`.
    let serve_rounds = |proxy: &mut Proxy, rounds: usize, time_left: Micros| {
        let mut to_warming = 0;
        for _ in 0..rounds {
            let open: Vec<_> = (0..3).map(|_| proxy.request_with(0, time_left)).collect();
            proxy.advance(50_000);
            for (id, actions) in open {
                for endpoint in sent_to(&actions) {
                    to_warming += usize::from(endpoint == EndpointId(0));
                    proxy.outcome(id, 0, endpoint, Outcome::Ok, 50_000);
                }
            }
        }
        to_warming
    };
    serve_rounds(&mut proxy, 200, 500_000);
    endpoints[0].up_since = Some(proxy.now);
    proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &endpoints });
    // A warming endpoint takes 250 ms at first; requests with less time left are not sent there.
    assert_eq!(serve_rounds(&mut proxy, 40, 100_000), 0);
    // Two seconds, with at most one warm-up request per second.
    let warm_ups = serve_rounds(&mut proxy, 40, 500_000);
    assert!((1..=3).contains(&warm_ups), "{warm_ups} requests to the warming endpoint");
}

/// Guards against a new balancer that overloads warming endpoints, because it has not yet measured what a
/// warm one serves.
#[test]
fn new_balancer_sends_few_requests_to_warming_endpoints() {
    let endpoints: Vec<Endpoint> =
        (0..4).map(|id| Endpoint { up_since: Some(1_000_000), ..ready_endpoint(id, 0) }).collect();
    let mut proxy = Proxy::new(slow_start_settings(), &endpoints);
    let sends: usize = (0..100).map(|_| sent_to(&proxy.request(0).1).len()).sum();
    assert!(sends <= 4, "{sends} attempts at four warming endpoints");
}

/// Guards against a burst at an idle warming endpoint: if each of many balancers saves up a whole request for
/// it, all of these arrive at once.
#[test]
fn balancers_do_not_each_save_up_a_whole_request_for_a_warming_endpoint() {
    // A warm endpoint serves two requests per second from each of 300 balancers. The warming one is idle for
    // three seconds; then the warm one drains, and all balancers send to the warming one at once.
    let mut sends = 0;
    for rank in 0..300 {
        let mut endpoints = pool(2);
        let settings = Settings {
            balancers: 300,
            rank,
            overload_multiple: 2.0,
            overload_window: 1_000_000,
            ..slow_start_settings()
        };
        let mut proxy = Proxy::with_seed(settings, &endpoints[..1], u64::from(rank));
        for _ in 0..4 {
            let (id, actions) = proxy.request(0);
            proxy.advance(500_000);
            sent_to(&actions).into_iter().for_each(|b| drop(proxy.outcome(id, 0, b, Outcome::Ok, 500_000)));
        }
        endpoints[1].up_since = Some(proxy.now);
        endpoints[0].state = EndpointState::Draining;
        proxy.advance(3_000_000);
        proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &endpoints });
        sends += (0..2).flat_map(|_| sent_to(&proxy.request(0).1)).count();
    }
    // One endpoint served 600 requests per second; a burst of a quarter of a second's worth is acceptable.
    assert!(sends > 0 && sends <= 170, "{sends} attempts at once at one warming endpoint");
}
