//! Answers of plain services that have neither a length nor chunks, and end with their connection.

use hollowbarrow_testkit::RawUpstream;
use rstest::rstest;

use crate::raw_nodes::{PART, Plan, RawCluster, WHOLE, handler};
use crate::support::pause;

impl RawCluster {
    /// Loses the node that holds a part of an answer.
    async fn lose_holder(&self, loss: Loss) {
        self.nodes.held.notified().await;
        // The part arrives before the connection ends.
        pause(200).await;
        let holder = self.nodes.holder.lock().expect("not poisoned").clone();
        let holder = holder.expect("a node holds an answer");
        match loss {
            Loss::Terminated => self.upstreams[&holder].terminate(),
            Loss::Replaced => self.upstreams[&holder].replace(handler(&self.nodes, &holder, 8)),
            Loss::All => self.upstreams.values().for_each(RawUpstream::terminate),
        }
    }
}

/// How a node is lost within an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Its process terminates.
    Terminated,
    /// Its process terminates while the next one already listens at its address.
    Replaced,
    /// The processes of all nodes terminate.
    All,
}

/// Guards against a part of an answer without a length that is forwarded as a complete one, because the
/// connection of a terminated node ends in order.
#[rstest]
#[case::terminated(PART, Loss::Terminated)]
#[case::replaced(PART, Loss::Replaced)]
#[case::nothing_received("", Loss::Terminated)]
#[tokio::test(flavor = "multi_thread")]
async fn cut_read_repeated(#[case] part: &'static str, #[case] loss: Loss) {
    let cluster = RawCluster::start().await;
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Part(part);
    let (reply, ()) = tokio::join!(cluster.read("half"), cluster.lose_holder(loss));
    let log = cluster.cluster.log("a0");
    assert_eq!((reply.status, reply.body.as_str()), (200, WHOLE), "{log}");
    assert_eq!(cluster.nodes.runs("half"), 2);
}

/// Guards against the same where the request may run only once, and against the part as the recorded
/// answer of its key.
#[rstest]
#[case::terminated(PART, Loss::Terminated)]
#[case::replaced(PART, Loss::Replaced)]
#[case::nothing_received("", Loss::Terminated)]
#[case::all_lost(PART, Loss::All)]
#[tokio::test(flavor = "multi_thread")]
async fn cut_hold_not_forwarded(#[case] part: &'static str, #[case] loss: Loss) {
    let cluster = RawCluster::start().await;
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Part(part);
    let (reply, ()) = tokio::join!(cluster.hold("half"), cluster.lose_holder(loss));
    let log = cluster.cluster.log("a0");
    assert!(reply.status >= 500, "{} {}: {log}", reply.status, reply.body);
    assert_eq!(reply.ran(), "unknown", "{}", reply.body);
    let again = cluster.hold("half").await;
    assert_eq!(again.code(), "outcome_unknown", "{} {}: {log}", again.status, again.body);
    assert_eq!(cluster.nodes.runs("half"), 1);
}

/// Guards against sound answers that count as cut: the hold runs once, and its answer is recorded.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn sound_hold_recorded() {
    let cluster = RawCluster::start().await;
    for _ in 0..2 {
        let reply = cluster.hold("sound").await;
        let log = cluster.cluster.log("a0");
        assert_eq!((reply.status, reply.body.as_str()), (200, WHOLE), "{log}");
    }
    assert_eq!(cluster.nodes.runs("sound"), 1);
}
