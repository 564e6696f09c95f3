//! The requirements of the platform's fleet test on `deploy/balancer.toml` and on the process that it starts,
//! as far as they can be checked in this repository.
mod stubs;

use std::path::Path;
use std::time::Duration;
use std::{fs, thread};

use stubs::*;

/// The command under a name of the deploy file, which must be a plain string.
fn command(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/balancer.toml");
    let text = fs::read_to_string(path).expect("a deploy file");
    let line =
        text.lines().find_map(|l| l.strip_prefix(name)?.trim_start().strip_prefix('=')).expect("a command");
    line.split('"').nth(1).expect("a string").to_owned()
}

#[test]
fn the_run_command_replaces_the_shell_with_the_program_that_the_build_command_makes() {
    assert_eq!(command("build"), "cargo build --release");
    let run = command("run");
    let program = run.strip_prefix("exec ").expect("a command that replaces the shell");
    assert_eq!(program, "target/release/amberlever", "a single program without arguments");
}

#[test]
fn the_process_has_one_thread_no_children_a_dynamic_c_library_and_is_idle_without_load() {
    let endpoint = MockEndpoint::new(vec![ok("1"); 99]);
    let proxy = Setup::with_endpoints(&[&endpoint]).start();
    for i in 0..20 {
        assert_eq!(proxy.request(&read(&format!("id-{i}"), 9000)).status(), 200);
    }
    let proc = format!("/proc/{}", proxy.pid());
    let maps = fs::read_to_string(format!("{proc}/maps")).expect("the process is running");
    assert!(maps.contains("/libc.so.6"), "not dynamically linked to the C library");
    let threads = fs::read_dir(format!("{proc}/task")).expect("the process is running").count();
    assert_eq!(threads, 1);
    let children = fs::read_to_string(format!("{proc}/task/{}/children", proxy.pid()));
    assert_eq!(children.unwrap_or_default(), "");
    let fds = fs::read_dir(format!("{proc}/fd")).expect("the process is running");
    let open: Vec<String> = fds
        .filter_map(|fd| Some(fs::read_link(fd.ok()?.path()).ok()?.to_string_lossy().into_owned()))
        .collect();
    assert!(!open.iter().any(|to| to.contains("io_uring")), "{open:?}");
    // No Unix socket has a name that another process could connect to.
    let unix = fs::read_to_string("/proc/net/unix").expect("a list of Unix sockets");
    for line in unix.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_own = open.iter().any(|to| to == &format!("socket:[{}]", fields[6]));
        assert!(!is_own || fields.len() == 7, "{line}");
    }
    // The event loop does not spin: an idle process uses about 1 % of the time, and at most 20 % on a busy
    // machine.
    let before = proxy.cpu_time_ns();
    thread::sleep(Duration::from_millis(500));
    let used = proxy.cpu_time_ns() - before;
    assert!(used < 100_000_000, "{used} ns of CPU time in 500 ms without load");
}
