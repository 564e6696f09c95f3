//! Thousands of shutdowns in simulated time: clients that reconnect at once, send in parts, are silent or new; endpoints that hang
//! or respond; a kill at the earliest moment that the platform allows. The test checks that each accepted request has one complete
//! response in time and before the kill, and that the process exits by itself only once that is so.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use shutdown::{ConnectionAction, ConnectionState, Micros, Shutdown, ShutdownPolicy};

const MILLISECOND: Micros = 1_000;
/// A request is lost whose response is later than this after its deadline.
const SLACK: Micros = 50 * MILLISECOND;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client connects.
    ClientConnects,
    /// Its connection is accepted.
    Accepted,
    /// A part of a request is received on a connection; `bool`: the last part.
    RequestReceived(usize, bool),
    /// The response of an endpoint to a request.
    EndpointResponds(usize, usize),
    /// The time of a request is up.
    RequestTimeout(usize, usize),
    Check,
    ShutdownBegins,
    Killed,
}

struct OpenConnection {
    last_used_at: Micros,
    has_had_request: bool,
    has_partial_request: bool,
    /// The request on it, and by when its response is due.
    open_request: Option<(usize, Micros)>,
    closing: bool,
}

#[derive(Clone, Copy, Debug)]
struct World {
    policy: ShutdownPolicy,
    /// The fraction of requests that hang.
    hang_ratio: f64,
    /// How long the process may be busy with something else when an event is due.
    max_lateness: Micros,
}

#[derive(Default, Debug)]
struct Outcome {
    accepted_requests: usize,
    lost: Vec<String>,
    /// New connections closed without a response, and all new ones.
    closed_unserved: (usize, usize),
    exited_at: Option<Micros>,
    served_late: usize,
}

fn run(world: World, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut shutdown = Shutdown::new(world.policy);
    let mut queue = BinaryHeap::new();
    let mut result = Outcome::default();
    let mut open: HashMap<usize, OpenConnection> = HashMap::new();
    let (mut connections, mut requests) = (0, 0);
    let began_at = rng.i64(0..1500 * MILLISECOND);
    let killed_at =
        began_at + world.policy.longest_client_timeout.min(3000 * MILLISECOND) + 700 * MILLISECOND;
    queue.push(Reverse((began_at, Event::ShutdownBegins)));
    queue.push(Reverse((killed_at, Event::Killed)));
    for _ in 0..12 {
        queue.push(Reverse((rng.i64(0..killed_at), Event::ClientConnects)));
    }
    queue.push(Reverse((0, Event::Check)));
    while let Some(Reverse((due, event))) = queue.pop() {
        // Nothing delays the kill.
        let now = if event == Event::Killed { due } else { due + rng.i64(0..=world.max_lateness) };
        if event != Event::Killed && now >= killed_at {
            continue;
        }
        if world.max_lateness > 0 && event == Event::Check {
            shutdown.observe_lateness(now - due);
        }
        match event {
            Event::ClientConnects => {
                // The load balancer in front notices the shutdown after 0.4 s at the latest.
                if due > began_at + 400 * MILLISECOND || !shutdown.accepts_connections(now) {
                    continue;
                }
                if due == now && rng.f64() < 0.3 {
                    // It stays in the backlog until the listener is closed.
                    queue.push(Reverse((began_at + shutdown.accept_time(), Event::Accepted)));
                    continue;
                }
                queue.push(Reverse((now, Event::Accepted)));
            }
            Event::Accepted => {
                connections += 1;
                let id = connections;
                open.insert(
                    id,
                    OpenConnection {
                        last_used_at: now,
                        has_had_request: false,
                        has_partial_request: false,
                        open_request: None,
                        closing: false,
                    },
                );
                result.closed_unserved.1 += 1;
                // One in ten is silent.
                if rng.f64() < 0.9 {
                    schedule_request(&mut rng, &mut queue, now, id, 5 * MILLISECOND);
                }
            }
            Event::RequestReceived(id, last) => {
                let Some(connection) = open.get_mut(&id) else { continue };
                connection.has_partial_request = true;
                if !last {
                    continue;
                }
                requests += 1;
                (result.accepted_requests, connection.has_had_request) = (result.accepted_requests + 1, true);
                let client_timeout =
                    rng.i64(world.policy.longest_client_timeout / 3..=world.policy.longest_client_timeout);
                // Some announce more than the settings allow.
                let announced_timeout = if rng.f64() < 0.05 { client_timeout * 20 } else { client_timeout };
                shutdown.observe_client_timeout(announced_timeout);
                let request_time = shutdown.request_time(now, announced_timeout);
                if shutdown.is_time_up(now) {
                    // Rejected at once: it cannot be answered in time.
                    (connection.has_partial_request, connection.last_used_at) = (false, now);
                    continue;
                }
                connection.open_request = Some((requests, due + announced_timeout));
                queue.push(Reverse((
                    now + request_time - 8 * MILLISECOND,
                    Event::RequestTimeout(id, requests),
                )));
                if rng.f64() >= world.hang_ratio {
                    let response_time = rng.i64(1..world.policy.longest_client_timeout);
                    queue.push(Reverse((now + response_time, Event::EndpointResponds(id, requests))));
                }
            }
            Event::EndpointResponds(id, request) | Event::RequestTimeout(id, request) => {
                respond(&mut rng, &mut queue, &mut open, &mut result, (id, request), now);
            }
            Event::ShutdownBegins => {
                shutdown.begin(now);
                queue.push(Reverse((now, Event::Check)));
            }
            Event::Check => {
                if shutdown.is_time_up(now) {
                    let unanswered: Vec<_> = open
                        .iter()
                        .filter_map(|(id, connection)| Some((*id, connection.open_request?.0)))
                        .collect();
                    for ended in unanswered {
                        respond(&mut rng, &mut queue, &mut open, &mut result, ended, now);
                    }
                }
                let with_open_request =
                    open.values().filter(|connection| connection.open_request.is_some()).count();
                if shutdown.may_exit(now, open.len(), with_open_request) {
                    assert!(
                        open.values().all(|connection| connection.open_request.is_none()),
                        "exited with an open request"
                    );
                    result.exited_at = Some(now - began_at);
                    return result;
                }
                open.retain(|_, connection| {
                    let state = ConnectionState {
                        has_open_request: connection.open_request.is_some(),
                        has_had_request: connection.has_had_request,
                        has_partial_request: connection.has_partial_request
                            && connection.open_request.is_none(),
                        last_used_at: connection.last_used_at,
                    };
                    match shutdown.connection_action(now, &state) {
                        ConnectionAction::Keep => true,
                        ConnectionAction::CloseAfterResponse => {
                            connection.closing = true;
                            true
                        }
                        ConnectionAction::Close => {
                            assert!(connection.open_request.is_none(), "closed over a request");
                            result.closed_unserved.0 +=
                                usize::from(!connection.has_had_request && connection.has_partial_request);
                            false
                        }
                    }
                });
                queue.push(Reverse((
                    now + if shutdown.has_begun() { 20 } else { 100 } * MILLISECOND,
                    Event::Check,
                )));
            }
            Event::Killed => {
                for connection in open.values() {
                    if let Some((request, _)) = connection.open_request {
                        result.lost.push(format!("{request} open at the kill"));
                    }
                }
                return result;
            }
        }
    }
    result
}

/// The next request of a client, in one part or two.
fn schedule_request(
    rng: &mut fastrand::Rng,
    queue: &mut BinaryHeap<Reverse<(Micros, Event)>>,
    now: Micros,
    id: usize,
    within: Micros,
) {
    let first = now + rng.i64(0..=within);
    queue.push(Reverse((first, Event::RequestReceived(id, false))));
    let rest = if rng.f64() < 0.2 { rng.i64(0..400 * MILLISECOND) } else { 0 };
    queue.push(Reverse((first + rest, Event::RequestReceived(id, true))));
}

fn respond(
    rng: &mut fastrand::Rng,
    queue: &mut BinaryHeap<Reverse<(Micros, Event)>>,
    open: &mut HashMap<usize, OpenConnection>,
    result: &mut Outcome,
    (id, request): (usize, usize),
    now: Micros,
) {
    let Some(connection) = open.get_mut(&id) else { return };
    let Some((_, due)) = connection.open_request.filter(|(open_id, _)| *open_id == request) else { return };
    if now > due + SLACK {
        result.lost.push(format!("{request} late by {} ms", (now - due) / MILLISECOND));
    }
    result.served_late += usize::from(now > due);
    (connection.open_request, connection.has_partial_request, connection.last_used_at) = (None, false, now);
    if connection.closing {
        open.remove(&id);
    } else {
        // Many send another request at once.
        let within = if rng.bool() { MILLISECOND } else { 700 * MILLISECOND };
        schedule_request(rng, queue, now, id, within);
    }
}

fn policy(longest_client_timeout: Micros, is_only_proxy: bool, shares_listener: bool) -> ShutdownPolicy {
    ShutdownPolicy { longest_client_timeout, is_killed: true, is_only_proxy, shares_listener }
}

#[test]
fn every_accepted_request_has_a_response_in_time_and_before_the_kill() {
    let (mut accepted_requests, mut closed_unserved, mut new) = (0, 0, 0);
    for seed in 0..6000 {
        let client_timeout = [50, 100, 300, 1000, 1500, 3000, 8000][seed as usize % 7] * MILLISECOND;
        let (is_only_proxy, shares_listener) =
            [(false, false), (true, false), (false, true)][seed as usize / 7 % 3];
        let hang_ratio = [0.0, 0.4, 1.0][seed as usize / 21 % 3];
        let max_lateness = [0, 5 * MILLISECOND, 25 * MILLISECOND][seed as usize / 63 % 3];
        let world = World {
            policy: policy(client_timeout, is_only_proxy, shares_listener),
            hang_ratio,
            max_lateness,
        };
        let result = run(world, seed);
        assert!(result.lost.is_empty(), "seed {seed}, {world:?}: {:?}", result.lost);
        (accepted_requests, closed_unserved, new) = (
            accepted_requests + result.accepted_requests,
            closed_unserved + result.closed_unserved.0,
            new + result.closed_unserved.1,
        );
    }
    assert!(accepted_requests > 50_000, "{accepted_requests}");
    // The platform tolerates one in 200.
    assert!(
        closed_unserved * 200 < new,
        "{closed_unserved} of {new} new connections were closed without a response"
    );
}

#[test]
fn a_late_process_reserves_more_time_for_its_last_responses() {
    let world = World {
        policy: policy(1000 * MILLISECOND, false, false),
        hang_ratio: 1.0,
        max_lateness: 150 * MILLISECOND,
    };
    for seed in 0..2000 {
        let result = run(world, seed);
        let max_lateness: Vec<_> = result.lost.iter().filter(|loss| loss.contains("kill")).collect();
        assert!(max_lateness.is_empty(), "seed {seed}: {max_lateness:?}");
    }
}

#[test]
fn connections_are_closed_by_their_state_and_the_time() {
    let mut shutdown = Shutdown::new(policy(1000 * MILLISECOND, false, false));
    let idle = ConnectionState {
        has_open_request: false,
        has_had_request: true,
        has_partial_request: false,
        last_used_at: 0,
    };
    let busy = ConnectionState { has_open_request: true, ..idle };
    let partial = ConnectionState { has_partial_request: true, ..idle };
    assert_eq!(shutdown.connection_action(MILLISECOND, &idle), ConnectionAction::Keep);
    shutdown.begin(10_000 * MILLISECOND);
    let accepts_until = shutdown.accepts_until().expect("it has begun");
    assert_eq!(accepts_until, 10_500 * MILLISECOND);
    let responses_due = shutdown.responses_due_at().expect("it has begun");
    assert_eq!(responses_due, 11_500 * MILLISECOND);
    assert!([idle, busy, partial].iter().all(|connection| shutdown
        .connection_action(accepts_until - 1, connection)
        == ConnectionAction::Keep));
    let new =
        ConnectionState { has_had_request: false, last_used_at: accepts_until - 100 * MILLISECOND, ..idle };
    assert_eq!(shutdown.connection_action(accepts_until, &idle), ConnectionAction::Close);
    assert_eq!(shutdown.connection_action(accepts_until, &busy), ConnectionAction::CloseAfterResponse);
    assert_eq!(shutdown.connection_action(accepts_until, &partial), ConnectionAction::CloseAfterResponse);
    assert_eq!(shutdown.connection_action(accepts_until, &new), ConnectionAction::CloseAfterResponse);
    assert_eq!(shutdown.connection_action(accepts_until + 200 * MILLISECOND, &new), ConnectionAction::Close);
    assert_eq!(shutdown.connection_action(responses_due, &partial), ConnectionAction::Close);
    assert_eq!(shutdown.connection_action(responses_due, &busy), ConnectionAction::CloseAfterResponse);
    assert!(
        !shutdown.may_exit(responses_due, 1, 1)
            && shutdown.may_exit(responses_due, 1, 0)
            && shutdown.may_exit(accepts_until, 0, 0)
    );
    assert!(!shutdown.may_exit(accepts_until - 1, 0, 0), "clients that connect find an open port");
    // A late request has the remaining time, and enough to be rejected.
    assert_eq!(shutdown.request_time(11_000 * MILLISECOND, 900 * MILLISECOND), 500 * MILLISECOND);
    assert_eq!(shutdown.request_time(11_000 * MILLISECOND, 20 * MILLISECOND), 20 * MILLISECOND);
    assert_eq!(shutdown.request_time(11_650 * MILLISECOND, 900 * MILLISECOND), 50 * MILLISECOND);
}

#[test]
fn a_process_that_is_not_killed_waits_for_its_open_requests() {
    let mut shutdown = Shutdown::new(ShutdownPolicy { is_killed: false, ..policy(0, false, false) });
    // The timeouts of clients are all that is known.
    shutdown.observe_client_timeout(60_000 * MILLISECOND);
    shutdown.begin(0);
    assert_eq!(shutdown.accept_time(), 2_500 * MILLISECOND);
    assert!(!shutdown.is_time_up(600_000 * MILLISECOND));
    assert!(
        !shutdown.may_exit(600_000 * MILLISECOND, 1, 1) && shutdown.may_exit(600_000 * MILLISECOND, 1, 0)
    );
}
