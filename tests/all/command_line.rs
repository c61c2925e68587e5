//! Command line: exit codes, reports of invalid settings, the demo and the `why` subcommand.

use std::process::{Command, Output};

use rstest::rstest;

fn hollowbarrow(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hollowbarrow"))
        .args(arguments)
        .output()
        .expect("the binary can be executed")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
fn run_demo() {
    let output = hollowbarrow(&["demo"]);
    let output_text = text(&output.stdout);
    assert!(output.status.success(), "{output_text}\n{}", text(&output.stderr));
    assert!(output_text.contains("it ran once"), "{output_text}");
    assert!(output_text.contains("repaired_s="), "{output_text}");
}

#[rstest]
fn check_example() {
    let output = hollowbarrow(&["check", "examples/taborttuz/entry-a-1.jsonc"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[rstest]
fn check_faults() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("bad.jsonc");
    std::fs::write(&path, "{\n  \"id\": 7,\n  \"colour\": true\n}\n")
        .expect("the temporary folder is writable");
    let output = hollowbarrow(&["check", &path.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(2));
    let output_text = text(&output.stderr);
    assert!(
        output_text.contains("line 2: id: found the number 7, allowed: string"),
        "{output_text}"
    );
    assert!(output_text.contains("line 3: colour: found an unknown field"), "{output_text}");
    assert!(output_text.contains("organisations: found nothing"), "{output_text}");
}

#[rstest]
fn check_member_faults() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("member.jsonc");
    let valid = r#"{"name": "g", "zone": "a", "ip": "10.0.0.1", "mesh_port": 7000,
        "seeds": ["10.0.0.2:80"], "cluster_keys": ["k"], "callers": "10.0.0.1:80"}"#;
    std::fs::write(&path, valid).expect("the temporary folder is writable");
    let check = || hollowbarrow(&["check-member", &path.to_string_lossy()]);
    let output = check();
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("for a gateway"));
    std::fs::write(&path, valid.replace("10.0.0.2:80", "camp"))
        .expect("the temporary folder is writable");
    let output = check();
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("seeds[0]"), "{}", text(&output.stderr));
}

#[rstest]
fn why_lists_causes() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let gateway = folder.path().join("gateway.log");
    let controller = folder.path().join("controller.log");
    let at = |second: u32, rest: &str| {
        format!("time=2026-12-02T10:00:{second:02}.000Z level=info {rest}\n")
    };
    let failed = "event=request_failed request=\"q1\" route=r status=502 cause=outcome_unknown held_ms=9 sends=1 last=\"w-1: the upstream did not answer\"";
    let other = "event=request_failed request=\"q2\" route=r status=503 cause=workers_full held_ms=1 sends=0 last=\"\"";
    std::fs::write(&gateway, at(20, failed) + &at(21, other))
        .expect("the temporary folder is writable");
    let probed = at(19, "event=worker_probed worker=w-1 outcome=Silent");
    let early = at(2, "event=worker_probed worker=w-1 outcome=Answered");
    let unrelated = at(20, "event=worker_probed worker=w-2 outcome=Silent");
    std::fs::write(&controller, early + &probed + &unrelated)
        .expect("the temporary folder is writable");
    let files = [gateway.to_string_lossy(), controller.to_string_lossy()];
    let output = hollowbarrow(&["why", "q1", &files[0], &files[1]]);
    let output_text = text(&output.stdout);
    let lines: Vec<&str> = output_text.lines().collect();
    assert_eq!(lines.len(), 2, "{output_text}");
    assert!(lines[0].contains("worker_probed worker=w-1 outcome=Silent"), "{output_text}");
    assert!(lines[1].contains("request=\"q1\""), "{output_text}");
    assert_eq!(hollowbarrow(&["why", "q9", &files[0]]).status.code(), Some(3));
}

/// Logs of a recorded load test, reduced to the lines about three requests.
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
    for entry in std::fs::read_dir(folder).expect("the folder of the recorded logs is readable") {
        arguments.push(
            entry.expect("the folder entry is readable").path().to_string_lossy().into_owned(),
        );
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let output = hollowbarrow(&arguments);
    let output_text = text(&output.stdout);
    let mut rest = output_text.as_str();
    for pattern in expected {
        let at = rest
            .find(pattern)
            .unwrap_or_else(|| panic!("no {pattern:?}, in order, in {output_text}"));
        rest = &rest[at + pattern.len()..];
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
    // The socket is bound and does not listen. A port that is only known to be free could be taken
    // by a daemon of another test, which would answer.
    let bound_socket = tokio::net::TcpSocket::new_v4().expect("a socket can be created");
    bound_socket
        .bind("127.0.0.1:0".parse().expect("the address is valid"))
        .expect("a free local port can be bound");
    let server = format!("http://{}", bound_socket.local_addr().expect("the socket is bound"));
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
        let output_text = text(&hollowbarrow(&[subcommand, "--help"]).stdout);
        assert!(output_text.contains("Example"), "{subcommand} has no example");
    }
}
