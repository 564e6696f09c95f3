//! The simulator program, from its input to its output.
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the program with this input.
fn run_simulator(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_amberlever-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // It stops reading at the first invalid line.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the program ends")
}

/// The settings of a proxy; `extra` holds further fields, each after a comma.
fn settings(extra: &str) -> String {
    let class = r#"{"name":"a","promise_ms":100,"deadline_ms":400,"semantics":"idempotent","gain":1}"#;
    format!(
        r#"{{"balancers":1,"rank":0,"stage":0,"stages":["t"],"zones":["z"],"my_zone":"z","tick_ms":1,
"discovery":"pushed","limits":{{"max_attempts":3,"cancel":true}},"request_classes":[{class}]{extra}}}"#
    )
    .replace('\n', "")
}

/// The events that start an instance with one endpoint.
fn start(name: &str, extra: &str) -> String {
    format!(
        "SWITCH_TO {name}\nPOWER_ON 7 {}\nPOOL 0 1\nBACKEND 1 1 - z k 5 -\nENDPOINTS 0 2 1\n",
        settings(extra)
    )
}

fn submit(id: u32) -> String {
    format!("SUBMIT {id} - 0 - a 400 -\n")
}

/// Asserts that the program fails and names this line and this cause.
#[track_caller]
fn assert_fails(input: &str, line: usize, cause: &str) {
    let output = run_simulator(input);
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success(), "it continued: {text}");
    assert!(text.contains(&format!("line {line}")) && text.contains(cause), "{text}");
}

#[test]
fn instances_decide_independently() {
    let input = format!(
        "BATCH 1000 1\n{}{}SWITCH_TO proxy-2\nPOWER_ON 8 {}\n{}OVER_TO_YOU\n",
        start("proxy-1", r#","unheard_of":{"x":1}"#),
        submit(11),
        settings(""),
        submit(12),
    );
    let output = run_simulator(&input);
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success());
    assert!(text.contains("TRANSMIT 11 5 1100.000"), "{text}");
    assert!(text.contains("FOR proxy-2\n") && text.contains("DECLINE 12 0.000"), "{text}");
    assert!(text.ends_with("EOR 1\n"), "{text}");
}

#[test]
fn a_restarted_instance_has_no_state() {
    let input = format!(
        "BATCH 1000 1\n{}{}OVER_TO_YOU\nBATCH 1001 2\nSWITCH_TO p\nKILLED\nPOWER_ON 9 {}\n{}OVER_TO_YOU\n",
        start("p", ""),
        submit(1),
        settings(""),
        submit(2),
    );
    let text = String::from_utf8(run_simulator(&input).stdout).expect("text");
    assert!(text.contains("TRANSMIT 1 5") && text.contains("DECLINE 2"), "{text}");
}

#[test]
fn an_error_names_the_line_and_the_cause() {
    let head = format!("BATCH 1000 1\n{}", start("p", ""));
    assert_fails("HELLO\n", 1, "expected BATCH");
    assert_fails("BATCH x 1\n", 1, "not a number");
    assert_fails(&format!("{head}NONSENSE 1\n"), 7, "unknown event");
    assert_fails(&format!("{head}SUBMIT 1 - 0 - b 400 -\n"), 7, "unknown class");
    assert_fails(&format!("{head}SUBMIT 1 - 0 - a\n"), 7, "a value is missing");
    assert_fails(&format!("{head}RESOLVED 1 0 5 MAYBE 1 0 -\n"), 7, "unknown outcome");
    assert_fails(&format!("{head}HEARD 1 0x\n"), 7, "not hex");
    assert_fails(&format!("{head}DUE 1 2\n"), 7, "unexpected value after the last field");
    assert_fails(&head, 6, "ended inside a batch");
    assert_fails("BATCH 1 1\nDUE 1\n", 2, "no instance");
    assert_fails("BATCH 1 1\nSWITCH_TO p\nPOWER_ON 1 {\n", 3, "bad settings");
    assert_fails(
        &format!("BATCH 1 1\n{}", start("p", r#","contract":{"cold_from":-1}"#)),
        3,
        "unusable settings",
    );
}
