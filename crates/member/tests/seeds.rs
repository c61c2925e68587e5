//! Tests of settings whose seeds change while a daemon runs.

use std::time::Duration;

use hollowbarrow_member::follow_seeds;
use hollowbarrow_schema::DaemonId;
use rstest::rstest;

/// Longest time for a change to be noticed.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which an unchanged file is read several times.
const SEVERAL_READS: Duration = Duration::from_millis(2500);

fn settings_with(seeds: &str) -> String {
    format!(
        r#"{{"name": "d1", "zone": "a", "ip": "10.0.0.1", "mesh_port": 7000, "cluster_keys": ["k"],
        "seeds": {seeds}}}"#
    )
}

/// Guards against daemons that take the seeds of a file that is half written, or none.
#[rstest]
#[case::truncated(&settings_with(r#"["10.0.0.3"]"#)[..90])]
#[case::invalid(&settings_with(r#"["no address"]"#))]
#[case::empty("")]
#[tokio::test]
async fn follow_seeds_past_invalid_file(#[case] invalid: &str) {
    let folder = tempfile::tempdir().expect("a folder can be created");
    let path = folder.path().join("settings.jsonc");
    let write = |text: &str| std::fs::write(&path, text).expect("the file can be written");
    write(&settings_with(r#"["10.0.0.2"]"#));
    let at_start = vec![DaemonId::from("10.0.0.2:7000")];
    let (sender, changes) = std::sync::mpsc::channel();
    let replace = move |seeds| sender.send(seeds).expect("the test receives changes");
    tokio::spawn(follow_seeds(path.clone(), at_start, replace));
    tokio::time::sleep(SEVERAL_READS).await;
    write(invalid);
    tokio::time::sleep(SEVERAL_READS).await;
    assert!(changes.try_recv().is_err(), "nothing valid has changed");
    write(&settings_with(r#"["10.0.0.4:80", "10.0.0.2"]"#));
    let change = tokio::task::spawn_blocking(move || changes.recv_timeout(NOTICE_TIMEOUT));
    let change = change.await.expect("the receiver does not panic").expect("the seeds change");
    assert_eq!(change, [DaemonId::from("10.0.0.4:7000"), DaemonId::from("10.0.0.2:7000")]);
}
