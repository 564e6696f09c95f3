use std::time::Duration;

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);
/// The interval of observations.
const STEP: Duration = Duration::from_millis(20);

fn chunked(arrived: u64) -> Arrival {
    Arrival { read: arrived, ..Arrival::default() }
}

#[test]
fn a_client_that_is_sending_does_not_wait() {
    let start = Instant::now();
    let mut wait = ClientWait::new(start);
    for number in 1..1000 {
        let now = start + number * MILLISECOND;
        assert_eq!(wait.observe(now, TransferState::AwaitingClient, chunked(u64::from(number))), None);
    }
}

#[test]
fn the_wait_begins_no_later_than_the_last_byte_arrives() {
    let start = Instant::now();
    let mut wait = ClientWait::new(start);
    assert_eq!(wait.observe(start + STEP, TransferState::AwaitingClient, chunked(1)), None);
    // The last byte arrived at some time after the first observation.
    let arrived = wait.observe(start + 2 * STEP, TransferState::Arrived, chunked(2));
    assert_eq!(arrived, Some(start + STEP));
    // From then on it makes no difference what the endpoint takes.
    for number in 3..1000 {
        let now = start + number * STEP;
        assert_eq!(wait.observe(now, TransferState::Arrived, chunked(2)), arrived);
        assert_eq!(wait.observe(now, TransferState::AwaitingEndpoint, chunked(2)), arrived);
    }
}

/// Guards against late answers: the last byte may have been written long before it arrives.
#[test]
fn the_wait_does_not_begin_anew_with_each_part_that_the_endpoint_takes() {
    let start = Instant::now();
    for total in [None, Some(4 << 20)] {
        let mut wait = ClientWait::new(start);
        // The endpoint takes 90 kB a second.
        for number in 1..500 {
            let arrival = Arrival { total, ..chunked(u64::from(number) * 1800) };
            let since = wait.observe(start + number * STEP, TransferState::AwaitingEndpoint, arrival);
            assert_eq!(since, Some(start), "{total:?}, observation {number}");
        }
    }
}

/// Guards against giving up an upload whose client is certainly still sending.
#[test]
fn more_than_the_client_can_buffer_shows_that_it_was_sending() {
    let start = Instant::now();
    let mut wait = ClientWait::new(start);
    // The endpoint takes 10 MB a second: a full buffer of the client takes it 0.42 s.
    let longest_wait = Duration::from_millis(460);
    for number in 1..100 {
        let (now, arrived) = (start + number * STEP, u64::from(number) * 200_000);
        let state = TransferState::AwaitingEndpoint;
        let since = wait.observe(now, state, chunked(arrived)).expect("it may wait");
        assert!(now - since <= longest_wait, "{:?}", now - since);
    }
    assert!(wait.checkpoints.len() <= 66, "{} checkpoints", wait.checkpoints.len());
}

#[test]
fn the_wait_begins_when_this_process_last_had_read_everything() {
    let start = Instant::now();
    let mut wait = ClientWait::new(start);
    wait.on_caught_up(start + 7 * MILLISECOND);
    let since = wait.observe(start + STEP, TransferState::AwaitingEndpoint, chunked(9));
    assert_eq!(since, Some(start + 7 * MILLISECOND));
}
