//! Admission: thresholds, cursor, priority levels and reserved connections, through the public interface.
mod common;

use common::{gossip_settings, is_rejected, pool, ready_endpoint, sent_to, settings, Proxy};
use decide::{
    Action, Class, DownstreamConnections, EndpointId, Event, LoadReport, NewRequest, Outcome, RequestId,
    Settings, Tenant,
};

/// Guards against a start at full load without a threshold: it builds a backlog that outlives the start.
#[test]
fn initial_threshold_bounds_a_start_at_full_load() {
    let mut proxy =
        Proxy::new(settings(), &[ready_endpoint(0, 0), ready_endpoint(1, 0), ready_endpoint(2, 0)]);
    let answers: Vec<bool> = (0..500).map(|_| is_rejected(&proxy.request(0).1)).collect();
    let admitted = answers.iter().filter(|r| !**r).count();
    assert!((10..=60).contains(&admitted), "{admitted} admitted with 3 endpoints");
}

/// Guards against bursts that build a lasting backlog: endpoints that slow down under a backlog stay slow
/// when more than this is admitted.
#[test]
fn burst_is_admitted_up_to_half_of_the_concurrency_that_uses_up_the_objective() {
    let mut proxy = Proxy::new(settings(), &pool(2));
    for _ in 0..1500 {
        let (id, actions) = proxy.request(0);
        let endpoint = sent_to(&actions)[0];
        proxy.advance(5_000);
        proxy.outcome(id, 0, endpoint, Outcome::Ok, 5_000);
    }
    // At 200 requests per second and an objective of half a second, each of 100 requests in flight takes the
    // whole objective.
    let admitted = (0..200).filter(|_| !is_rejected(&proxy.request(0).1)).count();
    assert!((25..=50).contains(&admitted), "{admitted} admitted at once");
}

/// A small share of the pool gives a balancer too few requests to compare with its own threshold. Guards
/// against admission that ignores the requests of its gossip group.
#[test]
fn in_flight_of_peers_counts_against_the_sum_of_thresholds() {
    let endpoints = pool(4);
    let settings = Settings { balancers: 60, ..gossip_settings() };
    let mut proxy = Proxy::new(settings, &endpoints);
    assert!(!is_rejected(&proxy.request(0).1));
    // 40 requests exceed the initial threshold of four endpoints; one of them is in flight at this balancer.
    for peer in 1..40 {
        proxy.handle(Event::GossipReceived { from: peer, payload: &[peer as u8 % 4, 0, 0, 0, 1, 0] });
    }
    assert!(is_rejected(&proxy.request(0).1));
}

/// Guards against an overload that a balancer with few requests of its own does not detect.
#[test]
fn load_signals_of_peers_move_the_cursor() {
    let endpoints = pool(4);
    let mut proxy = Proxy::new(gossip_settings(), &endpoints);
    let early: Vec<bool> = (0..4).map(|_| is_rejected(&proxy.request(0).1)).collect();
    assert_eq!(early, [false; 4]);
    // In every control period a peer reports a request that took twice its objective; this balancer has no
    // samples of its own.
    for _ in 0..40 {
        proxy.handle(Event::GossipReceived { from: 1, payload: &[0, 0, 0, 0, 3, 128] });
        proxy.advance(125_000);
    }
    // Four in flight reach the last threshold of the table, which is far below the first.
    assert!(is_rejected(&proxy.request(0).1));
}

/// Guards against a balancer that sheds for good: rejected requests give no samples that would move the
/// cursor back.
#[test]
fn cursor_that_sheds_steps_left_without_samples() {
    let endpoints = pool(4);
    let mut proxy = Proxy::new(gossip_settings(), &endpoints);
    (0..4).for_each(|_| drop(proxy.request(0)));
    for _ in 0..40 {
        proxy.handle(Event::GossipReceived { from: 1, payload: &[0, 0, 0, 0, 3, 128] });
        proxy.advance(125_000);
    }
    assert!(is_rejected(&proxy.request(0).1));
    proxy.advance(10_000_000);
    assert!(!is_rejected(&proxy.request(0).1));
}

/// Guards against a sudden peak that is shed from all priority levels alike.
#[test]
fn low_priority_is_shed_before_high() {
    let class = |priority_weight| Class { priority_weight, ..settings().classes[0].clone() };
    let settings = Settings { classes: vec![class(1.0), class(3.0)], ..settings() };
    let mut proxy = Proxy::new(settings, &[ready_endpoint(0, 0), ready_endpoint(1, 0)]);
    let mut admitted = [0, 0];
    for n in 0..200 {
        admitted[n % 2] += usize::from(!is_rejected(&proxy.request(n % 2).1));
    }
    assert!(admitted[0] > 0 && admitted[1] > admitted[0], "{admitted:?}");
}

/// Guards against retries and tenants over their quota that displace first attempts and tenants within
/// theirs.
#[test]
fn retries_and_requests_over_a_tenants_quota_have_the_lowest_priority() {
    let class = |priority_weight| Class { priority_weight, ..settings().classes[0].clone() };
    let tenants = vec![Tenant { quota_per_s: 10.0 }; 2];
    let settings = Settings { classes: vec![class(1.0), class(3.0)], tenants, ..settings() };
    let mut proxy = Proxy::new(settings, &pool(2));
    let mut next = 1000;
    let mut send = |proxy: &mut Proxy, tenant, is_retry| {
        next += 1;
        let id = RequestId(next);
        let new =
            NewRequest { id, class: 1, tenant, is_retry, time_left: 2_000_000, ..NewRequest::default() };
        (id, proxy.handle(Event::Request(new)))
    };
    // Thirty requests at once exceed the first tenant's quota of twenty in two seconds and the few that are
    // tolerated above it.
    for _ in 0..30 {
        let (id, actions) = send(&mut proxy, Some(0), false);
        sent_to(&actions).into_iter().for_each(|b| drop(proxy.outcome(id, 0, b, Outcome::Ok, 1000)));
    }
    // The initial threshold is 20, of which the lowest priority level gets 16.
    let admitted = (0..16).filter(|_| !is_rejected(&send(&mut proxy, None, false).1)).count();
    assert_eq!(admitted, 16);
    assert!(is_rejected(&send(&mut proxy, None, true).1), "admitted a retry");
    assert!(is_rejected(&send(&mut proxy, Some(0), false).1), "admitted a request over the quota");
    assert!(!is_rejected(&send(&mut proxy, Some(1), false).1), "rejected a request within the quota");
}

/// Guards against clients that find no idle connection while the only balancer shuts down: they take the
/// balancer for dead and close all their connections. Of two balancers the other may be restarting as well;
/// of three that are restarted in turn, one is up.
#[test]
fn last_connections_are_reserved_during_shutdown_and_longest_for_high_priority() {
    let class = |priority_weight| Class { priority_weight, ..settings().classes[0].clone() };
    let two = Settings { classes: vec![class(1.0), class(3.0)], send_retry_after: true, ..settings() };
    let two = Settings { max_retry_after: 90_000, ..two };
    let answer = |settings: &Settings, class, connections| {
        let mut proxy = Proxy::new(settings.clone(), &pool(4));
        let request = NewRequest {
            id: RequestId(1),
            class,
            time_left: 2_000_000,
            downstream_connections: connections,
            ..NewRequest::default()
        };
        proxy.handle(Event::Request(request))
    };
    let min_idle = |settings: &Settings, class, open| {
        let with_idle = |idle| Some(DownstreamConnections { idle, open });
        (0..open)
            .find(|&idle| !is_rejected(&answer(settings, class, with_idle(idle))))
            .expect("some number of idle connections is enough")
    };
    assert_eq!([min_idle(&two, 0, 40), min_idle(&two, 1, 40)], [4, 3]);
    // With few connections open, most of them serve requests.
    assert_eq!([min_idle(&two, 0, 8), min_idle(&two, 1, 3)], [2, 0]);
    let none_free = Some(DownstreamConnections { idle: 0, open: 40 });
    let advice = Action::Reject { request: RequestId(1), retry_after: 90_000 };
    assert_eq!(answer(&two, 1, none_free), [advice]);
    // None is reserved when clients can use one of three balancers or can open more connections.
    assert!(is_rejected(&answer(&Settings { balancers: 2, ..two.clone() }, 1, none_free)));
    assert!(!is_rejected(&answer(&Settings { balancers: 3, ..two.clone() }, 1, none_free)));
    assert!(!is_rejected(&answer(&two, 1, None)));
}

#[test]
fn cursor_moves_one_slot_per_control_period_in_both_directions() {
    let endpoints = pool(4);
    let mut proxy = Proxy::new(gossip_settings(), &endpoints);
    // The initial threshold is 20. From the tenth slot on, the threshold of the only class is lower: 17 at
    // that slot.
    let early: Vec<bool> = (0..18).map(|_| is_rejected(&proxy.request(0).1)).collect();
    assert_eq!(early, [false; 18]);
    let period = |proxy: &mut Proxy, signal| {
        proxy.handle(Event::GossipReceived { from: 1, payload: &[0, 0, 0, 0, 3, signal] });
        proxy.advance(125_000);
    };
    (0..8).for_each(|_| period(&mut proxy, 128));
    assert!(!is_rejected(&proxy.request(0).1), "rejected after eight steps right");
    period(&mut proxy, 128);
    assert!(is_rejected(&proxy.request(0).1), "admitted after the ninth step right");
    period(&mut proxy, 1);
    assert!(!is_rejected(&proxy.request(0).1), "rejected after one step back");
}

/// Guards against floors that add up: those of many small balancers together exceed the capacity of the pool.
#[test]
fn threshold_floors_do_not_hold_while_shedding() {
    let mut proxy = Proxy::new(Settings { balancers: 10, ..settings() }, &pool(4));
    // The initial threshold is 4, and the floor above it applies while the cursor is in the full slots.
    let mut requests: Vec<_> = (0..20).map(|_| proxy.request(0)).collect();
    requests.retain(|(_, actions)| !is_rejected(actions));
    assert!((6..8).contains(&requests.len()), "{} admitted at first", requests.len());
    proxy.advance(1_000_000);
    // One request ends per control period, each after over twice its objective: the cursor leaves the full
    // slots.
    for (id, actions) in requests {
        proxy.outcome(id, 0, sent_to(&actions)[0], Outcome::Timeout, 1_000_000);
        proxy.advance(125_000);
    }
    let admitted = (0..8).filter(|_| !is_rejected(&proxy.request(0).1)).count();
    assert!(admitted <= 4, "{admitted} admitted by one of 10 balancers with 4 slow endpoints");
}

/// Guards against work on requests that have too little time left for an answer.
#[test]
fn request_that_cannot_meet_its_deadline_is_shed() {
    let mut proxy = Proxy::new(settings(), &pool(2));
    for _ in 0..20 {
        let (id, actions) = proxy.request(0);
        proxy.advance(100_000);
        proxy.outcome(id, 0, sent_to(&actions)[0], Outcome::Ok, 100_000);
    }
    let mut send = |id, time_left| {
        let request = NewRequest { id: RequestId(id), time_left, ..NewRequest::default() };
        is_rejected(&proxy.handle(Event::Request(request)))
    };
    assert!(send(1001, 20_000) && !send(1002, 150_000));
}

/// Guards against an overload that goes undetected because clients disconnect before the late answers arrive.
#[test]
fn client_disconnects_move_the_cursor_like_late_answers() {
    let low = Class { priority_weight: 1.0, ..settings().classes[0].clone() };
    let high = Class { priority_weight: 9.0, ..low.clone() };
    let mut proxy = Proxy::new(Settings { classes: vec![low, high], ..settings() }, &pool(4));
    // Each client disconnects after a tenth of the objective, so that there is no late answer to measure.
    let mut low_rejected = 0;
    for _ in 0..30 {
        let ids: Vec<RequestId> = (0..4).map(|_| proxy.request(1).0).collect();
        proxy.advance(50_000);
        ids.into_iter().for_each(|id| drop(proxy.handle(Event::ClientDisconnected(id))));
        proxy.advance(75_000);
        low_rejected += usize::from(is_rejected(&proxy.request(0).1));
    }
    assert!(low_rejected >= 10, "{low_rejected} of 30 requests of low priority rejected");
}

/// Guards against a small balancer that detects an overload only when its few late answers arrive.
#[test]
fn overdue_attempts_move_the_cursor() {
    // The initial threshold is 4, with a floor above it while the cursor is in the full slots. No request has
    // been answered yet.
    let class = Class { late_answer_value: 0.5, ..settings().classes[0].clone() };
    let mut proxy = Proxy::new(Settings { balancers: 10, classes: vec![class], ..settings() }, &pool(4));
    let admitted = (0..4).filter(|_| !is_rejected(&proxy.request(0).1)).count();
    assert_eq!(admitted, 4);
    proxy.advance(500_000);
    assert!(!is_rejected(&proxy.request(0).1), "rejected before any attempt is overdue");
    proxy.advance(1_000_000);
    assert!(is_rejected(&proxy.request(0).1), "admitted while all attempts are overdue");
}

/// Load reports arrive late and cover the requests of other balancers too. A balancer that follows them with
/// little of its own in flight sheds requests that would be served; with much in flight, a report is the only
/// sign of a backlog.
#[test]
fn reported_utilisation_does_not_move_the_cursor_while_little_is_in_flight() {
    let shed = |admitted: usize| {
        // The initial threshold is 40, and there is one class: its threshold is lower from the tenth slot on.
        let mut proxy = Proxy::new(settings(), &pool(4));
        (0..admitted).for_each(|_| drop(proxy.request(0)));
        for _ in 0..20 {
            let report = Some(LoadReport { utilisation: Some(0.99), ..LoadReport::default() });
            let health_check =
                Event::HealthChecked { endpoint: EndpointId(0), outcome: Outcome::Ok, took: 1000, report };
            proxy.handle(health_check);
            proxy.advance(125_000);
        }
        is_rejected(&proxy.request(0).1)
    };
    assert_eq!([shed(12), shed(17)], [false, false], "shed with under nine twentieths of T1 in flight");
    assert!(shed(24), "reports ignored with much in flight");
}
