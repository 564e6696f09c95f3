use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against cutting off a response whose endpoint still writes it after the deadline of its request.
#[test]
fn each_pause_past_the_deadline_has_its_own_limit() {
    let start = Instant::now();
    let limit = PauseLimit::past_deadline(start + SECOND);
    for waiting_since in [start + SECOND, start + 3 * SECOND, start + 300 * SECOND] {
        let expiry = limit.expiry(waiting_since, 100);
        assert_eq!(expiry.at, waiting_since + MAX_PAUSE_PAST_DEADLINE);
        assert_eq!(expiry.error, BodyError::PausedPastDeadline);
    }
}

#[test]
fn a_pause_before_the_deadline_is_not_shorter_than_the_deadline() {
    let start = Instant::now();
    let limit = PauseLimit::past_deadline(start + 5 * SECOND);
    assert_eq!(limit.expiry(start, 100).at, start + 5 * SECOND);
}

#[test]
fn no_pause_is_longer_than_the_stall_timeout() {
    let start = Instant::now();
    let stalled = PauseExpiry { at: start + STALL_TIMEOUT, error: BodyError::Stalled };
    let late = PauseLimit::past_deadline(start + 60 * SECOND);
    assert_eq!(late.expiry(start, 100), stalled);
    let past = PauseLimit::past_deadline(start);
    assert_eq!(past.expiry(start, MAX_BODY_WITHIN_DEADLINE_BYTES + 1), stalled);
    assert_eq!(PauseLimit::STALL_ONLY.expiry(start, 0), stalled);
}
