//! Tests of the upstream side that need access to private items.

use decide::{EndpointState, Outcome};
use hyper::StatusCode;
use membership::ExpiryCause;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::attempt_error::{AttemptError, NotSentReason};
use super::connect::ConnectError;
use super::*;

/// A load report with an implausible value would keep all requests away from a healthy endpoint.
#[test]
fn implausible_load_reports_are_ignored() {
    let transport = Transport { keepalive: 0, connect_timeout: 0, drain_grace: 0 };
    let pool = UpstreamPool::new(transport, 9);
    for bad in ["{\"depth\":1e300}", "{\"depth\":-1}", "{\"depth\":1e999}", "=,=", "[1]", ""] {
        assert!(pool.load_reports.parse(bad.as_bytes()).is_none(), "{bad}");
    }
    assert_eq!(pool.load_reports.parse(b"{\"depth\":3}").and_then(|report| report.queued), Some(3.0));
}

fn known_ids(pool: &UpstreamPool) -> Vec<u32> {
    let mut ids = Vec::new();
    pool.for_each_endpoint(|endpoint, _| ids.push(endpoint.id.0));
    ids
}

/// Replacements of endpoints have new ids, so the endpoint table grows without bound if removed endpoints are
/// kept. Draining endpoints are still listed and must stay.
#[test]
fn removed_endpoint_is_forgotten_after_drain_grace() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let transport = Transport { keepalive: 100_000, connect_timeout: 0, drain_grace: 50_000 };
        let pool = UpstreamPool::new(transport, 9);
        let address = "127.0.0.1:9".parse().expect("an address");
        let entry = |id, state| Endpoint { id: EndpointId(id), state, ..Endpoint::default() };
        for id in 0..300 {
            pool.update_endpoint(&entry(id, EndpointState::Ready), address);
            pool.update_endpoint(&entry(id, EndpointState::Removed), address);
        }
        pool.update_endpoint(&entry(300, EndpointState::Draining), address);
        pool.update_endpoint(&entry(301, EndpointState::Ready), address);
        assert_eq!(known_ids(&pool).len(), 302, "no endpoint is forgotten before its drain grace is over");
        let until_two_left = async {
            while known_ids(&pool).len() > 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            done = timeout(Duration::from_secs(30), until_two_left) => assert!(done.is_ok()),
            () = pool.evict_idle() => unreachable!("evict_idle never returns"),
        }
        assert_eq!(known_ids(&pool), [300, 301]);
    });
}

const ENTRY: EndpointId = EndpointId(1);

fn attempt_request(write_before: Option<Duration>) -> AttemptRequest {
    let now = Instant::now();
    AttemptRequest {
        endpoint: ENTRY,
        message: Rc::new(UpstreamRequest::new(crate::body::MessageBody::default())),
        disconnect_probe: DisconnectProbe::default(),
        deadline: now + Duration::from_secs(60),
        write_before: write_before.map(|time| now + time),
        client_timeout: None,
        write_started: WriteStarted::default(),
        attempts: AttemptCounter::default(),
    }
}

/// A process that is held up between the check and the write must not write a repeat after the endpoints have
/// forgotten the first attempt.
#[test]
fn repeat_is_not_sent_shortly_before_the_end_of_its_window() {
    let transport = Transport { keepalive: 0, connect_timeout: 0, drain_grace: 0 };
    let pool = UpstreamPool::new(transport, 9);
    let entry = Endpoint { id: ENTRY, ..Endpoint::default() };
    pool.update_endpoint(&entry, "127.0.0.1:9".parse().expect("an address"));
    let check = |write_before: Option<Duration>| {
        send_checks::check_before_write(&pool, &attempt_request(write_before)).map(|_| ())
    };
    assert_eq!(check(None), Ok(()));
    assert_eq!(check(Some(Duration::from_secs(30))), Ok(()));
    assert_eq!(check(Some(MAX_WRITE_DELAY)), Err(NotSentReason::DeduplicationExpired));
}

/// A new process at the address of a removed one must not get what was meant for the old one, not even within the
/// drain grace: it may be in another zone, and does not know what the old one has executed.
#[test]
fn nothing_is_sent_to_the_successor_at_the_address_of_a_removed_endpoint() {
    let transport = Transport { keepalive: 0, connect_timeout: 0, drain_grace: 60_000_000 };
    let pool = UpstreamPool::new(transport, 9);
    let (address, elsewhere) = ("127.0.0.1:9", "127.0.0.1:10");
    let update = |id, state, address: &str| {
        let entry = Endpoint { id, state, ..Endpoint::default() };
        pool.update_endpoint(&entry, address.parse().expect("an address"));
    };
    let check = || send_checks::check_before_write(&pool, &attempt_request(None)).map(|_| ());
    update(ENTRY, EndpointState::Ready, address);
    update(EndpointId(2), EndpointState::Ready, elsewhere);
    assert_eq!(check(), Ok(()));
    update(ENTRY, EndpointState::Removed, address);
    assert_eq!(check(), Ok(()), "the drain grace is not over, and nobody else has the address");
    update(EndpointId(3), EndpointState::Ready, address);
    assert_eq!(check(), Err(NotSentReason::EndpointDrained));
    update(ENTRY, EndpointState::Ready, address);
    assert_eq!(check(), Ok(()), "listed again, by its own name");
}

/// Guards against a drain that is received when sending was suspended for it, and that gets a new grace from then
/// on: an attempt that was decided by the old list would still be sent.
#[test]
fn drain_in_the_response_that_ends_a_suspension_has_no_new_grace() {
    let grace = Duration::from_secs(60);
    let transport = Transport { keepalive: 0, connect_timeout: 0, drain_grace: grace.as_micros() as i64 };
    let pool = UpstreamPool::new(transport, 9);
    let update = |state| {
        let entry = Endpoint { id: ENTRY, state, ..Endpoint::default() };
        pool.update_endpoint(&entry, "127.0.0.1:9".parse().expect("an address"));
    };
    let check = || send_checks::check_before_write(&pool, &attempt_request(None)).map(|_| ());
    update(EndpointState::Ready);
    let now = Instant::now();
    let notified_from = now.checked_sub(grace).expect("an instant");
    let cause = ExpiryCause::Unconfirmed;
    let (from, until) = (notified_from + grace - MAX_WRITE_DELAY, now + grace);
    pool.set_list_expiry(Some(ListExpiry { notified_from, from, until, cause }));
    assert_eq!(check(), Err(NotSentReason::ListExpired));
    update(EndpointState::Draining);
    pool.set_list_expiry(None);
    assert_eq!(check(), Err(NotSentReason::EndpointDrained));
    // A drain that is received while the list is confirmed has its grace.
    update(EndpointState::Ready);
    update(EndpointState::Draining);
    assert_eq!(check(), Ok(()));
}

/// The outcome decides whether an attempt is retried and whether its endpoint is blamed. An error that leaves
/// open whether the request was executed must not map to an outcome that rules it out.
#[test]
fn attempt_error_maps_to_outcome() {
    let refused = || std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
    let errors = [
        (AttemptError::NotSent(NotSentReason::ListExpired), Outcome::NotSent),
        (AttemptError::IncompleteRequest, Outcome::NotSent),
        (AttemptError::RequestNotTaken, Outcome::ConnectFailed),
        (AttemptError::Connect(ConnectError::UnknownEndpoint), Outcome::NotSent),
        (AttemptError::Connect(ConnectError::SocketsExhausted), Outcome::NotSent),
        (AttemptError::Connect(ConnectError::Timeout), Outcome::ConnectFailed),
        (AttemptError::Connect(ConnectError::Io(refused())), Outcome::ConnectFailed),
        (AttemptError::ClosedBeforeWrite, Outcome::ConnectFailed),
        (AttemptError::ConnectionLost, Outcome::Reset),
        (AttemptError::IncompleteResponse, Outcome::Reset),
        (AttemptError::Rejected, Outcome::Rejected),
        (AttemptError::Status(StatusCode::INTERNAL_SERVER_ERROR), Outcome::Error),
        (AttemptError::RpcError(-32_000), Outcome::Error),
        (AttemptError::Timeout, Outcome::Timeout),
    ];
    for (error, outcome) in errors {
        assert_eq!(error.outcome(), outcome, "{error}");
    }
}
