//! A change counts as told six seconds after discovery had it and could be reached, whatever became of the calls: a proxy
//! among real sockets, before a discovery that fails in each of its ways.

mod stubs;

use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// What the settings of the stand-in allow to a drain, after which nothing may be begun.
const GRACE: Duration = Duration::from_millis(500);
const TOLD: Duration = Duration::from_secs(6);

/// Asks all the time, on one connection after the other, until the time is up; gives when each answer was a 200.
fn ask_until(proxy: &Process, until: Instant) -> Vec<Instant> {
    let mut served = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        let mut caller = proxy.caller();
        number += 1;
        if caller.ask(&read(&format!("asked-{number}"), 9_000)).status() == 200 {
            served.push(Instant::now());
        }
        thread::sleep(Duration::from_millis(20));
    }
    served
}

fn setup(address: std::net::SocketAddr) -> Setup {
    let mut setup = Setup::of(&[]);
    setup.hosts = vec![host("s-0", address, "SERVING")];
    setup
}

#[test]
fn nothing_is_sent_by_a_list_that_calls_in_vain_cannot_vouch_for() {
    let cases = [PollResponse::Unavailable, PollResponse::Disconnect].map(|way| {
        thread::spawn(move || {
            let (address, seen) = noting_backend();
            let proxy = setup(address).start();
            proxy.discovery.wait_for_poll(0);
            proxy.discovery.push(PollResponse::List(list(1, false, &[])));
            proxy.discovery.set_default_response(Some(way.clone()));
            // From then on a drain may be in the list that is not given out.
            let (_, asked) = proxy.discovery.wait_for_poll(1);
            let served = ask_until(&proxy, asked + TOLD + GRACE + Duration::from_secs(2));
            let last = *seen.lock().expect("unpoisoned").last().expect("some were sent");
            assert!(last < asked + TOLD + GRACE, "{way:?}: sent {:?} after the call", last - asked);
            let before = served.iter().filter(|at| **at > asked + TOLD - Duration::from_secs(1)).count();
            assert!(before > 0, "{way:?}: stopped long before it had to");
            assert!(
                (4..=20).contains(&proxy.discovery.poll_count()),
                "{way:?}: {} calls",
                proxy.discovery.poll_count()
            );
            // What it says then settles it.
            proxy.discovery.set_default_response(None);
            proxy.discovery.push(PollResponse::List(list(2, true, &[host("s-0", address, "SERVING")])));
            let until = Instant::now() + TEST_TIMEOUT;
            while proxy.caller().ask(&read("after", 9_000)).status() != 200 {
                assert!(Instant::now() < until, "{way:?}: does not go on");
            }
        })
    });
    for case in cases {
        case.join().expect("as said");
    }
}

#[test]
fn a_drain_is_heard_of_in_time_where_each_second_call_is_refused() {
    let (address, seen) = noting_backend();
    let (other, others) = noting_backend();
    let mut setup = setup(address);
    setup.hosts.push(host("s-1", other, "SERVING"));
    let proxy = setup.start();
    let drained = [host("s-0", address, "DRAINING"), host("s-1", other, "SERVING")];
    proxy.discovery.push(PollResponse::List(list(2, true, &[])));
    proxy.discovery.push(PollResponse::Unavailable);
    proxy.discovery.push(PollResponse::List(list(3, true, &drained)));
    proxy.discovery.set_default_response(Some(PollResponse::Unavailable));
    // The call that is refused is the second; it could have told of the drain.
    let (_, made) = proxy.discovery.wait_for_poll(1);
    let served = ask_until(&proxy, made + TOLD + GRACE + Duration::from_secs(1));
    let late: Vec<_> =
        seen.lock().expect("unpoisoned").iter().filter(|at| **at > made + TOLD + GRACE).copied().collect();
    assert!(late.is_empty(), "sent {} times to what drains", late.len());
    let (_, heard) = proxy.discovery.wait_for_poll(2);
    assert!(heard < made + TOLD, "asked again after {:?}", heard - made);
    assert!(!served.is_empty() && !others.lock().expect("unpoisoned").is_empty(), "the other serves");
}

#[test]
fn an_outage_that_the_kernel_vouches_for_stops_nothing_and_its_end_is_heard_of_in_time() {
    let (address, seen) = noting_backend();
    let closed = ReservedPort::new();
    let (other, _others) = noting_backend();
    let mut setup = setup(address);
    setup.hosts.push(host("s-1", other, "SERVING"));
    let config = setup.config(closed.address());
    let proxy = start_config(&config);
    let began = Instant::now();
    let served = ask_until(&proxy, began + Duration::from_secs(9));
    let last = served.last().expect("served all the time");
    assert!(began + Duration::from_millis(8_500) < *last, "stopped after {:?}", *last - began);
    // It is back, and the drain was made in the last moment of the outage.
    let back = Instant::now();
    let listener = closed.open();
    let told = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("asked");
        let heard = Instant::now();
        read_message(&mut BufReader::new(stream.try_clone().expect("a copy"))).expect("a call");
        let body = list(2, true, &[host("s-0", address, "DRAINING"), host("s-1", other, "SERVING")]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).expect("written");
        (heard, listener, stream)
    });
    ask_until(&proxy, back + TOLD + GRACE);
    let (heard, ..) = told.join().expect("asked");
    assert!(heard < back + Duration::from_millis(2_500), "asked {:?} after its return", heard - back);
    let late = seen.lock().expect("unpoisoned").iter().filter(|at| **at > heard + GRACE).count();
    assert_eq!(late, 0, "sent to what drains");
}

#[test]
fn a_process_without_a_list_asks_until_it_has_one_and_is_ready_then() {
    let (address, _) = noting_backend();
    let mut setup = setup(address);
    setup.hosts.clear();
    let discovery = MockDiscovery::new();
    // The first breaks off, the second cannot be read, three are turned away; then come 1,024 servers, indented.
    let hosts: Vec<String> = (0..1_024).map(|n| host(&format!("s-{n}"), address, "SERVING")).collect();
    let whole = list(2, true, &hosts).replace(",\"", ",\n  \"").replace("},{", "},\n {");
    discovery.push(PollResponse::Truncated(whole.clone()));
    discovery.push(PollResponse::List("{\"seq\":2,\"whole\":true,\"hosts\":[[".to_owned()));
    for _ in 0..3 {
        discovery.push(PollResponse::Unavailable);
    }
    discovery.push(PollResponse::List(whole));
    let config = setup.config(discovery.address);
    let from = config.find("\"known\":").expect("there");
    let to = from + config[from..].find("]},").expect("its end") + 3;
    let proxy = start_config(&(config[..from].to_owned() + &config[to..]));
    let began = Instant::now();
    // Clients come before the list: they are refused, and nothing else.
    assert_eq!(proxy.caller().ask(&read("early", 9_000)).status(), 503);
    let health = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    while proxy.caller().ask(health).status() != 200 {
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "not ready, after {} calls",
            discovery.poll_count()
        );
        thread::sleep(Duration::from_millis(10));
    }
    println!("ready after {:?} and {} calls", began.elapsed(), discovery.poll_count());
    assert_eq!(proxy.caller().ask(&read("late", 9_000)).status(), 200);
}
