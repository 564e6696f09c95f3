//! What the platform's standing test of fleets asks of `deploy/balancer.toml` and of the process that it starts, as far as
//! that can be seen from here.
mod stubs;

use std::path::Path;
use std::time::Duration;
use std::{fs, thread};

use stubs::*;

/// The command under this name, as a plain string.
fn command(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/balancer.toml");
    let text = fs::read_to_string(path).expect("a deploy file");
    let line =
        text.lines().find_map(|l| l.strip_prefix(name)?.trim_start().strip_prefix('=')).expect("a command");
    line.split('"').nth(1).expect("a string").to_owned()
}

#[test]
fn run_becomes_one_process_that_is_what_build_makes() {
    assert_eq!(command("build"), "cargo build --release");
    let run = command("run");
    let program = run.strip_prefix("exec ").expect("no shell stays round it");
    assert_eq!(program, "target/release/amberlever", "nothing but one program");
}

#[test]
fn the_process_is_one_thread_linked_to_the_c_library_with_no_children_and_at_rest() {
    let backend = MockEndpoint::new(vec![ok("1"); 99]);
    let proxy = Setup::with_endpoints(&[&backend]).start();
    for i in 0..20 {
        assert_eq!(proxy.request(&read(&format!("id-{i}"), 9000)).status(), 200);
    }
    let proc = format!("/proc/{}", proxy.pid());
    let maps = fs::read_to_string(format!("{proc}/maps")).expect("the process is running");
    assert!(maps.contains("/libc.so.6"), "linked dynamically");
    let threads = fs::read_dir(format!("{proc}/task")).expect("the process is running").count();
    assert_eq!(threads, 1);
    let children = fs::read_to_string(format!("{proc}/task/{}/children", proxy.pid()));
    assert_eq!(children.unwrap_or_default(), "");
    let fds = fs::read_dir(format!("{proc}/fd")).expect("the process is running");
    let open: Vec<String> = fds
        .filter_map(|fd| Some(fs::read_link(fd.ok()?.path()).ok()?.to_string_lossy().into_owned()))
        .collect();
    assert!(!open.iter().any(|to| to.contains("io_uring")), "{open:?}");
    // Unix sockets: none with a name that somebody could come to.
    let unix = fs::read_to_string("/proc/net/unix").expect("there is one");
    for line in unix.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let own = open.iter().any(|to| to == &format!("socket:[{}]", fields[6]));
        assert!(!own || fields.len() == 7, "{line}");
    }
    // Nothing spins: at rest it takes a hundredth of the time, and may take a fifth on a busy machine.
    let before = proxy.cpu_time_ns();
    thread::sleep(Duration::from_millis(500));
    let used = proxy.cpu_time_ns() - before;
    assert!(used < 100_000_000, "{used} ns of 500 ms at rest");
}
