//! Attempts: retries, outcomes and bodies that arrive late, through the public interface.
mod common;

use common::{is_rejected, pool, sent_to, settings, Proxy};
use decide::{Action, Event, NewRequest, Outcome, RequestId, Settings};

#[test]
fn connect_failures_do_not_use_up_the_initial_retry_budget() {
    let endpoints = pool(6);
    let mut proxy = Proxy::new(settings(), &endpoints);
    // Nearly every endpoint is down at once, and few requests came to earn a retry budget.
    for round in 0..6 {
        let (id, actions) = proxy.request(0);
        let endpoint = sent_to(&actions)[0];
        let next = proxy.outcome(id, 0, endpoint, Outcome::ConnectFailed, 1_000);
        assert_eq!(sent_to(&next).len(), 1, "call {round}");
        proxy.outcome(id, 1, sent_to(&next)[0], Outcome::Ok, 1_000);
    }
}

/// Callers that send large bodies slowly keep attempts open for long, on which no endpoint works yet.
#[test]
fn request_counts_as_in_flight_once_its_body_is_received() {
    let mut proxy = Proxy::new(settings(), &pool(2));
    let begin = |proxy: &mut Proxy, id, body_pending| {
        let request =
            NewRequest { id: RequestId(id), body_pending, time_left: 400_000, ..NewRequest::default() };
        proxy.handle(Event::Request(request))
    };
    let mut body_pending = Vec::new();
    for id in 1000..1100 {
        let actions = begin(&mut proxy, id, 30_000_000);
        let [Action::Send { endpoint, deadline, .. }] = actions[..] else { panic!("{actions:?}") };
        assert_eq!(deadline, proxy.now + 30_400_000, "its time counts from when it has come");
        body_pending.push((RequestId(id), endpoint));
    }
    assert!(!is_rejected(&begin(&mut proxy, 2000, 0)), "nobody has more to do for them");
    for (id, _) in &body_pending[..50] {
        assert!(proxy.handle(Event::BodyReceived(*id)).is_empty());
        proxy.handle(Event::BodyReceived(*id));
    }
    assert!(is_rejected(&begin(&mut proxy, 2001, 0)), "fifty are over any first threshold of two servers");
    // However they end, each is counted out as it was counted in.
    for (i, (id, endpoint)) in body_pending.into_iter().enumerate() {
        let outcome = if i % 2 == 0 { Outcome::Ok } else { Outcome::NotSent };
        proxy.outcome(id, 0, endpoint, outcome, 1000);
    }
    // The initial threshold is 10, and the request in between is still in flight.
    let admitted = (3000..3100).filter(|id| !is_rejected(&begin(&mut proxy, *id, 0))).count();
    assert_eq!(admitted, 9);
}

#[test]
fn duplicate_outcome_counts_once() {
    let mut proxy = Proxy::new(Settings { max_attempts: 1, ..settings() }, &pool(2));
    let (id, actions) = proxy.request(0);
    let endpoint = sent_to(&actions)[0];
    proxy.handle(Event::ClientDisconnected(id));
    proxy.outcome(id, 0, endpoint, Outcome::Cancelled, 1_000);
    // One request is in flight again; a duplicate of the other's end must not make its endpoint look idle.
    let (_, actions) = proxy.request(0);
    let busy = sent_to(&actions)[0];
    for _ in 0..5 {
        proxy.outcome(id, 0, busy, Outcome::Cancelled, 1_000);
    }
    let next = sent_to(&proxy.request(0).1)[0];
    assert_ne!(next, busy);
}
