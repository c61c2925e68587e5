//! What became of an upstream to which a connection was lost, without peers.

use hollowbarrow_reach::{OtherUpstreams, UpstreamFate};
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
    let others = OtherUpstreams { serving: others, idle: Vec::new() };
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
    let others = OtherUpstreams { serving: vec![other.target.clone()], idle: Vec::new() };
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

/// Guards against crashes that count as lost paths because all upstreams that take requests have
/// terminated, though others of the service run.
#[rstest]
#[case::idle_runs(Manner::Silent, UpstreamFate::Terminated)]
#[case::idle_refuses(Manner::Refuses, UpstreamFate::Unknown)]
#[tokio::test]
async fn fate_without_serving_upstreams(#[case] idle: Manner, #[case] expected: UpstreamFate) {
    let reach = new_reach();
    let lost = Upstream::start(Manner::Refuses, "w1").await;
    let serving = Upstream::start(Manner::Refuses, "w2").await;
    let idle = Upstream::start(idle, "w3").await;
    let others =
        OtherUpstreams { serving: vec![serving.target.clone()], idle: vec![idle.target.clone()] };
    let report = reach.learn_fate(&lost.target, &probe("w1"), others).await;
    assert_eq!(report.fate, expected);
}
