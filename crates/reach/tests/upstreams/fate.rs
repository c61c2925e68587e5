//! What became of an upstream to which a connection was lost, without peers.

use hollowbarrow_reach::UpstreamFate;
use rstest::rstest;

use crate::support::{Manner, Upstream, new_reach, probe};

/// An upstream has terminated only if another instance answers in its place, or if it accepts no
/// connection while another upstream does.
#[rstest]
#[case::answers(Manner::Answers("w1"), Some(Manner::Silent), UpstreamFate::Running)]
#[case::alive(Manner::Silent, Some(Manner::Silent), UpstreamFate::Running)]
#[case::terminated(Manner::Refuses, Some(Manner::Silent), UpstreamFate::Terminated)]
#[case::closing(Manner::Closes, Some(Manner::Silent), UpstreamFate::Terminated)]
#[case::all_refuse(Manner::Refuses, Some(Manner::Refuses), UpstreamFate::Unknown)]
#[case::all_close(Manner::Closes, Some(Manner::Closes), UpstreamFate::Unknown)]
#[case::only_one(Manner::Refuses, None, UpstreamFate::Terminated)]
#[case::replaced(Manner::Answers("w2"), Some(Manner::Refuses), UpstreamFate::Terminated)]
#[tokio::test]
async fn fate_of_upstream(
    #[case] lost: Manner,
    #[case] other: Option<Manner>,
    #[case] expected: UpstreamFate,
) {
    let reach = new_reach();
    let lost = Upstream::start(lost, "w1").await;
    let mut others = Vec::new();
    if let Some(other) = other {
        others.push(Upstream::start(other, "w2").await.target.clone());
    }
    let probe = probe("w1");
    // Requests that lost their connections together share the outcome.
    let asked = (0..3).map(|_| reach.learn_fate(&lost.target, &probe, others.clone()));
    let reports = futures_util::future::join_all(asked).await;
    let fates: Vec<UpstreamFate> = reports.iter().map(|report| report.fate).collect();
    assert_eq!(fates, [expected; 3]);
}

/// Guards against crashes that are recorded late where several requests run on the worker: each check of
/// a lost connection began only after the one before, though that had shown that the worker is gone.
#[tokio::test]
async fn termination_shared_with_later_requests() {
    let reach = new_reach();
    let lost = Upstream::start(Manner::Refuses, "w1").await;
    let other = Upstream::start(Manner::Silent, "w2").await;
    let probe = probe("w1");
    let others = vec![other.target.clone()];
    let first = reach.learn_fate(&lost.target, &probe, others.clone());
    let later = async {
        while other.accepted() == 0 {
            tokio::task::yield_now().await;
        }
        reach.learn_fate(&lost.target, &probe, others.clone()).await
    };
    let (first, later) = tokio::join!(first, later);
    assert_eq!((first.fate, later.fate), (UpstreamFate::Terminated, UpstreamFate::Terminated));
    assert_eq!(other.accepted(), 1, "the later request has waited for a check of its own");
}
