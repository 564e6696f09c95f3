//! Slow start as one balancer keeps it, through the public interface.
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
                // Warm endpoints are slow enough for a warming one to look good.
                let took = if endpoint == EndpointId(3) { 1_000 } else { 10_000 };
                sends[endpoint.0 as usize] += 1.0;
                proxy.outcome(id, 0, endpoint, Outcome::Ok, took);
            }
        }
    }
    // In the two seconds after its start its capacity rose to 0.36 of what the others carried.
    let carried = (sends[0] + sends[1] + sends[2]) / 3.0;
    assert!(sends[3] >= 1.0 && sends[3] <= 0.36 * 3.0 * carried / 1.5, "{sends:?}");
}

/// An endpoint that comes back after a restart ranks last, and would get nothing while the others are not crowded.
#[test]
fn idle_warming_endpoint_gets_warm_up_requests_that_can_wait() {
    let mut endpoints = pool(4);
    let mut proxy = Proxy::new(Settings { balancers: 1, ..slow_start_settings() }, &endpoints);
    // Three requests at a time, so that none of the warm ones is ever crowded. `left` is the time they can wait.
    let serve_rounds = |proxy: &mut Proxy, rounds: usize, left: Micros| {
        let mut to_cold = 0;
        for _ in 0..rounds {
            let open: Vec<_> = (0..3).map(|_| proxy.request_with(0, left)).collect();
            proxy.advance(50_000);
            for (id, actions) in open {
                for endpoint in sent_to(&actions) {
                    to_cold += usize::from(endpoint == EndpointId(0));
                    proxy.outcome(id, 0, endpoint, Outcome::Ok, 50_000);
                }
            }
        }
        to_cold
    };
    serve_rounds(&mut proxy, 200, 500_000);
    endpoints[0].up_since = Some(proxy.now);
    proxy.handle(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &endpoints });
    // A warming endpoint needs 250 ms at first, and requests that cannot wait for so long are not sent there.
    assert_eq!(serve_rounds(&mut proxy, 40, 100_000), 0);
    // Two seconds, with a warm-up request a second at most.
    let tried = serve_rounds(&mut proxy, 40, 500_000);
    assert!((1..=3).contains(&tried), "{tried} calls to the cold server");
}

#[test]
fn new_balancer_sends_next_to_nothing_to_warming_endpoints() {
    let endpoints: Vec<Endpoint> =
        (0..4).map(|id| Endpoint { up_since: Some(1_000_000), ..ready_endpoint(id, 0) }).collect();
    let mut proxy = Proxy::new(slow_start_settings(), &endpoints);
    let sends: usize = (0..100).map(|_| sent_to(&proxy.request(0).1).len()).sum();
    assert!(sends <= 4, "{sends} sends to four cold servers");
}

#[test]
fn balancers_do_not_each_save_up_a_whole_request_for_a_warming_endpoint() {
    // A warm endpoint carries two requests a second of each of 300 balancers; the warming one is idle for a while,
    // and then the warm one is gone and all send to it at once.
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
        let mut proxy = Proxy::seeded(settings, &endpoints[..1], u64::from(rank));
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
    // One endpoint carried 600 requests a second: it bears a burst of a quarter of a second of that.
    assert!(sends > 0 && sends <= 170, "{sends} calls at once to one cold server");
}
