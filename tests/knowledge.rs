//! What was learned outlives the process, and whatever happens to its folder costs a line at most.
mod stubs;

use std::path::{Path, PathBuf};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use stubs::*;

fn config(nodes: &[&FixedLatencyEndpoint], folder: &Path) -> String {
    let nodes: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| format!("{{ name = \"n{i}\", address = \"{}\" }}", node.address))
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
        nodes.join(", ")
    )
}

/// A quick node and one ten times slower.
fn nodes() -> [FixedLatencyEndpoint; 2] {
    [40, 400]
        .map(|ms| FixedLatencyEndpoint::start(&ms.to_string(), Duration::from_millis(ms)).expect("a port"))
}

const ASK: &str = "GET /x HTTP/1.1\r\nHost: a\r\nX-Timeout-Ms: 900\r\n\r\n";

/// So many callers ask at the same moment, so often; all are answered.
fn crowd(proxy: &Process, callers: usize, times: usize) {
    let together = Arc::new(Barrier::new(callers));
    let one = |mut caller: HttpClient, together: Arc<Barrier>| {
        thread::spawn(move || {
            together.wait();
            (0..times).filter(|_| caller.ask(ASK).status() == 200).count()
        })
    };
    let all: Vec<_> = (0..callers).map(|_| one(proxy.connect(), Arc::clone(&together))).collect();
    for served in all {
        assert!(served.join().expect("no panic") > 0);
    }
}

/// Of eight at once, how many go to the slow node?
fn slow_of_eight(proxy: &Process, nodes: &[FixedLatencyEndpoint; 2]) -> usize {
    let before = nodes[1].served();
    crowd(proxy, 8, 1);
    nodes[1].served() - before
}

/// The files kept in a folder, the oldest first.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
    let mut files: Vec<PathBuf> =
        entries.filter(|path| path.extension().is_some_and(|ending| ending == "known")).collect();
    files.sort();
    files
}

#[track_caller]
fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let since = Instant::now();
    while !is_so() {
        assert!(since.elapsed() < TEST_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn newest(folder: &Path) -> PathBuf {
    files(folder).pop().expect("a file")
}

#[test]
fn a_proxy_that_starts_again_knows_the_slow_node_and_an_old_file_says_nothing() {
    let nodes = nodes();
    let folder = temp_folder().join("learned");
    let config = config(&[&nodes[0], &nodes[1]], &folder);
    let mut first = start_standalone(&config, &[]);
    let blind = slow_of_eight(&first, &nodes);
    assert!(blind >= 3, "knows nothing yet: {blind} of 8 to the slow node");
    crowd(&first, 8, 10);
    first.terminate();
    assert!(first.wait_for_exit().success());

    let mut second = start_standalone(&config, &[]);
    assert!(second.log().contains("learned state: written "), "{}", second.log());
    let taught = slow_of_eight(&second, &nodes);
    assert!(taught <= 2, "{taught} of 8 to the slow node");
    second.terminate();
    assert!(second.wait_for_exit().success());

    // The same, as if written six hours ago; and by a clock that was wrong by years.
    for (hours, words) in [(6, "learned state: written 21"), (-30_000, "learned state: very old")] {
        let file = newest(&folder);
        let bytes = std::fs::read(&file).expect("kept");
        let (mut learned, _) = learned_state::decode(&bytes).expect("sound");
        let written = learned.written_ms.expect("says when");
        learned.written_ms = written.checked_add_signed(-hours * 3_600_000);
        std::fs::write(&file, learned_state::encode(&learned)).expect("written");
        let third = start_standalone(&config, &[]);
        assert!(third.log().contains(words), "{}", third.log());
        let forgot = slow_of_eight(&third, &nodes);
        assert!(forgot >= 3, "{forgot} of 8 to the slow node, after {hours} hours");
        // Killed, so that it writes no more.
        drop(third);
    }
}

#[test]
fn what_a_killed_process_learned_is_there_and_a_damaged_file_costs_itself() {
    let nodes = nodes();
    let folder = temp_folder().join("learned");
    let config = config(&[&nodes[0], &nodes[1]], &folder);
    let first = start_standalone(&config, &[]);
    crowd(&first, 8, 10);
    let before = files(&folder).pop();
    until("no two files since", || files(&folder).iter().rev().nth(1) > before.as_ref());
    drop(first);
    // The newest is torn: the one before it counts.
    std::fs::write(newest(&folder), b"amberkno").expect("written");
    let second = start_standalone(&config, &[]);
    assert!(second.log().contains("learned state: written "), "{}", second.log());
    assert!(slow_of_eight(&second, &nodes) <= 2);
    // Four are kept, and the newest of them is sound.
    until("never more than four", || files(&folder).len() == 4);
    until("a sound file", || {
        let bytes = std::fs::read(newest(&folder)).unwrap_or_default();
        learned_state::decode(&bytes).is_ok_and(|(learned, _)| learned.pools[0].endpoints.len() == 2)
    });
}

#[test]
fn a_folder_that_another_process_has_is_read_and_taken_over_when_it_is_free() {
    let nodes = nodes();
    let folder = temp_folder().join("learned");
    let config = config(&[&nodes[0], &nodes[1]], &folder);
    let mut first = start_standalone(&config, &[]);
    crowd(&first, 8, 4);
    until("no file", || !files(&folder).is_empty());
    let second = start_standalone(&config, &[]);
    second.wait_for_log("another process uses it");
    assert!(second.log().contains("learned state: written "), "{}", second.log());
    first.terminate();
    assert!(first.wait_for_exit().success());
    second.wait_for_log("learned state: writing to ");
    let before = newest(&folder);
    until("a file of its own", || newest(&folder) != before);
    assert_eq!(second.log().matches("another process uses it").count(), 1, "said once");
}

#[test]
fn a_folder_that_cannot_be_had_costs_a_line_and_nothing_else() {
    let nodes = nodes();
    let folder = temp_folder().join("learned");
    std::fs::write(&folder, "a file in its place").expect("written");
    let mut proxy = start_standalone(&config(&[&nodes[0], &nodes[1]], &folder), &[]);
    proxy.wait_for_log("learned state: cannot write to ");
    crowd(&proxy, 2, 4);
    assert_eq!(proxy.log().matches("cannot write to").count(), 1, "said once");
    // What stood in the way is gone: kept from then on.
    std::fs::remove_file(&folder).expect("removed");
    proxy.wait_for_log("learned state: writing to ");
    proxy.terminate();
    assert!(proxy.wait_for_exit().success());
    assert!(!files(&folder).is_empty());
}
