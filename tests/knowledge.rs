//! Learned state persists over restarts, and faults of its folder cost at most a line of the log.
mod stubs;

use std::path::{Path, PathBuf};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

/// A configuration with these endpoints, which stores learned state in this folder.
fn config(endpoints: &[&FixedLatencyEndpoint], folder: &Path) -> String {
    let endpoints: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(i, endpoint)| format!("{{ name = \"n{i}\", address = \"{}\" }}", endpoint.address))
        .collect();
    format!(
        r#"[server]
listen = [{{ address = "127.0.0.1:0" }}]

[knowledge]
folder = {folder:?}
every_s = 1

[[class]]
name = "read"
aim_ms = 1000
deadline_ms = 2000
semantics = "idempotent"

[[pool]]
name = "p"
nodes = [{}]

[[route]]
name = "all"
match = {{ path = "/*" }}
class = "read"
pool = "p"
"#,
        endpoints.join(", ")
    )
}

/// A fast endpoint and one that is ten times slower.
fn fast_and_slow_endpoints() -> [FixedLatencyEndpoint; 2] {
    [40, 400]
        .map(|ms| FixedLatencyEndpoint::start(&ms.to_string(), Duration::from_millis(ms)).expect("a port"))
}

const REQUEST: &str = "GET /x HTTP/1.1\r\nHost: a\r\nX-Timeout-Ms: 900\r\n\r\n";

/// Sends requests from a number of clients that start simultaneously, a number of times each. Each client is
/// served at least once.
fn send_simultaneously(proxy: &Process, clients: usize, times: usize) {
    let start = Arc::new(Barrier::new(clients));
    let send = |mut client: HttpClient, start: Arc<Barrier>| {
        thread::spawn(move || {
            start.wait();
            (0..times).filter(|_| client.ask(REQUEST).status() == 200).count()
        })
    };
    let threads: Vec<_> = (0..clients).map(|_| send(proxy.connect(), Arc::clone(&start))).collect();
    for thread in threads {
        assert!(thread.join().expect("no panic") > 0);
    }
}

/// Sends eight simultaneous requests. Returns the number that the slow endpoint served.
fn slow_of_eight(proxy: &Process, endpoints: &[FixedLatencyEndpoint; 2]) -> usize {
    let before = endpoints[1].served();
    send_simultaneously(proxy, 8, 1);
    endpoints[1].served() - before
}

/// The learned-state files in a folder, the oldest first.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
    let mut files: Vec<PathBuf> =
        entries.filter(|path| path.extension().is_some_and(|ending| ending == "known")).collect();
    files.sort();
    files
}

#[track_caller]
fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TEST_TIMEOUT, "timeout: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The newest learned-state file in a folder.
fn newest(folder: &Path) -> PathBuf {
    files(folder).pop().expect("a file")
}

#[test]
fn a_proxy_that_starts_again_knows_the_slow_node_and_an_old_file_says_nothing() {
    let endpoints = fast_and_slow_endpoints();
    let folder = temp_folder().join("learned");
    let config = config(&[&endpoints[0], &endpoints[1]], &folder);
    let mut first = start_standalone(&config, &[]);
    let without_state = slow_of_eight(&first, &endpoints);
    assert!(without_state >= 3, "without learned state {without_state} of 8 to the slow endpoint");
    send_simultaneously(&first, 8, 10);
    first.terminate();
    assert!(first.wait_for_exit().success());

    let mut second = start_standalone(&config, &[]);
    assert!(second.log().contains("learned state: written "), "{}", second.log());
    let with_state = slow_of_eight(&second, &endpoints);
    assert!(with_state <= 2, "with learned state {with_state} of 8 to the slow endpoint");
    second.terminate();
    assert!(second.wait_for_exit().success());

    // The same state with a time of writing six hours ago, and one years in the future, as from a wrong
    // clock.
    for (hours, words) in [(6, "learned state: written 21"), (-30_000, "learned state: very old")] {
        let file = newest(&folder);
        let bytes = std::fs::read(&file).expect("readable");
        let (mut learned, _) = learned_state::decode(&bytes).expect("intact");
        let written = learned.written_ms.expect("a time of writing");
        learned.written_ms = written.checked_add_signed(-hours * 3_600_000);
        std::fs::write(&file, learned_state::encode(&learned)).expect("written");
        let third = start_standalone(&config, &[]);
        assert!(third.log().contains(words), "{}", third.log());
        let with_old_state = slow_of_eight(&third, &endpoints);
        assert!(with_old_state >= 3, "{with_old_state} of 8 to the slow endpoint, after {hours} hours");
        // The process is killed, so that it writes no further file.
        drop(third);
    }
}

#[test]
fn what_a_killed_process_learned_is_there_and_a_damaged_file_costs_itself() {
    let endpoints = fast_and_slow_endpoints();
    let folder = temp_folder().join("learned");
    let config = config(&[&endpoints[0], &endpoints[1]], &folder);
    let first = start_standalone(&config, &[]);
    send_simultaneously(&first, 8, 10);
    let before = files(&folder).pop();
    wait_for("two new files", || files(&folder).iter().rev().nth(1) > before.as_ref());
    drop(first);
    // The newest file is truncated, so the previous one is used.
    std::fs::write(newest(&folder), b"amberkno").expect("written");
    let second = start_standalone(&config, &[]);
    assert!(second.log().contains("learned state: written "), "{}", second.log());
    assert!(slow_of_eight(&second, &endpoints) <= 2);
    // Four files are kept, and the newest of them is intact.
    wait_for("four files", || files(&folder).len() == 4);
    wait_for("an intact newest file", || {
        let bytes = std::fs::read(newest(&folder)).unwrap_or_default();
        learned_state::decode(&bytes).is_ok_and(|(learned, _)| learned.pools[0].endpoints.len() == 2)
    });
}

#[test]
fn a_folder_in_use_by_another_process_is_read_and_written_once_it_is_free() {
    let endpoints = fast_and_slow_endpoints();
    let folder = temp_folder().join("learned");
    let config = config(&[&endpoints[0], &endpoints[1]], &folder);
    let mut first = start_standalone(&config, &[]);
    send_simultaneously(&first, 8, 4);
    wait_for("a file", || !files(&folder).is_empty());
    let second = start_standalone(&config, &[]);
    second.wait_for_log("another process uses it");
    assert!(second.log().contains("learned state: written "), "{}", second.log());
    first.terminate();
    assert!(first.wait_for_exit().success());
    second.wait_for_log("learned state: writing to ");
    let before = newest(&folder);
    wait_for("a file of the second process", || newest(&folder) != before);
    assert_eq!(second.log().matches("another process uses it").count(), 1, "logged more than once");
}

#[test]
fn an_unusable_folder_is_logged_once_and_used_once_it_can_be_created() {
    let endpoints = fast_and_slow_endpoints();
    let folder = temp_folder().join("learned");
    std::fs::write(&folder, "a file in its place").expect("written");
    let mut proxy = start_standalone(&config(&[&endpoints[0], &endpoints[1]], &folder), &[]);
    proxy.wait_for_log("learned state: cannot write to ");
    send_simultaneously(&proxy, 2, 4);
    assert_eq!(proxy.log().matches("cannot write to").count(), 1, "logged more than once");
    // Once the file in its place is removed, learned state is written.
    std::fs::remove_file(&folder).expect("removed");
    proxy.wait_for_log("learned state: writing to ");
    proxy.terminate();
    assert!(proxy.wait_for_exit().success());
    assert!(!files(&folder).is_empty());
}
