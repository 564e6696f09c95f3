//! Attempts: retries, outcomes and request bodies that arrive late, through the public interface.
mod common;

use common::{is_rejected, pool, sent_to, settings, Proxy};
use decide::{Action, Event, NewRequest, Outcome, RequestId, Settings};

/// Guards against requests that fail although endpoints are left: a retry after a failed connection costs no
/// endpoint anything, so it does not spend the budget.
#[test]
fn connect_failures_do_not_use_up_the_initial_retry_budget() {
    let endpoints = pool(6);
    let mut proxy = Proxy::new(settings(), &endpoints);
    // Nearly every endpoint is down at once, and few requests have added to the retry budget.
    for round in 0..6 {
        let (id, actions) = proxy.request(0);
        let endpoint = sent_to(&actions)[0];
        let next = proxy.outcome(id, 0, endpoint, Outcome::ConnectFailed, 1_000);
        assert_eq!(sent_to(&next).len(), 1, "request {round}");
        proxy.outcome(id, 1, sent_to(&next)[0], Outcome::Ok, 1_000);
    }
}

/// Clients that send large bodies slowly keep attempts open for long while no endpoint works on them. Guards
/// against such attempts taking capacity from other requests.
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
        assert_eq!(deadline, proxy.now + 30_400_000, "the time left starts when the body is received");
        body_pending.push((RequestId(id), endpoint));
    }
    assert!(!is_rejected(&begin(&mut proxy, 2000, 0)), "rejected because of pending bodies");
    for (id, _) in &body_pending[..50] {
        assert!(proxy.handle(Event::BodyReceived(*id)).is_empty());
        proxy.handle(Event::BodyReceived(*id));
    }
    assert!(is_rejected(&begin(&mut proxy, 2001, 0)), "fifty exceed any initial threshold of two endpoints");
    // Whatever its outcome, an attempt is subtracted from the count only if it was added.
    for (i, (id, endpoint)) in body_pending.into_iter().enumerate() {
        let outcome = if i % 2 == 0 { Outcome::Ok } else { Outcome::NotSent };
        proxy.outcome(id, 0, endpoint, outcome, 1000);
    }
    // The initial threshold is 10, and request 2000 is still in flight.
    let admitted = (3000..3100).filter(|id| !is_rejected(&begin(&mut proxy, *id, 0))).count();
    assert_eq!(admitted, 9);
}

/// Guards against duplicate outcomes that are subtracted from the attempts in flight at another endpoint.
#[test]
fn duplicate_outcome_counts_once() {
    let mut proxy = Proxy::new(Settings { max_attempts: 1, ..settings() }, &pool(2));
    let (id, actions) = proxy.request(0);
    let endpoint = sent_to(&actions)[0];
    proxy.handle(Event::ClientDisconnected(id));
    proxy.outcome(id, 0, endpoint, Outcome::Cancelled, 1_000);
    // One request is in flight again. Duplicate outcomes of the first must not make the second's endpoint
    // look idle.
    let (_, actions) = proxy.request(0);
    let busy = sent_to(&actions)[0];
    for _ in 0..5 {
        proxy.outcome(id, 0, busy, Outcome::Cancelled, 1_000);
    }
    let next = sent_to(&proxy.request(0).1)[0];
    assert_ne!(next, busy);
}
