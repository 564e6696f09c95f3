//! 1,024 endpoints and 1,024 proxies: no list is truncated, and memory and descriptors stay within limits.
mod stubs;

use std::net::SocketAddr;

use stubs::*;

/// The number of endpoints, and of proxies.
const COUNT: usize = 1024;
/// The lowest memory limit that the platform sets for a proxy, in kilobytes.
const MIN_MEMORY_KB: u64 = 32 << 10;
/// The lowest limit on open descriptors that the platform sets for a proxy.
const MIN_DESCRIPTORS: u32 = 256;

/// A name of the maximum length in DNS.
fn long_name(n: usize, generation: &str) -> String {
    format!("{generation}-{n:04}-{}", "x".repeat(253 - generation.len() - 6))
}

/// The entries of endpoints of which only one listens. They contain line breaks, as lists may.
fn hosts(generation: &str, listening: SocketAddr, unused: SocketAddr, health: &str) -> Vec<String> {
    let address = |n| if n == COUNT / 2 { listening } else { unused };
    let health = |n| if n == COUNT / 2 { "SERVING" } else { health };
    (0..COUNT)
        .map(|n| host(&long_name(n, generation), address(n), health(n)).replace(',', ",\n      "))
        .collect()
}

fn setup(hosts: Vec<String>) -> Setup {
    let mut setup = Setup::with_endpoints(&[]);
    // One address of the maximum length for each proxy, of which only the first is in use.
    let others = (1..COUNT).map(|n| format!("127.255.{}.{}:65535", 100 + n / 200, 1 + n % 200));
    let own: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let all = std::iter::once(own).chain(others.map(|a| a.parse().expect("an address"))).collect();
    setup.peers = Some((own, all));
    setup.endpoints = hosts;
    setup.max_sockets = MIN_DESCRIPTORS;
    setup.descriptors = Some(MIN_DESCRIPTORS);
    setup.latency_objective_ms = 5000;
    setup
}

#[test]
fn a_thousand_endpoints_are_used_and_replaced_by_a_thousand_others() {
    let (first, second) = (MockEndpoint::new([ok("first")]), MockEndpoint::new([ok("second")]));
    let unused = unused_address();
    // All but one are draining.
    let proxy = setup(hosts("old", first.address, unused, "DRAINING")).start();
    for n in 0..5 {
        assert_eq!(proxy.request(&read(&format!("a-{n}"), 5000)).body, b"first");
    }
    proxy.discovery.wait_for_poll(0);
    let endpoints = hosts("new", second.address, unused, "DRAINING");
    proxy.discovery.push(PollResponse::List(list(2, true, &endpoints)));
    proxy.discovery.wait_for_poll(1);
    for n in 0..5 {
        assert_eq!(proxy.request(&read(&format!("b-{n}"), 5000)).body, b"second");
    }
    // All endpoints are ready, but all except one refuse connections.
    let endpoints = hosts("new", second.address, unused, "SERVING");
    proxy.discovery.push(PollResponse::List(list(3, true, &endpoints)));
    proxy.discovery.wait_for_poll(2);
    for n in 0..40 {
        assert!(matches!(proxy.request(&read(&format!("c-{n}"), 5000)).status(), 200 | 502..=504));
    }
    let (descriptors, memory) = proxy.descriptors_and_memory();
    assert!(memory < MIN_MEMORY_KB, "{memory} kB");
    assert!(descriptors < MIN_DESCRIPTORS as usize / 2, "{descriptors}");
}

#[test]
fn a_duplicate_peer_ends_the_program_with_one_line() {
    let mut setup = setup(Vec::new());
    if let Some((_, all)) = &mut setup.peers {
        all[700] = all[3];
    }
    let output =
        spawn(Some(&setup.config(unused_address())), None).wait_with_output().expect("the program exits");
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert_eq!(
        stderr.trim_end(),
        format!("amberlever: {}", stderr.trim_end().trim_start_matches("amberlever: "))
    );
    assert!(stderr.contains("peers: 127.255.100.4:65535 occurs twice"), "{stderr}");
    assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
}
