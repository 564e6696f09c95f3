//! The data plane and the memory of the process decide whether an address is announced.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use bgp::{DataPlaneStatus, ListedEndpoint, PoolEndpointList};
use bgp_speaker::Speaker;
use testkit::bgp_router::{BgpMessage, Router, RouterBehavior};

const PREFIX: &str = "192.0.2.1/32";

fn config(router: &Router, more: &str) -> config::Bgp {
    let text = format!(
        "[server]\nlisten = [{{ address = \"127.0.0.1:0\" }}]\n[[class]]\nname = \"c\"\naim_ms = 1\ndeadline_ms = 1\n\
         semantics = \"idempotent\"\n[[pool]]\nname = \"p\"\nnodes = []\n[[route]]\nname = \"r\"\nclass = \"c\"\npool = \"p\"\n\
         [bgp]\nas = 64512\nrouter_id = \"10.0.0.1\"\nretry_ms = 200\nstuck_ms = 500\n{more}\n[[bgp.peer]]\nname = \"r\"\n\
         address = \"{}\"\nas = 65001\n[[bgp.address]]\nprefix = \"{PREFIX}\"\npools = [\"p\"]\nhold_up_ms = 100\n",
        router.address
    );
    config::load(Path::new("lb.toml"), &|_| Ok(text.clone()))
        .expect("a valid configuration")
        .config
        .bgp
        .expect("a BGP section")
}

/// Reports the status of the data plane until `done` returns true.
fn report_status_until(
    speaker: &Speaker,
    accepting: bool,
    endpoint: std::net::SocketAddr,
    done: impl Fn() -> bool,
) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < testkit::TEST_TIMEOUT);
        let endpoint = ListedEndpoint { address: endpoint, weight: 1.0, ready: true, warm: true };
        let pool = PoolEndpointList { received: true, source_silent_for: None, endpoints: vec![endpoint] };
        let pools = Some(BTreeMap::from([("p".to_owned(), pool)]));
        speaker.update_data_plane(DataPlaneStatus { accepting, pools });
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns whether the router has received an announcement.
fn announced(router: &Router) -> bool {
    router
        .received()
        .iter()
        .any(|(_, message)| matches!(message, BgpMessage::Routes(r) if !r.announced.is_empty()))
}

/// Guards against announcing an address before the data plane accepts connections, and against keeping it
/// announced when the data plane stops reporting its status.
#[test]
fn address_is_withdrawn_when_the_data_plane_stalls() {
    let router = Router::start("127.0.4.1", 65001, 9, RouterBehavior::default());
    let endpoint = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = endpoint.local_addr().expect("bound");
    thread::spawn(move || endpoint.incoming().for_each(drop));
    let speaker = Speaker::start(config(&router, ""), 1, |_| {}).expect("starts");
    // The address is not announced while the data plane does not accept connections, although the endpoint is
    // ready.
    let started = Instant::now();
    report_status_until(&speaker, false, address, || started.elapsed() > Duration::from_millis(600));
    assert!(!announced(&router));
    report_status_until(&speaker, true, address, || announced(&router));
    let (index, ..) = router.wait_for_announcement(0, PREFIX);
    let stalled = Instant::now();
    let (index, withdrawn) = router.wait_for_withdrawal(index, PREFIX);
    let took = withdrawn.saturating_duration_since(stalled);
    assert!(took >= Duration::from_millis(100) && took < Duration::from_secs(5), "{took:?}");
    report_status_until(&speaker, true, address, || {
        router.received()[index..]
            .iter()
            .any(|(_, message)| matches!(message, BgpMessage::Routes(r) if !r.announced.is_empty()))
    });
}

#[test]
fn nothing_is_announced_above_the_memory_limit() {
    let router = Router::start("127.0.4.2", 65001, 9, RouterBehavior::default());
    let endpoint = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = endpoint.local_addr().expect("bound");
    thread::spawn(move || endpoint.incoming().for_each(drop));
    let speaker = Speaker::start(config(&router, "memory_mb = 1"), 1, |_| {}).expect("starts");
    let started = Instant::now();
    report_status_until(&speaker, true, address, || started.elapsed() > Duration::from_secs(1));
    assert!(!announced(&router));
    // A limit above the memory use of the process permits the announcement.
    speaker.reload(config(&router, "memory_mb = 100000"));
    report_status_until(&speaker, true, address, || announced(&router));
}
