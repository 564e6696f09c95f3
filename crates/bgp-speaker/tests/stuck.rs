//! Addresses are withdrawn when the data plane stalls, and not announced before it accepts or above the
//! memory limit.

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
    config::load(Path::new("lb.toml"), &|_| Ok(text.clone())).expect("good").config.bgp.expect("there")
}

/// Reports the data plane's status until `done`.
fn report_status_until(
    speaker: &Speaker,
    accepting: bool,
    node: std::net::SocketAddr,
    done: impl Fn() -> bool,
) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < testkit::TEST_TIMEOUT);
        let node = ListedEndpoint { address: node, weight: 1.0, ready: true, warm: true };
        let pool = PoolEndpointList { received: true, source_silent_for: None, endpoints: vec![node] };
        let pools = Some(BTreeMap::from([("p".to_owned(), pool)]));
        speaker.update_data_plane(DataPlaneStatus { accepting, pools });
        thread::sleep(Duration::from_millis(20));
    }
}

fn announced(router: &Router) -> bool {
    router
        .received()
        .iter()
        .any(|(_, heard)| matches!(heard, BgpMessage::Routes(r) if !r.announced.is_empty()))
}

#[test]
fn address_is_withdrawn_when_the_data_plane_stalls() {
    let router = Router::start("127.0.4.1", 65001, 9, RouterBehavior::default());
    let node = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = node.local_addr().expect("bound");
    thread::spawn(move || node.incoming().for_each(drop));
    let speaker = Speaker::start(config(&router, ""), 1, |_| {}).expect("starts");
    // While nothing accepts, it is not announced, whatever the nodes say.
    let started = Instant::now();
    report_status_until(&speaker, false, address, || started.elapsed() > Duration::from_millis(600));
    assert!(!announced(&router));
    report_status_until(&speaker, true, address, || announced(&router));
    let (place, ..) = router.wait_for_announcement(0, PREFIX);
    let stalled = Instant::now();
    let (place, gone) = router.wait_for_withdrawal(place, PREFIX);
    let took = gone.saturating_duration_since(stalled);
    assert!(took >= Duration::from_millis(100) && took < Duration::from_secs(5), "{took:?}");
    report_status_until(&speaker, true, address, || {
        router.received()[place..]
            .iter()
            .any(|(_, h)| matches!(h, BgpMessage::Routes(r) if !r.announced.is_empty()))
    });
}

#[test]
fn nothing_is_announced_above_the_memory_limit() {
    let router = Router::start("127.0.4.2", 65001, 9, RouterBehavior::default());
    let node = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = node.local_addr().expect("bound");
    thread::spawn(move || node.incoming().for_each(drop));
    let speaker = Speaker::start(config(&router, "memory_mb = 1"), 1, |_| {}).expect("starts");
    let started = Instant::now();
    report_status_until(&speaker, true, address, || started.elapsed() > Duration::from_secs(1));
    assert!(!announced(&router));
    // Given as much as it needs, it is.
    speaker.reload(config(&router, "memory_mb = 100000"));
    report_status_until(&speaker, true, address, || announced(&router));
}
