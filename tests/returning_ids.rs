//! Request ids that come again after their client has left.
mod stubs;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use stubs::*;

/// Longer than the proxy takes to notice that a client has left.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// Sends a request, waits until the endpoint has it, and closes the connection without a response.
fn send_and_leave(proxy: &Process, endpoint: &MockEndpoint, request: &str) {
    let mut client = HttpClient::of(TcpStream::connect(proxy.address).expect("connects"));
    client.send(request);
    endpoint.request();
    drop(client);
    thread::sleep(NOTICE_TIME);
}

/// Guards against a request that runs twice: its client has left while an endpoint was working on it, and its id
/// comes again, as after a connection that broke.
#[test]
fn an_unsafe_request_does_not_run_again_after_its_client_has_left() {
    let endpoint = MockEndpoint::new([Behavior::Hang, ok("again")]);
    let proxy = Setup::with_endpoints(&[&endpoint]).start();
    let unsafe_request = write("returning", 5_000, "{}");
    send_and_leave(&proxy, &endpoint, &unsafe_request);
    assert_eq!(proxy.request(&unsafe_request).status(), 409, "it may have run");
    assert!(endpoint.requests().is_empty(), "sent again");
    // Another id is another request.
    assert_eq!(proxy.request(&write("other", 5_000, "{}")).status(), 200);
}

/// Guards against refusals without need: a request that does no harm twice, and one that never reached an endpoint.
#[test]
fn a_request_that_does_no_harm_may_come_again() {
    let endpoint = MockEndpoint::new([Behavior::Hang, ok("again")]);
    let proxy = Setup::with_endpoints(&[&endpoint]).start();
    let idempotent = read("returning", 5_000);
    send_and_leave(&proxy, &endpoint, &idempotent);
    assert_eq!(proxy.request(&idempotent).status(), 200);

    let unreachable = ReservedPort::new();
    let setup = Setup {
        endpoints: vec![host("s-0", unreachable.address(), "SERVING")],
        ..Setup::with_endpoints(&[])
    };
    let proxy = setup.start();
    let never_sent = write("never-sent", 5_000, "{}");
    assert_eq!(proxy.request(&never_sent).status(), 503);
    assert_eq!(proxy.request(&never_sent).status(), 503, "not 409: it never ran");
}
