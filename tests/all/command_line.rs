//! The command line: exit codes, faults of settings, and the demo.

use std::process::{Command, Output};

use rstest::rstest;

fn hollowbarrow(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hollowbarrow"))
        .args(arguments)
        .output()
        .expect("the binary runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
fn run_demo() {
    let output = hollowbarrow(&["demo"]);
    let told = text(&output.stdout);
    assert!(output.status.success(), "{told}\n{}", text(&output.stderr));
    assert!(told.contains("it ran once"), "{told}");
    assert!(told.contains("repaired_s="), "{told}");
}

#[rstest]
fn check_example() {
    let output = hollowbarrow(&["check", "examples/taborttuz/entry-a-1.jsonc"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[rstest]
fn check_faults() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let path = folder.path().join("bad.jsonc");
    std::fs::write(&path, "{\n  \"id\": 7,\n  \"colour\": true\n}\n").expect("writable");
    let output = hollowbarrow(&["check", &path.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(2));
    let told = text(&output.stderr);
    assert!(told.contains("line 2: id: found the number 7, allowed: string"), "{told}");
    assert!(told.contains("line 3: colour: found an unknown field"), "{told}");
    assert!(told.contains("organisations: found nothing"), "{told}");
}

#[rstest]
fn check_member_faults() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let path = folder.path().join("member.jsonc");
    let sound = r#"{"name": "g", "zone": "a", "ip": "10.0.0.1", "mesh_port": 7000,
        "seeds": ["10.0.0.2:80"], "cluster_keys": ["k"], "callers": "10.0.0.1:80"}"#;
    std::fs::write(&path, sound).expect("writable");
    let check = || hollowbarrow(&["check-member", &path.to_string_lossy()]);
    let output = check();
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("for a gateway"));
    std::fs::write(&path, sound.replace("10.0.0.2:80", "camp")).expect("writable");
    let output = check();
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("seeds[0]"), "{}", text(&output.stderr));
}

#[rstest]
fn why_tells_story() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let gateway = folder.path().join("gateway.log");
    let controller = folder.path().join("controller.log");
    let at = |second: u32, rest: &str| {
        format!("time=2026-12-02T10:00:{second:02}.000Z level=info {rest}\n")
    };
    let failed = "event=request_failed request=\"q1\" route=r status=502 cause=outcome_unknown held_ms=9 sends=1 last=\"w-1: the upstream did not answer\"";
    let other = "event=request_failed request=\"q2\" route=r status=503 cause=workers_full held_ms=1 sends=0 last=\"\"";
    std::fs::write(&gateway, at(20, failed) + &at(21, other)).expect("writable");
    let probed = at(19, "event=worker_probed worker=w-1 outcome=Silent");
    let early = at(2, "event=worker_probed worker=w-1 outcome=Answered");
    let unrelated = at(20, "event=worker_probed worker=w-2 outcome=Silent");
    std::fs::write(&controller, early + &probed + &unrelated).expect("writable");
    let files = [gateway.to_string_lossy(), controller.to_string_lossy()];
    let output = hollowbarrow(&["why", "q1", &files[0], &files[1]]);
    let told = text(&output.stdout);
    let lines: Vec<&str> = told.lines().collect();
    assert_eq!(lines.len(), 2, "{told}");
    assert!(lines[0].contains("worker_probed worker=w-1 outcome=Silent"), "{told}");
    assert!(lines[1].contains("request=\"q1\""), "{told}");
    assert_eq!(hollowbarrow(&["why", "q9", &files[0]]).status.code(), Some(3));
}

/// Lines of a day that was played on the users' bench, cut to what concerns three requests.
#[rstest]
#[case::refused_without_a_worker(
    "8c4d46f4c1ed1fea",
    &["event=quorum leader=", "event=free_workers", "event=replicas service=tije0a", "cause=workers_full"]
)]
#[case::broken_off_twice(
    "d565c4eee8d67e4c",
    &["event=stream_resumed", "worker=i-1e19cea08e outcome=Answered", "cause=outcome_unknown"]
)]
#[case::outcome_unknown(
    "3e321eda5668b2ee",
    &["event=worker_left_out worker=i-a5deb5a671", "cause=outcome_unknown"]
)]
fn why_recorded_day(#[case] request: &str, #[case] expected: &[&str]) {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/all/recorded");
    let mut arguments = vec!["why".to_owned(), request.to_owned()];
    for entry in std::fs::read_dir(folder).expect("the recorded logs are there") {
        arguments.push(entry.expect("readable").path().to_string_lossy().into_owned());
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let output = hollowbarrow(&arguments);
    let told = text(&output.stdout);
    let mut rest = told.as_str();
    for words in expected {
        let at = rest.find(words).unwrap_or_else(|| panic!("no {words:?}, in order, in {told}"));
        rest = &rest[at + words.len()..];
    }
}

#[rstest]
#[case::no_subcommand(&[], 2)]
#[case::unknown_subcommand(&["explode"], 2)]
#[case::missing_file(&["check", "nowhere.jsonc"], 2)]
#[case::help(&["--help"], 0)]
#[case::subcommand_help(&["apply", "--help"], 0)]
#[case::completions(&["completions", "bash"], 0)]
#[case::no_content(&["release", "not-a-content"], 2)]
fn exit_with_code(#[case] arguments: &[&str], #[case] code: i32) {
    assert_eq!(hollowbarrow(arguments).status.code(), Some(code));
}

#[rstest]
fn exit_not_reached() {
    // It is bound and does not listen. A port that was only free a moment ago may be taken by a
    // daemon of another test, which answered once.
    let held = tokio::net::TcpSocket::new_v4().expect("a socket can be made");
    held.bind("127.0.0.1:0".parse().expect("an address")).expect("a port is free");
    let server = format!("http://{}", held.local_addr().expect("bound"));
    let output = hollowbarrow(&["status", "--server", &server]);
    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
}

#[rstest]
fn help_has_examples() {
    for subcommand in [
        "serve",
        "check",
        "demo",
        "nodes",
        "label",
        "groups",
        "apply",
        "delete",
        "drain",
        "status",
        "explain",
        "voters",
        "hash-key",
        "completions",
    ] {
        let told = text(&hollowbarrow(&[subcommand, "--help"]).stdout);
        assert!(told.contains("Example"), "{subcommand} has no example");
    }
}
