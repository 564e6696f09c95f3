//! Selection: ranking, gossip, outlier detection and filters, through the public interface.
mod common;

use common::{gossip_settings, is_rejected, pool, ready_endpoint, sent_to, settings, Proxy};
use decide::{
    Action, Endpoint, EndpointFilter, EndpointId, Event, Micros, NewRequest, Outcome, RequestId, Settings,
};

#[test]
fn request_without_endpoints_is_rejected() {
    let mut proxy = Proxy::new(settings(), &[]);
    assert!(is_rejected(&proxy.request(0).1));
}

/// Guards against a zone outage that costs a failed attempt for each endpoint of the zone.
#[test]
fn unreachable_zone_is_avoided_before_each_of_its_endpoints_has_failed() {
    let endpoints: Vec<Endpoint> = (0..48).map(|id| ready_endpoint(id, 1 + id as usize % 2)).collect();
    let mut proxy = Proxy::new(Settings { max_attempts: 9, ..settings() }, &endpoints);
    // Zone 1 is unreachable: no attempt connects. Zone 2 answers.
    let mut failed = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let (id, actions) = proxy.request(0);
        let mut to = sent_to(&actions);
        for attempt in 0..9 {
            let Some(&endpoint) = to.first() else { break };
            proxy.advance(10_000);
            if endpoint.0 % 2 == 1 {
                proxy.outcome(id, attempt, endpoint, Outcome::Ok, 10_000);
                break;
            }
            failed.insert(endpoint);
            to = sent_to(&proxy.outcome(id, attempt, endpoint, Outcome::ConnectFailed, 10_000));
        }
    }
    assert!(failed.len() <= 12, "attempts at {} of 24 endpoints of the unreachable zone", failed.len());
}

/// Guards against balancers that send to an endpoint which is idle for them but loaded by others.
#[test]
fn endpoint_loaded_by_peers_is_avoided() {
    let endpoints = pool(4);
    let mut proxy = Proxy::new(gossip_settings(), &endpoints);
    for _ in 0..40 {
        for loaded in 0..3u8 {
            proxy.handle(Event::GossipReceived { from: 1, payload: &[loaded, 0, 0, 0, 9, 0] });
        }
        let (id, actions) = proxy.request(0);
        let messages = actions.iter().filter(|a| matches!(a, Action::SendGossip { to: 1, .. })).count();
        assert_eq!((sent_to(&actions), messages), (vec![EndpointId(3)], 1));
        proxy.advance(1_000);
        proxy.outcome(id, 0, EndpointId(3), Outcome::Ok, 1_000);
    }
}

/// Guards against the last message of a silent peer that keeps its endpoints unused.
#[test]
fn peer_load_expires() {
    let endpoints = pool(4);
    let mut proxy = Proxy::new(gossip_settings(), &endpoints);
    for loaded in 0..3u8 {
        proxy.handle(Event::GossipReceived { from: 1, payload: &[loaded, 0, 0, 0, 9, 0] });
    }
    proxy.advance(60_000_000);
    let used: std::collections::BTreeSet<EndpointId> =
        (0..4).flat_map(|_| sent_to(&proxy.request(0).1)).collect();
    assert_eq!(used.len(), 4);
}

#[test]
fn malformed_gossip_and_gossip_of_unknown_peers_is_ignored() {
    let endpoints = pool(4);
    let (mut plain, mut disturbed) =
        (Proxy::new(gossip_settings(), &endpoints), Proxy::new(gossip_settings(), &endpoints));
    for _ in 0..30 {
        for payload in [&[][..], &[1], &[255; 256], &[9, 9, 9, 9, 9, 9], &[0, 0, 0, 0, 9]] {
            assert!(disturbed.handle(Event::GossipReceived { from: 1, payload }).is_empty());
        }
        disturbed.handle(Event::GossipReceived { from: 77, payload: &[0, 0, 0, 0, 200, 0] });
        disturbed.handle(Event::GossipReceived { from: 0, payload: &[1, 0, 0, 0, 200, 0] });
        assert_eq!(plain.request(0), disturbed.request(0));
    }
}

/// Guards against an endpoint that ranks first because it rejects: it answers at once and has none of the
/// attempts in flight.
#[test]
fn endpoint_that_rejects_is_ejected_for_a_while() {
    let endpoints = pool(4);
    let mut proxy = Proxy::new(gossip_settings(), &endpoints);
    for _ in 0..20 {
        let (id, actions) = proxy.request(0);
        proxy.advance(100_000);
        proxy.outcome(id, 0, sent_to(&actions)[0], Outcome::Ok, 100_000);
    }
    let (id, actions) = proxy.request(0);
    let rejecting = sent_to(&actions)[0];
    proxy.outcome(id, 0, rejecting, Outcome::Rejected, 500);
    // A peer reports that another endpoint has rejected a request.
    let other = EndpointId((rejecting.0 + 1) % 4);
    proxy.handle(Event::GossipReceived { from: 1, payload: &[other.0 as u8, 0, 0, 0, 0, 255] });
    let used: Vec<EndpointId> = (0..8).flat_map(|_| sent_to(&proxy.request(0).1)).collect();
    assert_eq!(used.len(), 8);
    assert!(!used.contains(&rejecting) && !used.contains(&other), "{used:?}");
    proxy.advance(100_000);
    assert!((0..8).any(|_| sent_to(&proxy.request(0).1).contains(&rejecting)), "still ejected");
}

/// The number of attempts at endpoint 0 of a pool of three, among the last 30 of 60 requests. Endpoint 0 ends
/// each attempt with the given outcome and duration; the others answer in 10 ms.
fn attempts_at_faulty_endpoint(outcome: Outcome, took: Micros) -> usize {
    let mut proxy = Proxy::new(Settings { max_attempts: 1, ..settings() }, &pool(3));
    let mut got = 0;
    for n in 0..60 {
        let (id, actions) = proxy.request(0);
        let Some(&endpoint) = sent_to(&actions).first() else { continue };
        got += usize::from(n >= 30 && endpoint == EndpointId(0));
        let is_faulty = endpoint == EndpointId(0);
        let (outcome, took) = if is_faulty { (outcome, took) } else { (Outcome::Ok, 10_000) };
        proxy.advance(took);
        proxy.outcome(id, 0, endpoint, outcome, took);
    }
    got
}

/// The number of eighty requests that are sent to one of two endpoints after a number of consecutive resets
/// by it.
fn requests_after_resets(resets: usize) -> usize {
    let mut proxy = Proxy::new(Settings { max_attempts: 1, ..settings() }, &pool(2));
    let mut left = resets;
    for _ in 0..2000 {
        let (id, actions) = proxy.request(0);
        let endpoint = sent_to(&actions)[0];
        proxy.advance(10_000);
        // The resets begin at 1.5 s, when the latencies of both endpoints are known.
        let is_faulty = endpoint == EndpointId(0) && left > 0 && proxy.now > 1_500_000;
        left -= usize::from(is_faulty);
        let outcome = if is_faulty { Outcome::Reset } else { Outcome::Ok };
        proxy.outcome(id, 0, endpoint, outcome, 10_000);
        if is_faulty && left == 0 {
            break;
        }
    }
    assert_eq!(left, 0);
    (0..80).filter(|_| sent_to(&proxy.request(0).1).first() == Some(&EndpointId(0))).count()
}

/// One reset may come from a sound endpoint, because a response that cannot be read counts as a reset.
#[test]
fn two_resets_eject_an_endpoint_and_one_does_not() {
    let (one, two) = (requests_after_resets(1), requests_after_resets(2));
    assert!(one > 5 * two, "{one} requests after one reset, {two} after two");
}

/// Guards against an endpoint that attracts requests because its errors are fast.
#[test]
fn endpoint_that_fails_fast_does_not_rank_first() {
    assert!(attempts_at_faulty_endpoint(Outcome::Ok, 10_000) >= 1);
    assert_eq!(attempts_at_faulty_endpoint(Outcome::Error, 500), 0);
}

/// Guards against a silent endpoint that keeps its rank because its attempts end as cancelled.
#[test]
fn cancelled_attempts_count_against_their_endpoint() {
    assert_eq!(attempts_at_faulty_endpoint(Outcome::Cancelled, 300_000), 0);
}

/// Errors of a deeper tier reach the requests of all endpoints alike, here one request in five. Guards
/// against ejecting endpoints for them.
#[test]
fn errors_of_a_deeper_tier_exclude_no_endpoint() {
    let mut proxy = Proxy::new(Settings { max_attempts: 1, ..settings() }, &pool(6));
    let mut got = [0; 6];
    let mut n = 0;
    for _ in 0..400 {
        let requests: Vec<_> = (0..18).map(|_| proxy.request(0)).collect();
        proxy.advance(50_000);
        for (id, actions) in requests {
            let Some(&endpoint) = sent_to(&actions).first() else { continue };
            got[endpoint.0 as usize] += 1;
            n += 1;
            let outcome = if n % 5 == 0 { Outcome::Error } else { Outcome::Ok };
            proxy.outcome(id, 0, endpoint, outcome, 50_000);
        }
    }
    let (least, most) = (got.iter().min().unwrap(), got.iter().max().unwrap());
    assert!(*least > 0 && most / least < 3, "{got:?}");
}

/// Guards against failures of one class that take an endpoint away from the others.
#[test]
fn endpoint_that_fails_one_class_still_serves_the_other() {
    let class = settings().classes[0].clone();
    let settings = Settings { classes: vec![class.clone(), class], max_attempts: 1, ..settings() };
    let mut proxy = Proxy::new(settings, &pool(3));
    let mut got = [0; 2];
    for round in 0..60 {
        let requests: Vec<_> = (0..12).map(|n| (n % 2, proxy.request(n % 2))).collect();
        proxy.advance(20_000);
        for (class, (id, actions)) in requests {
            let Some(&endpoint) = sent_to(&actions).first() else { continue };
            let is_faulty = endpoint == EndpointId(0);
            got[class] += usize::from(is_faulty && round >= 20);
            let outcome = if is_faulty && class == 1 { Outcome::Error } else { Outcome::Ok };
            proxy.outcome(id, 0, endpoint, outcome, 20_000);
        }
    }
    assert!(got[0] >= 40 && got[1] * 4 <= got[0], "{got:?}");
}

/// Covers a pool that is ranked as a whole and one that is sampled.
#[test]
fn endpoint_filter_holds_for_every_attempt() {
    for count in [4, 100] {
        let entries: Vec<_> = (0..count)
            .map(|id| Endpoint {
                machine_kind: id as usize % 2,
                cell: Some(id.into()),
                ..ready_endpoint(id, id as usize % 4)
            })
            .collect();
        let mut proxy = Proxy::new(settings(), &entries);
        let mut destinations = |filter: EndpointFilter, id: u64| {
            let endpoint_filter = Some(std::sync::Arc::new(filter));
            let id = RequestId(id);
            let request = NewRequest { id, time_left: 2_000_000, endpoint_filter, ..NewRequest::default() };
            let actions = proxy.handle(Event::Request(request));
            let chosen = sent_to(&actions).first().copied();
            if let Some(endpoint) = chosen {
                // The filter applies to a retry as well.
                let again = sent_to(&proxy.outcome(id, 0, endpoint, Outcome::ConnectFailed, 1_000));
                if let Some(&endpoint) = again.first() {
                    proxy.outcome(id, 1, endpoint, Outcome::Ok, 1_000);
                }
                proxy.advance(1_000_000);
                return again.into_iter().chain(chosen).map(|e| e.0).collect::<Vec<u32>>();
            }
            assert!(is_rejected(&actions));
            Vec::new()
        };
        for id in 0..40 {
            let zone = EndpointFilter { zones: vec![3], ..EndpointFilter::default() };
            let got = destinations(zone, 3 * id + 1);
            assert!(!got.is_empty() && got.iter().all(|e| e % 4 == 3), "{got:?}");
            let cell = EndpointFilter { cells: vec![2], ..EndpointFilter::default() };
            assert!(destinations(cell, 3 * id + 2).iter().all(|e| *e == 2));
            // Zone 1 has no machine of kind 0.
            let none = EndpointFilter { zones: vec![1], machine_kinds: vec![0], ..EndpointFilter::default() };
            assert!(destinations(none, 3 * id + 3).is_empty());
        }
    }
}
