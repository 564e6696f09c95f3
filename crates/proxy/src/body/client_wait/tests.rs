use std::time::Duration;

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn a_client_that_is_sending_does_not_wait() {
    let start = Instant::now();
    let mut wait = ClientWait::new(start);
    for number in 1..1000 {
        assert_eq!(wait.observe(start + number * MILLISECOND, TransferState::AwaitingClient), None);
    }
}

#[test]
fn the_wait_begins_no_later_than_the_last_byte_arrives() {
    let start = Instant::now();
    let mut wait = ClientWait::new(start);
    assert_eq!(wait.observe(start + 20 * MILLISECOND, TransferState::AwaitingClient), None);
    // The last byte arrived at some time after the first observation.
    let arrived = wait.observe(start + 40 * MILLISECOND, TransferState::Arrived);
    assert_eq!(arrived, Some(start + 20 * MILLISECOND));
    // From then on it makes no difference what the endpoint takes.
    for number in 3..1000 {
        let now = start + number * 20 * MILLISECOND;
        assert_eq!(wait.observe(now, TransferState::Arrived), arrived);
        assert_eq!(wait.observe(now, TransferState::AwaitingEndpoint { since: now }), arrived);
    }
}

#[test]
fn the_wait_begins_anew_with_each_part_that_the_endpoint_takes() {
    let start = Instant::now();
    let mut wait = ClientWait::new(start);
    let state = |since| TransferState::AwaitingEndpoint { since };
    assert_eq!(wait.observe(start + 50 * MILLISECOND, state(start)), Some(start));
    let taken_at = start + 60 * MILLISECOND;
    assert_eq!(wait.observe(start + 70 * MILLISECOND, state(taken_at)), Some(taken_at));
    assert_eq!(wait.observe(start + 90 * MILLISECOND, TransferState::AwaitingClient), None);
}
