//! Tests of the driver and of the attempt history.

use std::future::Future;
use std::time::Duration;

use decide::platform_settings::Transport;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::attempt_history::{AttemptHistory, RunningAttempt};
use super::attempt_task::ResultGuard;
use super::*;
use crate::exchange::{AttemptCounter, DisconnectProbe};

fn block_on_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn driver() -> Driver {
    let class = decide::Class {
        latency_objective: 500_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        ..decide::Class::default()
    };
    let settings =
        Settings { balancers: 1, tiers: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
    let transport = Transport { keepalive: 0, connect_timeout: 0, drain_grace: 0 };
    Driver::new(settings, 7, Clock::new(), Rc::new(UpstreamPool::new(transport, 9)), None, Rc::default())
}

/// A panic of the balancer must not leave requests without a response, lose the endpoint list, or let a timer
/// of the old balancer start a second round of timers in the new one.
#[test]
fn balancer_panic_fails_open_requests_and_restores_the_endpoint_list() {
    block_on_local(async {
        let mut driver = driver();
        let (response, receiver) = oneshot::channel();
        let request =
            OpenRequest::new(Rc::default(), DisconnectProbe::default(), AttemptCounter::default(), response);
        driver.open_requests.insert(RequestId(1), request);
        let old_seed = driver.balancer_seed;
        driver.replace_balancer(true);
        assert!(matches!(receiver.await, Ok(FinalResponse::Failed)));
        let Some(list @ DriverInput::EndpointUpdate { scope: UpdateScope::Cached, .. }) =
            driver.follow_ups.pop_front()
        else {
            panic!("no endpoint list is queued for the new balancer")
        };
        // The new balancer starts its own timers; a timer of the old balancer is ignored.
        driver.handle_input(list);
        let Some(DriverInput::Timer { balancer_seed, token }) = driver.inputs.recv().await else {
            panic!("the new balancer started no timer")
        };
        assert_ne!(balancer_seed, old_seed);
        driver.handle_input(DriverInput::Timer { balancer_seed: old_seed, token });
        assert!(timeout(Duration::from_secs(1), driver.inputs.recv()).await.is_err());
        driver.handle_input(DriverInput::Timer { balancer_seed, token });
        assert!(matches!(driver.inputs.recv().await, Some(DriverInput::Timer { .. })));
    });
}

/// A panic in the task of an attempt must still report an outcome, and one that doesn't rule out execution:
/// otherwise the request never ends, or is retried after it was executed.
#[test]
fn panic_in_attempt_task_reports_reset() {
    block_on_local(async {
        let mut driver = driver();
        let expected = AttemptId { request: RequestId(1), number: 2 };
        let guard = ResultGuard::new(driver.handle(), expected);
        let task = spawn_local(async move {
            let _guard = guard;
            panic!("on purpose");
        });
        assert!(task.await.is_err());
        let Some(DriverInput::AttemptEnded { attempt, result }) = driver.inputs.recv().await else {
            panic!("the guard reported no outcome")
        };
        assert_eq!(attempt, expected);
        assert_eq!(result.outcome, Outcome::Reset);
    });
}

fn target(endpoint: u32) -> AttemptTarget {
    AttemptTarget { endpoint: EndpointId(endpoint), started_at: 10 }
}

/// A request counts as never executed only if no attempt is running and every outcome rules out execution. A
/// later attempt that was rejected must not hide an earlier one that may have been executed.
#[test]
fn never_ran_requires_every_attempt_to_rule_out_execution() {
    let mut history = AttemptHistory::default();
    assert!(history.never_ran());
    history.start(target(1));
    assert!(!history.never_ran(), "the attempt is still running");
    assert_eq!(history.end(0, Outcome::ConnectFailed), Some(target(1)));
    assert!(history.never_ran());
    history.start(target(2));
    assert_eq!(history.end(1, Outcome::Reset), Some(target(2)));
    assert!(!history.never_ran());
    history.start(target(3));
    assert_eq!(history.end(2, Outcome::Rejected), Some(target(3)));
    assert!(!history.never_ran(), "an earlier attempt may have been executed");
}

/// The end of an attempt can be recorded by its cancellation and again by its task. The second report must be
/// ignored.
#[test]
fn second_end_of_an_attempt_is_ignored() {
    let mut history = AttemptHistory::default();
    history.start(target(1));
    history.start(target(2));
    assert_eq!(history.end(0, Outcome::NotSent), Some(target(1)));
    assert_eq!(history.end(0, Outcome::Reset), None, "the attempt had already ended");
    assert_eq!(history.end(2, Outcome::Reset), None, "there is no attempt with this number");
    assert!(!history.is_running(0) && history.is_running(1));
    let running: Vec<RunningAttempt> = history.running().collect();
    assert_eq!(running, [RunningAttempt { number: 1, target: target(2) }]);
    assert_eq!(history.end(1, Outcome::NotSent), Some(target(2)));
    assert!(history.never_ran(), "the second end of the first attempt has no effect");
}

/// The final response is a timeout only if the attempt that ended last timed out, not an earlier one.
#[test]
fn last_timed_out_reflects_the_latest_ended_attempt() {
    let mut history = AttemptHistory::default();
    history.start(target(1));
    history.start(target(2));
    history.end(0, Outcome::Timeout);
    assert!(history.last_timed_out());
    history.end(1, Outcome::Error);
    assert!(!history.last_timed_out());
}
