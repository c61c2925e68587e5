//! Whether an instance of an upstream still runs after a connection to it has ended.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_reach::{InstanceState, Reach};
use rstest::rstest;
use tokio::time::Instant;

use crate::support::{Manner, Upstream, new_reach, probe};

/// Puts a connection that has carried an answer into the pool.
async fn keep_connection(reach: &Arc<Reach>, upstream: &Upstream) {
    let state = reach.check_instance(&upstream.target, &probe("w1")).await;
    assert_eq!(state, InstanceState::Running);
}

/// Without a connection from before, only an answer of the instance itself shows that it runs.
#[rstest]
#[case::answers(Manner::Answers("w1"), InstanceState::Running)]
#[case::replaced(Manner::Answers("w2"), InstanceState::Replaced)]
#[case::refuses(Manner::Refuses, InstanceState::Refused)]
#[case::closes(Manner::Closes, InstanceState::Unreached)]
#[case::silent(Manner::Silent, InstanceState::Silent)]
#[tokio::test]
async fn check_on_new_connection(#[case] manner: Manner, #[case] expected: InstanceState) {
    let reach = new_reach();
    let upstream = Upstream::start(manner, "w1").await;
    assert_eq!(reach.check_instance(&upstream.target, &probe("w1")).await, expected);
}

/// A connection from before belongs to the instance that has answered on it.
#[rstest]
#[case::listener_closed(Manner::Refuses, InstanceState::Running)]
#[case::new_connections_closed(Manner::Closes, InstanceState::Running)]
#[tokio::test]
async fn check_on_kept_connection(#[case] later: Manner, #[case] expected: InstanceState) {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Answers("w1"), "w1").await;
    keep_connection(&reach, &upstream).await;
    upstream.set_manner(later).await;
    assert_eq!(reach.check_instance(&upstream.target, &probe("w1")).await, expected);
}

/// A process that stands still keeps its connections open. Beside a silent connection alone it may have
/// terminated: the end of that one may be lost.
#[rstest]
#[case::stands_still(Manner::Silent, InstanceState::Running)]
#[case::terminated(Manner::Refuses, InstanceState::Refused)]
#[case::replaced(Manner::Answers("w2"), InstanceState::Replaced)]
#[case::answers_anew(Manner::Answers("w1"), InstanceState::Running)]
#[tokio::test]
async fn check_on_silent_connection(#[case] later: Manner, #[case] expected: InstanceState) {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Answers("w1"), "w1").await;
    keep_connection(&reach, &upstream).await;
    upstream.stand_still();
    upstream.set_manner(later).await;
    assert_eq!(reach.check_instance(&upstream.target, &probe("w1")).await, expected);
}

/// An idle connection on which nothing was answered may have been accepted by the kernel alone.
#[rstest]
#[tokio::test]
async fn check_on_unused_connection() {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Silent, "w1").await;
    let limit = Instant::now() + Duration::from_secs(20);
    let opened = reach.open(&upstream.target, limit).await;
    opened.expect("the upstream accepts connections").give_back();
    let state = reach.check_instance(&upstream.target, &probe("w1")).await;
    assert_eq!(state, InstanceState::Silent);
}

/// Guards against taking the surplus answer to an earlier request for a sign of life.
#[rstest]
#[tokio::test]
async fn check_ignores_surplus_answer() {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Surplus, "w1").await;
    let state = reach.check_instance(&upstream.target, &probe("w1")).await;
    assert_eq!(state, InstanceState::Unreached);
}

/// A check that began before a caller asked shows nothing to it.
#[rstest]
#[tokio::test]
async fn check_begins_after_question() {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Silent, "w1").await;
    let (first, target) = (Arc::clone(&reach), upstream.target.clone());
    let first = tokio::spawn(async move { first.check_instance(&target, &probe("w1")).await });
    // The first check has opened its connection before the upstream changes its manner.
    tokio::time::sleep(Duration::from_millis(50)).await;
    upstream.set_manner(Manner::Answers("w1")).await;
    let probe = probe("w1");
    let second = reach.check_instance(&upstream.target, &probe).await;
    assert_eq!(first.await.expect("the check ends"), InstanceState::Silent);
    assert_eq!(second, InstanceState::Running);
}

/// However many answers end at once, one check runs for them and one waits.
#[rstest]
#[tokio::test]
async fn checks_shared() {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Answers("w1"), "w1").await;
    let probe = probe("w1");
    let asked = (0..1000).map(|_| reach.check_instance(&upstream.target, &probe));
    let states = futures_util::future::join_all(asked).await;
    assert!(states.iter().all(|state| *state == InstanceState::Running));
    assert!(upstream.calls() <= 2, "{} calls", upstream.calls());
}

/// An upstream that answers later is found running, one that is replaced meanwhile is not.
#[rstest]
#[case::answers(Manner::Answers("w1"), InstanceState::Running)]
#[case::replaced(Manner::Answers("w2"), InstanceState::Replaced)]
#[tokio::test]
async fn confirm_waits_for_answer(#[case] later: Manner, #[case] expected: InstanceState) {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Closes, "w1").await;
    let probe = probe("w1");
    let until = Instant::now() + Duration::from_secs(60);
    let confirming = reach.confirm_instance(&upstream.target, &probe, until);
    let change = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        upstream.set_manner(later).await;
    };
    let (state, ()) = tokio::join!(confirming, change);
    assert_eq!(state, expected);
}

/// An upstream that stops listening while it sends an answer is asked on the connection of an earlier
/// check.
#[rstest]
#[tokio::test]
async fn watch_keeps_connection() {
    let reach = new_reach();
    let upstream = Upstream::start(Manner::Answers("w1"), "w1").await;
    let probe = probe("w1");
    let watch = reach.watch_instance(&upstream.target, &probe);
    while upstream.calls() == 0 {
        tokio::task::yield_now().await;
    }
    upstream.set_manner(Manner::Refuses).await;
    drop(watch);
    assert_eq!(reach.check_instance(&upstream.target, &probe).await, InstanceState::Running);
}
