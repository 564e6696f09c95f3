//! The command line: `check`, `state`, `demo`, help, and a start without arguments.
mod stubs;

use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};

use stubs::*;

/// Runs the program with these arguments.
fn run_program(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberlever"));
    command.env_remove("LB_CONFIG").args(args).output().expect("the program starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

/// The example configuration of the repository is valid, and its expectations hold.
#[test]
fn the_example_configuration_is_valid() {
    let root = env!("CARGO_MANIFEST_DIR");
    let output = run_program(&["check", &format!("{root}/deploy/example.toml")]);
    assert!(output.status.success(), "{}", stdout(&output));
    assert!(
        stdout(&output).ends_with("4 routes, 3 pools, 6 nodes; 6 expectations, all hold\n"),
        "{}",
        stdout(&output)
    );
}

/// The configuration of a hosted service is checked with its initial tenants, each by itself.
#[test]
fn a_hosted_configuration_is_checked_with_its_initial_tenants() {
    let root = env!("CARGO_MANIFEST_DIR");
    let output = run_program(&["check", &format!("{root}/deploy/hosted.toml")]);
    assert!(stdout(&output).ends_with("hosted.toml: a hosted service, 0 tenants\n"), "{}", stdout(&output));
    let hosted = std::fs::read_to_string(format!("{root}/deploy/hosted.toml")).expect("the file exists");
    let folder = temp_folder();
    let check = |more: &str, tenant: &str| {
        let path = folder.join("lb.toml");
        std::fs::write(&path, format!("{hosted}{more}")).expect("written");
        std::fs::write(folder.join("t.toml"), tenant).expect("written");
        let output = run_program(&["check", path.to_str().expect("a path")]);
        (output.status.code(), stdout(&output) + &String::from_utf8_lossy(&output.stderr))
    };
    let tenant_section = |name: &str, host: &str| {
        format!("[[tenant]]\nname = \"{name}\"\nhosts = [\"{host}\"]\nfile = \"t.toml\"\n")
    };
    assert_eq!(check(&tenant_section("a", "a.example"), "").0, Some(0));
    let two = tenant_section("a", "*.example") + &tenant_section("b", "b.example");
    let cases = [
        (two, String::new(), 2, "tenant `b`: host \"b.example\" reaches into what tenant `a` has"),
        (tenant_section("A", "a.example"), String::new(), 2, "small letters"),
        (tenant_section("a", "a example"), String::new(), 2, "\"a example\" is no host"),
        (
            tenant_section("a", "a.example"),
            "[[pool]]\nname = \"p\"\nfile = \"x\"\n".to_owned(),
            2,
            "no `file`",
        ),
        (tenant_section("a", "a.example"), "[server]\n".to_owned(), 2, "`server` is the operator's"),
        (
            tenant_section("a", "a.example"),
            "[knowledge]\nfolder = \"x\"\n".to_owned(),
            2,
            "`knowledge` is the operator's",
        ),
        (
            tenant_section("a", "a.example"),
            "[[expect]]\nname = \"x\"\nwhen = { path = \"/\" }\nthen = { refused = 503 }\n".to_owned(),
            1,
            "refused with 404",
        ),
        (tenant_section("a", "a.example").replace("t.toml", "none.toml"), String::new(), 2, "cannot read"),
        (
            "[[admin.token]]\nname = \"x\"\nrole = \"king\"\nsha256 = \"00\"\n".to_owned(),
            String::new(),
            2,
            "not 64 hex digits",
        ),
        (
            "[[route]]\nname = \"r\"\nclass = \"c\"\npool = \"p\"\n".to_owned(),
            String::new(),
            2,
            "a hosted service has no route of its own",
        ),
    ];
    for (more, tenant, code, words) in cases {
        let (exit_code, output) = check(&more, &tenant);
        assert!(exit_code == Some(code) && output.contains(words), "{words}: {exit_code:?} {output}");
    }
}

/// The operators' page on routing shows a configuration, its expectations, mistakes, and the output for each.
#[test]
fn the_worked_example_of_the_routing_page_has_the_shown_output() {
    let page = include_str!("../docs/operators/routing.md");
    let blocks: Vec<(&str, &str)> =
        page.split("```").skip(1).step_by(2).filter_map(|block| block.split_once('\n')).collect();
    let block = |title: &str| {
        let mut found = blocks.iter().filter(|(t, _)| *t == title);
        found.next().unwrap_or_else(|| panic!("no block {title:?}")).1.to_owned()
    };
    let folder = temp_folder();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).expect("written");
    let check = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberlever"));
        command
            .current_dir(&folder)
            .arg("check")
            .arg("lb.toml")
            .args(args)
            .output()
            .expect("the program starts")
    };
    let valid = block("toml lb.toml");
    write("lb.toml", &valid);
    write("expect.toml", &block("toml expect.toml"));
    let output = check(&[]);
    assert_eq!((stdout(&output), output.status.code()), (block("text good"), Some(0)));
    // The line that limits the route to endpoints in the south is missing.
    let line = "nodes = { zones = [\"south\"] }\n";
    assert!(valid.contains(line));
    write("lb.toml", &valid.replace(line, ""));
    let output = check(&[]);
    assert_eq!((stdout(&output), output.status.code()), (block("text failed"), Some(1)));
    let output = check(&["--format", "json"]);
    let json: serde_json::Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!(json["status"], "expectation");
    assert_eq!(json["failures"][0]["route"]["name"], "close-round");
    // A pool name that does not exist.
    write("lb.toml", &valid.replacen("pool = \"pairings\"", "pool = \"pairing\"", 1));
    let output = check(&[]);
    assert_eq!((stdout(&output), output.status.code()), (block("text fault"), Some(2)));
    let output = check(&["--format", "json"]);
    let json: serde_json::Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!((&json["status"], json["faults"][0]["line"].as_u64()), (&"configuration".into(), Some(30)));
    // Two expectations that contradict each other.
    write("lb.toml", &valid);
    write("expect.toml", &(block("toml expect.toml") + &block("toml contradiction")));
    let output = check(&[]);
    assert_eq!((stdout(&output), output.status.code()), (block("text contradiction"), Some(1)));
}

#[test]
fn the_example_of_the_json_rpc_page_is_valid() {
    let page = include_str!("../docs/operators/jsonrpc.md");
    let example = page.split("```toml lb.toml\n").nth(1).and_then(|rest| rest.split("```").next());
    let folder = temp_folder();
    std::fs::write(folder.join("lb.toml"), example.expect("an example")).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberlever"));
    let output =
        command.current_dir(&folder).args(["check", "lb.toml"]).output().expect("the program starts");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
}

#[test]
fn learned_state_files_are_shown_and_compared() {
    let intact = concat!(env!("CARGO_MANIFEST_DIR"), "/crates/learned-state/tests/version-1.bin");
    let run = |args: &[&str]| {
        let output = run_program(&[&["state"], args].concat());
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let (code, shown, _) = run(&["show", intact]);
    assert_eq!(code, Some(0));
    for row in [
        "pairings                               cursor 0.125, t1_a_server 17.25, up_s 86400",
        "pairings / class / standings           age_s 0.001, answer_ms 20, samples 4.5",
        "pairings / node / pairing-1            cold_calls 0.25, fails 2, left_alone_s 1.5",
        "pairings / node / pairing-1 / standings  age_s 0.25, samples 5, times_the_pools 2.5",
    ] {
        let words = |text: &str| text.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
        assert!(shown.lines().any(|line| words(line) == words(row)), "{row}\n{shown}");
    }
    // A damaged section is skipped and reported.
    let folder = temp_folder();
    let mut bytes = std::fs::read(intact).expect("a file");
    *bytes.last_mut().expect("not empty") ^= 1;
    let damaged = folder.join("damaged.bin");
    std::fs::write(&damaged, &bytes).expect("written");
    let damaged = damaged.to_str().expect("text");
    assert!(run(&["show", damaged]).1.ends_with("1 damaged and 0 unknown sections were skipped\n"));
    let (_, differs, _) = run(&["diff", intact, damaged]);
    assert!(differs.contains("pairings / node / pairing-1: fails 2 -> none\n"), "{differs}");
    assert_eq!(run(&["diff", intact, intact]).1, "");
    let json: serde_json::Value =
        serde_json::from_str(&run(&["show", damaged, "--format", "json"]).1).expect("JSON");
    assert_eq!(
        (&json["faults"]["damaged"], &json["figures"]["pairings"]["cursor"]),
        (&1.into(), &0.125.into())
    );
    // A file of another format is reported in one line.
    let (code, _, stderr) = run(&["show", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")]);
    assert_eq!((code, stderr.lines().count()), (Some(2), 1));
    assert!(stderr.contains("not a learned-state file"), "{stderr}");
}

#[test]
fn the_demo_serves_the_lines_that_it_prints() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_amberlever"))
        .args(["demo", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--jsonrpc", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines().map(|l| l.expect("text"));
    let curls: Vec<String> = lines.by_ref().filter(|l| l.trim().starts_with("curl ")).take(2).collect();
    let address: std::net::SocketAddr = curls[0]
        .split("http://")
        .nth(1)
        .and_then(|rest| rest.split('/').next())
        .and_then(|a| a.parse().ok())
        .expect("an address");
    let ask =
        |request: &str| HttpClient::of(std::net::TcpStream::connect(address).expect("connects")).ask(request);
    assert!(curls[0].trim().ends_with("/standings/1"), "{curls:?}");
    assert_eq!(ask(&format!("GET /standings/1 HTTP/1.1\r\nHost: {address}\r\n\r\n")).status(), 200);
    assert!(curls[1].contains("Idempotency-Key: k1") && curls[1].ends_with("/report-result/12"), "{curls:?}");
    let report = format!(
        "POST /report-result/12 HTTP/1.1\r\nHost: {address}\r\nIdempotency-Key: k1\r\nContent-Length: 3\r\n\r\n1-0"
    );
    assert_eq!(ask(&report).status(), 200);
    // The lines for `nc`: a message and its destination.
    let calls: Vec<String> = lines.by_ref().filter(|l| l.contains("| nc ")).take(2).collect();
    let responses = calls.iter().map(|line| {
        let message = line.split('\'').nth(1).expect("quoted");
        let words: Vec<&str> = line.split(' ').collect();
        let address = format!("{}:{}", words[words.len() - 2], words[words.len() - 1]);
        RpcClient::connect(address.parse().expect("an address"), Framing::Lines).ask(message)
    });
    let responses: Vec<serde_json::Value> = responses.collect();
    assert!(responses[0]["result"].as_str().is_some_and(|r| r.contains("GET /standings/1")), "{responses:?}");
    // The key was executed over HTTP, so the call gets that response.
    assert!(
        responses[1]["result"].as_str().is_some_and(|r| r.contains("POST /report-result/12")),
        "{responses:?}"
    );
    let kill = format!("kill -INT {}", child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    assert!(child.wait().expect("the program exits").success());
}

#[test]
fn a_start_without_arguments_names_the_commands_to_try() {
    let output = run_program(&[]);
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert_eq!(
        stderr,
        "amberlever: no command, and LB_CONFIG is not set; try `amberlever demo` or `amberlever --help`\n"
    );
    assert!(!output.status.success());
    let help = stdout(&run_program(&["--help"]));
    for word in ["serve", "check", "demo", "LB_CONFIG"] {
        assert!(help.contains(word), "{word}: {help}");
    }
    assert_eq!(stdout(&run_program(&["--version"])), format!("amberlever {}\n", env!("CARGO_PKG_VERSION")));
    assert_eq!(run_program(&["check", "/nowhere/lb.toml"]).status.code(), Some(2));
}
