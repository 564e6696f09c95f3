//! Runs thousands of shutdowns in simulated time and checks that each accepted request gets one complete
//! response, in time and before the kill, and that the process exits only after that.

mod shutdown_simulation;

use shutdown::{ConnectionAction, ConnectionState, Shutdown, ShutdownPolicy, StreamedResponse};
use shutdown_simulation::{run, World, MILLISECOND};

fn policy(
    longest_client_timeout: shutdown::Micros,
    clients_may_have_no_other_proxy: bool,
    shares_listener: bool,
) -> ShutdownPolicy {
    ShutdownPolicy {
        longest_client_timeout,
        has_kill_deadline: true,
        clients_may_have_no_other_proxy,
        shares_listener,
    }
}

/// Guards against requests that are accepted during a shutdown and lost, because they are open at the kill or
/// answered too late.
#[test]
fn every_accepted_request_has_a_response_in_time_and_before_the_kill() {
    let (mut accepted_requests, mut closed_unserved, mut new) = (0, 0, 0);
    for seed in 0..6000 {
        let client_timeout = [50, 100, 300, 1000, 1500, 3000, 8000][seed as usize % 7] * MILLISECOND;
        let (clients_may_have_no_other_proxy, shares_listener) =
            [(false, false), (true, false), (false, true)][seed as usize / 7 % 3];
        let hang_ratio = [0.0, 0.4, 1.0][seed as usize / 21 % 3];
        let max_lateness = [0, 5 * MILLISECOND, 25 * MILLISECOND][seed as usize / 63 % 3];
        let world = World {
            policy: policy(client_timeout, clients_may_have_no_other_proxy, shares_listener),
            hang_ratio,
            max_lateness,
        };
        let result = run(world, seed);
        assert!(result.lost.is_empty(), "seed {seed}, {world:?}: {:?}", result.lost);
        accepted_requests += result.accepted_requests;
        closed_unserved += result.closed_unserved;
        new += result.new_connections;
    }
    assert!(accepted_requests > 50_000, "{accepted_requests}");
    // The platform tolerates one in 200 new connections.
    assert!(
        closed_unserved * 200 < new,
        "{closed_unserved} of {new} new connections were closed without a response"
    );
}

/// Guards against requests that are open at the kill because a busy process detects deadlines late.
#[test]
fn late_process_reserves_more_time_for_its_last_responses() {
    let world = World {
        policy: policy(1000 * MILLISECOND, false, false),
        hang_ratio: 1.0,
        max_lateness: 150 * MILLISECOND,
    };
    for seed in 0..2000 {
        let result = run(world, seed);
        let lost_at_kill: Vec<_> = result.lost.iter().filter(|loss| loss.contains("kill")).collect();
        assert!(lost_at_kill.is_empty(), "seed {seed}: {lost_at_kill:?}");
    }
}

/// Guards against a connection that is closed over a request, and against idle connections or late requests
/// that delay the exit.
#[test]
fn connection_action_follows_from_its_state_and_the_time() {
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
    assert!(!shutdown.may_exit(accepts_until - 1, 0, 0), "the port stays open for new clients");
    // A late request gets the remaining time, but at least enough to be rejected.
    assert_eq!(shutdown.request_time(11_000 * MILLISECOND, 900 * MILLISECOND), 500 * MILLISECOND);
    assert_eq!(shutdown.request_time(11_000 * MILLISECOND, 20 * MILLISECOND), 20 * MILLISECOND);
    assert_eq!(shutdown.request_time(11_650 * MILLISECOND, 900 * MILLISECOND), 50 * MILLISECOND);
}

/// Guards against open requests that are dropped although no kill deadline exists, and against a process that
/// never exits because of one client.
#[test]
fn process_without_kill_deadline_waits_for_open_requests_up_to_a_bound() {
    let mut shutdown = Shutdown::new(ShutdownPolicy { has_kill_deadline: false, ..policy(0, false, false) });
    // Without a kill deadline, times follow from the observed timeouts of clients.
    shutdown.observe_client_timeout(60_000 * MILLISECOND);
    shutdown.begin(0);
    assert_eq!(shutdown.accept_time(), 2_500 * MILLISECOND);
    assert!(!shutdown.is_time_up(600_000 * MILLISECOND));
    let exits_at = (60_000 + 3_700 + 60_000) * MILLISECOND;
    assert_eq!(shutdown.exits_at(), Some(exits_at));
    assert!(!shutdown.may_exit(exits_at - 1, 1, 1) && shutdown.may_exit(exits_at - 1, 1, 0));
    assert!(shutdown.may_exit(exits_at, 1, 1), "one client must not keep the process");
}

/// The state of a response of unknown length to a request that came at `received_at`.
fn streamed_response(received_at: shutdown::Micros, silent_for: shutdown::Micros) -> StreamedResponse {
    StreamedResponse { received_at, endpoint_silent_for: silent_for, is_length_unknown: true }
}

/// Guards against cutting off what an endpoint still sends before the kill, and against responses that stop and are
/// open at the kill.
#[test]
fn only_responses_of_silent_endpoints_are_cut_off_before_the_kill() {
    let mut shutdown = Shutdown::new(policy(1000 * MILLISECOND, false, false));
    let (early, late) = (600 * MILLISECOND, 800 * MILLISECOND);
    let [silent, paused, flowing] = [1_000, 900, 20].map(|silence| silence * MILLISECOND);
    assert!(!shutdown.must_cut_off(0, &streamed_response(0, silent)), "before the shutdown");
    shutdown.begin(0);
    for now in [0, 1_400 * MILLISECOND] {
        assert!(!shutdown.must_cut_off(now, &streamed_response(late, silent)), "before responses are due");
    }
    let due_at = shutdown.responses_due_at().expect("begun");
    assert!(shutdown.must_cut_off(due_at, &streamed_response(early, silent)));
    assert!(!shutdown.must_cut_off(due_at, &streamed_response(early, paused)));
    assert!(shutdown.must_cut_off(due_at, &streamed_response(late, paused)), "it is lost at the kill");
    assert!(!shutdown.must_cut_off(due_at, &streamed_response(late, flowing)));
    let past_kill = 2_000 * MILLISECOND;
    assert!(shutdown.must_cut_off(past_kill, &streamed_response(early, flowing)));
    let known = StreamedResponse { is_length_unknown: false, ..streamed_response(early, flowing) };
    assert!(!shutdown.must_cut_off(past_kill, &known), "it ends by itself");
}

#[test]
fn without_a_kill_no_response_is_cut_off() {
    let without_kill =
        ShutdownPolicy { has_kill_deadline: false, ..policy(1000 * MILLISECOND, false, false) };
    let mut shutdown = Shutdown::new(without_kill);
    shutdown.begin(0);
    assert!(!shutdown.must_cut_off(60_000 * MILLISECOND, &streamed_response(0, 60_000 * MILLISECOND)));
}
