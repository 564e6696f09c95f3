//! A thousand servers and a thousand proxies: no list is cut, and what they take is what they need.
mod stubs;

use std::net::SocketAddr;

use stubs::*;

const MANY: usize = 1024;
/// The least memory that the platform gives a proxy, in kilobytes, and the fewest descriptors.
const LEAST_MEMORY: u64 = 32 << 10;
const LEAST_DESCRIPTORS: u32 = 256;

/// A name of the greatest length that a host has in DNS.
fn long(n: usize, generation: &str) -> String {
    format!("{generation}-{n:04}-{}", "x".repeat(253 - generation.len() - 6))
}

/// Many hosts of which one is there; the others' address nobody listens at. Indented, as lists may come.
fn hosts(generation: &str, there: SocketAddr, away: SocketAddr, health: &str) -> Vec<String> {
    let at = |n| if n == MANY / 2 { there } else { away };
    let health = |n| if n == MANY / 2 { "SERVING" } else { health };
    (0..MANY).map(|n| host(&long(n, generation), at(n), health(n)).replace(',', ",\n      ")).collect()
}

fn setup(hosts: Vec<String>) -> Setup {
    let mut setup = Setup::with_endpoints(&[]);
    // Addresses of the greatest length, one for each proxy; only the first is anybody's here.
    let others = (1..MANY).map(|n| format!("127.255.{}.{}:65535", 100 + n / 200, 1 + n % 200));
    let own: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let all = std::iter::once(own).chain(others.map(|a| a.parse().expect("an address"))).collect();
    setup.peers = Some((own, all));
    setup.endpoints = hosts;
    setup.max_sockets = LEAST_DESCRIPTORS;
    setup.descriptors = Some(LEAST_DESCRIPTORS);
    setup.latency_objective_ms = 5000;
    setup
}

#[test]
fn a_thousand_servers_are_held_served_from_and_replaced_by_a_thousand_others() {
    let (first, second) = (MockEndpoint::new([ok("first")]), MockEndpoint::new([ok("second")]));
    let away = unused_address();
    // All but one drain: each of the thousand counts.
    let proxy = setup(hosts("old", first.address, away, "DRAINING")).start();
    for n in 0..5 {
        assert_eq!(proxy.request(&read(&format!("a-{n}"), 5000)).body, b"first");
    }
    proxy.discovery.wait_for_poll(0);
    let news = hosts("new", second.address, away, "DRAINING");
    proxy.discovery.push(PollResponse::List(list(2, true, &news)));
    proxy.discovery.wait_for_poll(1);
    for n in 0..5 {
        assert_eq!(proxy.request(&read(&format!("b-{n}"), 5000)).body, b"second");
    }
    // And all but one are there to be tried, of which most refuse.
    let news = hosts("new", second.address, away, "SERVING");
    proxy.discovery.push(PollResponse::List(list(3, true, &news)));
    proxy.discovery.wait_for_poll(2);
    for n in 0..40 {
        assert!(matches!(proxy.request(&read(&format!("c-{n}"), 5000)).status(), 200 | 502..=504));
    }
    let (descriptors, memory) = proxy.descriptors_and_memory();
    assert!(memory < LEAST_MEMORY, "{memory} kB");
    assert!(descriptors < LEAST_DESCRIPTORS as usize / 2, "{descriptors}");
}

#[test]
fn a_proxy_that_stands_in_the_list_of_peers_twice_is_an_error_in_one_line() {
    let mut setup = setup(Vec::new());
    if let Some((_, all)) = &mut setup.peers {
        all[700] = all[3];
    }
    let output = spawn(Some(&setup.config(unused_address())), None).wait_with_output().expect("it ends");
    assert!(!output.status.success());
    let said = String::from_utf8(output.stderr).expect("text");
    assert_eq!(
        said.trim_end(),
        format!("amberlever: {}", said.trim_end().trim_start_matches("amberlever: "))
    );
    assert!(said.contains("peers: 127.255.100.4:65535 stands in it twice"), "{said}");
    assert_eq!(said.trim_end().lines().count(), 1, "{said}");
}
