use super::*;

const SHORT: Duration = Duration::from_millis(1);
/// An endpoint that takes longer for a request than connections rest.
const SOUND: ReuseConditions = ReuseConditions {
    has_stray_responses: false,
    may_open: true,
    waiting_requests: 0,
    use_time: Duration::from_millis(100),
};
const STRAY: ReuseConditions = ReuseConditions { has_stray_responses: true, ..SOUND };
/// An endpoint that takes a short time for a request.
const FAST: ReuseConditions = ReuseConditions { use_time: SHORT, ..SOUND };

fn chosen(idle_times: &[Duration], conditions: ReuseConditions) -> ConnectionChoice {
    choose(idle_times.iter().copied(), conditions)
}

#[test]
fn the_last_used_of_the_rested_connections_is_reused() {
    assert_eq!(chosen(&[], SOUND), ConnectionChoice::Open);
    let idle_times = [3 * REST_TIME, 2 * REST_TIME, REST_TIME, SHORT];
    assert_eq!(chosen(&idle_times, SOUND), ConnectionChoice::Reuse(2));
    assert_eq!(chosen(&idle_times, FAST), ConnectionChoice::Reuse(2));
    let idle_times = [REST_TIME_AFTER_STRAY_RESPONSE, 2 * REST_TIME];
    assert_eq!(chosen(&idle_times, STRAY), ConnectionChoice::Reuse(0));
}

#[test]
fn a_request_waits_for_a_resting_connection_that_no_other_request_waits_for() {
    let idle_times = [3 * SHORT, 2 * SHORT];
    let after = |waiting_requests| chosen(&idle_times, ReuseConditions { waiting_requests, ..SOUND });
    assert_eq!(after(0), ConnectionChoice::WaitFor(REST_TIME - 3 * SHORT));
    assert_eq!(after(1), ConnectionChoice::WaitFor(REST_TIME - 2 * SHORT));
    assert_eq!(after(2), ConnectionChoice::Open);
}

#[test]
fn a_request_waits_no_longer_than_its_connection_is_usually_used() {
    assert_eq!(chosen(&[REST_TIME - SHORT], FAST), ConnectionChoice::WaitFor(SHORT));
    assert_eq!(chosen(&[REST_TIME - 2 * SHORT], FAST), ConnectionChoice::Open);
    assert_eq!(chosen(&[REST_TIME], STRAY), ConnectionChoice::Open);
    let almost_rested = REST_TIME_AFTER_STRAY_RESPONSE - REST_TIME;
    assert_eq!(chosen(&[almost_rested], STRAY), ConnectionChoice::WaitFor(REST_TIME));
}

#[test]
fn a_connection_that_has_not_rested_is_reused_only_if_many_rest() {
    assert_eq!(chosen(&[SHORT; MAX_RESTING_CONNECTIONS - 1], FAST), ConnectionChoice::Open);
    assert_eq!(chosen(&[SHORT; MAX_RESTING_CONNECTIONS], FAST), ConnectionChoice::Reuse(0));
}

#[test]
fn at_the_limit_of_sockets_no_connection_is_closed_to_spare_one_that_rests() {
    let at_limit = ReuseConditions { may_open: false, ..FAST };
    assert_eq!(chosen(&[2 * SHORT, SHORT], at_limit), ConnectionChoice::Reuse(0));
    assert_eq!(chosen(&[], at_limit), ConnectionChoice::Open);
}

#[test]
fn an_endpoint_with_stray_responses_gets_no_request_on_a_connection_that_has_not_rested() {
    let at_limit = ReuseConditions { may_open: false, ..STRAY };
    for conditions in [STRAY, at_limit] {
        let idle_times = [REST_TIME; 4 * MAX_RESTING_CONNECTIONS];
        assert_eq!(chosen(&idle_times, conditions), ConnectionChoice::Open);
    }
}

/// Guards against a panic of an attempt: a connection had rested between two looks at its idle time.
#[test]
fn a_connection_that_has_rested_meanwhile_is_not_waited_for() {
    let looks = std::cell::Cell::new(0);
    let grows = |()| {
        looks.set(looks.get() + 1);
        if looks.get() == 1 {
            REST_TIME - SHORT
        } else {
            REST_TIME + SHORT
        }
    };
    let idle_times = [()].into_iter().map(grows);
    assert_eq!(choose(idle_times, SOUND), ConnectionChoice::WaitFor(Duration::ZERO));
}

#[test]
fn the_time_of_use_follows_the_last_requests() {
    let mut use_time = UseTime::default();
    for _ in 0..100 {
        use_time.record(1000 * REST_TIME);
    }
    assert!(use_time.get() > REST_TIME);
    for _ in 0..100 {
        use_time.record(SHORT);
    }
    assert!(use_time.get() < 2 * SHORT);
}
