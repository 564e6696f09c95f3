//! A proxy to which an agent on its machine pushes lists. What the agent has counts as notified, from the first
//! moment of a process: after the drain grace nothing is forwarded by a list that the agent has not confirmed,
//! however its calls end.

mod stubs;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;
use AgentBehavior::{Answering, Disconnecting, Gone, Late, NotAccepting, Rejecting, Silent, Truncating};

/// The drain grace in the settings: after it no request may be forwarded.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The time for which the agent keeps one way to fail.
const PHASE: Duration = Duration::from_millis(1_500);

/// Two endpoints, of which one can be drained. A list of before the drain is the configured one.
struct Endpoints {
    draining: SocketAddr,
    other: SocketAddr,
    received_at: Arc<Mutex<Vec<Instant>>>,
}

impl Endpoints {
    fn start() -> Endpoints {
        let ((draining, received_at), (other, _)) = (recording_endpoint(), recording_endpoint());
        Endpoints { draining, other, received_at }
    }

    fn list(&self, health: &str) -> Vec<String> {
        vec![host("s-0", self.draining, health), host("s-1", self.other, "SERVING")]
    }

    fn config(&self, agent: &MockAgent) -> String {
        let mut setup = Setup::with_endpoints(&[]);
        setup.endpoints = self.list("SERVING");
        let config = setup.config(agent.address);
        config.replace("\"discovery\":\"on_request\"", "\"discovery\":\"pushed\"")
    }

    /// The requests that came to the endpoint that drains later than this.
    fn received_after(&self, limit: Instant) -> usize {
        self.received_at.lock().expect("unpoisoned").iter().filter(|at| **at > limit).count()
    }
}

/// Runs all cases at the same time, each in a thread.
fn in_parallel<T: Send + 'static>(cases: impl IntoIterator<Item = T>, run: fn(T)) {
    let threads: Vec<_> = cases.into_iter().map(|case| thread::spawn(move || run(case))).collect();
    for thread in threads {
        thread.join().expect("no panic");
    }
}

/// Starts a process whose agent has a drain that the configured list does not have, and fails in these ways, one
/// after the other. Nothing may be forwarded past the grace; afterwards the agent answers.
fn start_with_failing_agent(phases: &[AgentBehavior]) {
    let endpoints = Endpoints::start();
    let agent = MockAgent::start(&endpoints.list("SERVING"), phases[0]);
    agent.change(&endpoints.list("DRAINING"));
    let proxy = start_config(&endpoints.config(&agent));
    let limit = Instant::now() + DRAIN_GRACE;
    for phase in phases {
        agent.set_behavior(*phase);
        proxy.send_reads(PHASE);
    }
    assert_eq!(endpoints.received_after(limit), 0, "{phases:?}: forwarded by an unconfirmed list");
    agent.set_behavior(Answering);
    wait_until(&format!("served after {phases:?}"), || {
        proxy.request(&read(&unique_request_id(), 9_000)).status() == 200
    });
    assert!(proxy.send_reads(PHASE).served > 0, "{phases:?}");
    assert_eq!(endpoints.received_after(limit), 0, "{phases:?}: forwarded to a draining endpoint");
}

/// Guards against the silence of an agent, which says nothing while discovery is down, being taken for the
/// confirmation of a list of any age.
#[test]
fn silence_does_not_confirm_the_list_that_a_process_starts_with() {
    start_with_failing_agent(&[Silent, Silent]);
}

/// Guards against a connection that is refused or not taken up, an error or a reset lifting the bound on a list
/// that the agent has not confirmed, or setting none.
#[test]
fn nothing_but_a_response_confirms_the_list_that_a_process_starts_with() {
    let cases: [&'static [AgentBehavior]; 9] = [
        &[Gone, Silent],
        &[Silent, Gone],
        &[Rejecting, Gone],
        &[NotAccepting, NotAccepting],
        &[Rejecting, NotAccepting],
        &[Disconnecting, Gone],
        &[Disconnecting, Silent],
        &[Truncating, Gone],
        &[Truncating, Silent, NotAccepting, Gone],
    ];
    in_parallel(cases, start_with_failing_agent);
}

/// A process whose list its agent has confirmed.
struct Confirmed {
    endpoints: Endpoints,
    agent: MockAgent,
    proxy: Process,
}

impl Confirmed {
    fn start() -> Confirmed {
        let endpoints = Endpoints::start();
        let agent = MockAgent::start(&endpoints.list("SERVING"), Answering);
        let proxy = start_config(&endpoints.config(&agent));
        proxy.wait_until_ready();
        assert!(proxy.send_reads(PHASE).served > 0);
        Confirmed { endpoints, agent, proxy }
    }

    /// Gives the agent the drain of an endpoint. Returns until when that endpoint may be sent to.
    fn drain(&self) -> Instant {
        self.agent.change(&self.endpoints.list("DRAINING"));
        Instant::now() + DRAIN_GRACE
    }

    /// What the agent did last, and the requests that came to the endpoint that drains.
    fn trace(&self) -> String {
        let last = |of: Vec<(String, Instant)>| of.into_iter().rev().take(8).collect::<Vec<_>>();
        let received = self.endpoints.received_at.lock().expect("unpoisoned").clone();
        format!(
            "calls {:#?}, received {:#?}, log {}",
            last(self.agent.calls()),
            received.iter().rev().take(4).collect::<Vec<_>>(),
            self.proxy.log()
        )
    }

    /// Checks that nothing is forwarded past `limit` now, nor once the agent answers, and that requests are served
    /// then.
    fn check_drained(&self, limit: Instant, case: &str) {
        self.proxy.send_reads(PHASE);
        let late = self.endpoints.received_after(limit);
        assert_eq!(late, 0, "{case}: forwarded past the grace {limit:?}; {}", self.trace());
        self.agent.set_behavior(Answering);
        wait_until(&format!("served after {case}"), || {
            self.proxy.request(&read(&unique_request_id(), 9_000)).status() == 200
        });
        self.proxy.send_reads(PHASE);
        assert_eq!(self.endpoints.received_after(limit), 0, "{case}: forwarded past the grace");
    }
}

/// Guards against an outage that suspends forwarding although the list was confirmed before it: an agent that is
/// silent receives nothing, and one that is gone has nothing.
#[test]
fn confirmed_list_is_served_by_in_an_outage() {
    let cases: [&'static [AgentBehavior]; 4] =
        [&[Silent, Silent], &[Gone, Gone], &[Silent, NotAccepting], &[Silent, Answering, Silent]];
    in_parallel(cases, |phases| {
        let Confirmed { agent, proxy, .. } = Confirmed::start();
        for phase in phases {
            agent.set_behavior(*phase);
            let sent = proxy.send_reads(PHASE * 4);
            assert_eq!(sent.served, sent.all, "{phases:?}: not served while the agent is {phase:?}");
        }
    });
}

/// Guards against a bound that a refused connection lifts, or that a connection that is not taken up does not set,
/// after the agent had a change that was not received.
#[test]
fn drain_between_a_failed_call_and_the_end_of_the_agent_is_kept() {
    in_parallel([Rejecting, Disconnecting], |behavior| {
        for end in [Gone, NotAccepting] {
            let process = Confirmed::start();
            process.agent.set_behavior(behavior);
            thread::sleep(Duration::from_millis(300));
            let limit = process.drain();
            process.agent.set_behavior(end);
            process.check_drained(limit, &format!("{behavior:?}, then {end:?}"));
        }
    });
}

/// Guards against an agent that was gone, is back with a change and silent at once being taken for one that has
/// nothing.
#[test]
fn drain_at_the_return_of_an_agent_that_is_silent_at_once_is_kept() {
    let process = Confirmed::start();
    process.agent.set_behavior(Gone);
    let sent = process.proxy.send_reads(PHASE);
    assert_eq!(sent.served, sent.all, "an agent that is gone has no changes");
    let limit = process.drain();
    process.agent.set_behavior(Silent);
    process.check_drained(limit, "silent at its return");
}

/// Guards against a change that the agent gets at the end of an outage, and that is missed because the next
/// outage follows at once.
#[test]
fn drain_between_two_outages_is_kept() {
    in_parallel(1..=4, |number: u32| {
        let process = Confirmed::start();
        process.agent.set_behavior(Silent);
        process.proxy.send_reads(PHASE + Duration::from_millis(70) * number);
        let limit = process.drain();
        process.agent.set_behavior(Answering);
        // The agent is back for as long as it takes to answer the calls that it holds.
        process.agent.wait_until_held_calls_are_answered();
        process.agent.set_behavior(Silent);
        process.check_drained(limit, "between two outages");
    });
}

/// Guards against a list of the old agent that stays in use although the new one, which is silent, has a drain:
/// that counts as notified four seconds after the new configuration.
#[test]
fn drain_at_the_agent_of_a_new_configuration_is_kept() {
    in_parallel([Silent, Gone, Rejecting, NotAccepting], |behavior| {
        let Confirmed { endpoints, agent, proxy } = Confirmed::start();
        let next = MockAgent::start(&endpoints.list("DRAINING"), behavior);
        proxy.reload(&endpoints.config(&next));
        let limit = Instant::now() + Duration::from_secs(4) + DRAIN_GRACE;
        let sent = proxy.send_reads(Duration::from_secs(3));
        assert_eq!(sent.served, sent.all, "{behavior:?}: suspended too early");
        let process = Confirmed { endpoints, agent: next, proxy };
        process.proxy.send_reads(Duration::from_secs(3));
        process.check_drained(limit, &format!("moved to an agent that is {behavior:?}"));
        drop(agent);
    });
}

/// A move to an agent that answers costs no request.
#[test]
fn new_configuration_with_an_agent_that_answers_costs_no_request() {
    let Confirmed { endpoints, proxy, .. } = Confirmed::start();
    let next = MockAgent::start(&endpoints.list("SERVING"), Answering);
    proxy.reload(&endpoints.config(&next));
    let sent = proxy.send_reads(Duration::from_secs(6));
    assert_eq!(sent.served, sent.all);
}

/// A calm start costs no request: the agent confirms the list at once.
#[test]
fn start_with_an_agent_that_answers_costs_no_request() {
    let endpoints = Endpoints::start();
    let agent = MockAgent::start(&endpoints.list("SERVING"), Answering);
    let proxy = start_config(&endpoints.config(&agent));
    let sent = proxy.send_reads(PHASE * 2);
    assert_eq!(sent.served, sent.all);
    assert!(agent.calls()[0].0.ends_with("after=1&wait_ms=1"), "{:?}", agent.calls()[0]);
}

/// Guards against a response that comes late, and that is taken for the proof that the list is current now: the
/// drain was made after it was composed, and the agent is silent since.
#[test]
fn drain_after_a_late_response_was_composed_is_kept() {
    in_parallel([300, 600, 1_200, 3_000], |delay_ms| {
        let delay = Duration::from_millis(delay_ms);
        let endpoints = Endpoints::start();
        let agent = MockAgent::start(&endpoints.list("SERVING"), Late(delay));
        let proxy = start_config(&endpoints.config(&agent));
        wait_until("called", || !agent.calls().is_empty());
        thread::sleep(Duration::from_millis(30));
        let process = Confirmed { endpoints, agent, proxy };
        let limit = process.drain();
        process.agent.set_behavior(Silent);
        process.proxy.send_reads(delay + PHASE);
        process.check_drained(limit, &format!("response after {delay:?}"));
    });
}

/// Guards against a response that breaks off and is allowed two seconds more: the agent had the drain that was in
/// it, and is silent or gone since.
#[test]
fn drain_in_a_response_that_breaks_off_is_kept() {
    in_parallel([Silent, Gone], |then| {
        let process = Confirmed::start();
        process.agent.set_behavior(Truncating);
        let limit = process.drain();
        thread::sleep(Duration::from_millis(30));
        process.agent.set_behavior(then);
        process.check_drained(limit, &format!("broken off, then {then:?}"));
    });
}

/// Guards against requests that are forwarded by the old list when a process that was stopped goes on, before it
/// has read the response with the drain from its socket.
#[test]
fn drain_while_the_process_was_stopped_is_kept() {
    in_parallel(1..=6, |_| {
        let process = Confirmed::start();
        let mut clients: Vec<HttpClient> = (0..40).map(|_| process.proxy.connect()).collect();
        process.proxy.signal("STOP");
        let limit = process.drain();
        thread::sleep(Duration::from_millis(100));
        process.agent.set_behavior(Silent);
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&read(&format!("stopped-{number}"), 9_000));
        }
        thread::sleep(DRAIN_GRACE + Duration::from_millis(400));
        process.proxy.signal("CONT");
        process.check_drained(limit, "stopped");
    });
}

/// Guards against a response that lay unread in the socket of a process that was stopped, and that is taken for
/// the proof that the list is current now.
#[test]
fn drain_after_an_unread_response_to_the_first_call_is_kept() {
    in_parallel(1..=4, |_| {
        let endpoints = Endpoints::start();
        let agent = MockAgent::start(&endpoints.list("SERVING"), Late(Duration::from_millis(150)));
        let proxy = start_config(&endpoints.config(&agent));
        wait_until("called", || !agent.calls().is_empty());
        proxy.signal("STOP");
        thread::sleep(Duration::from_millis(300));
        let process = Confirmed { endpoints, agent, proxy };
        let limit = process.drain();
        process.agent.set_behavior(Silent);
        thread::sleep(DRAIN_GRACE + Duration::from_millis(400));
        process.proxy.signal("CONT");
        process.check_drained(limit, "stopped at its start");
    });
}

/// A process without a list serves nothing before the agent has given it one, and then by that.
#[test]
fn start_without_a_list_waits_for_the_agent() {
    let endpoints = Endpoints::start();
    let agent = MockAgent::start(&endpoints.list("DRAINING"), Silent);
    let config = endpoints.config(&agent);
    let from = config.find("\"known\":").expect("a list");
    let to = from + config[from..].find("]},").expect("its end") + 3;
    let proxy = start_config(&(config[..from].to_owned() + &config[to..]));
    let started_at = Instant::now();
    assert_eq!(proxy.send_reads(PHASE).served, 0);
    agent.set_behavior(Answering);
    wait_until("served", || proxy.request(&read(&unique_request_id(), 9_000)).status() == 200);
    proxy.send_reads(PHASE);
    assert_eq!(endpoints.received_after(started_at), 0);
}

/// Guards against a process that takes over the socket of another one, and sends by the list of its
/// configuration what the first one knew to be drained.
#[test]
fn process_that_takes_over_keeps_a_drain_of_before_its_start() {
    let endpoints = Endpoints::start();
    let agent = MockAgent::start(&endpoints.list("SERVING"), Answering);
    let listener = InheritedListener::new();
    let first = listener.start(&endpoints.config(&agent));
    first.wait_until_ready();
    agent.change(&endpoints.list("DRAINING"));
    thread::sleep(PHASE);
    agent.set_behavior(Silent);
    let second = listener.start(&endpoints.config(&agent));
    let limit = Instant::now() + DRAIN_GRACE;
    first.terminate();
    let address = listener.address;
    let until = Instant::now() + PHASE * 3;
    while Instant::now() < until {
        let client = std::net::TcpStream::connect(address).expect("the socket is open");
        HttpClient::of(client).ask(&read(&unique_request_id(), 9_000));
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(endpoints.received_after(limit), 0);
    agent.set_behavior(Answering);
    wait_until("served", || second.request(&read(&unique_request_id(), 9_000)).status() == 200);
    assert_eq!(endpoints.received_after(limit), 0);
}

fn metrics(proxy: &Process) -> String {
    proxy.operator_request("GET", "/status/metrics", "").1
}

/// Guards against states that operators cannot tell apart.
#[test]
fn log_and_metric_say_why_a_list_is_unconfirmed() {
    let cases = [
        (Silent, "silent", "discovery took the call and does not respond"),
        (Gone, "refused", "discovery refused the connection"),
        (Rejecting, "rejected", "discovery responded with an error"),
        (NotAccepting, "connect_timeout", "no connection to discovery was established"),
        (Disconnecting, "connection_lost", "the connection to discovery broke"),
        (Truncating, "incomplete", "the response of discovery broke off or cannot be parsed"),
    ];
    in_parallel(cases, |(behavior, label, text)| {
        let endpoints = Endpoints::start();
        let agent = MockAgent::start(&endpoints.list("SERVING"), Answering);
        agent.set_behavior(behavior);
        thread::sleep(Duration::from_millis(300));
        let proxy = start_config(&with_operators_address(&endpoints.config(&agent)));
        proxy.wait_for_log(&format!("endpoint list unconfirmed: {text}"));
        let gauge = |list: &str, call: &str| {
            format!("edge_lb_list_status{{list=\"{list}\",last_call=\"{call}\"}} 1\n")
        };
        wait_until(label, || metrics(&proxy).contains(&gauge("unconfirmed", label)));
        agent.set_behavior(Answering);
        proxy.wait_for_log("endpoint list confirmed by discovery");
        wait_until("confirmed", || metrics(&proxy).contains(&gauge("confirmed", "answered")));
    });
}
