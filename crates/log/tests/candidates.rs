//! Followers that a leader offers for admission.

mod support;

use hollowbarrow_schema::DaemonId;
use rstest::rstest;

use support::{Cluster, ELECTION};

/// Guards against the admission of a controller that no longer answers as a follower, for example
/// since its storage failed, while another one does: it would take the place of one that counts.
#[rstest]
fn candidate_voters_without_silent_follower() {
    let mut cluster = Cluster::founded(5, 1);
    let leader = cluster.leader().expect("there is a leader");
    let others: Vec<DaemonId> =
        cluster.voters.iter().filter(|id| **id != leader).cloned().collect();
    let (silent, wiped) = (others[0].clone(), others[1].clone());
    cluster.change(&silent, false);
    cluster.run(ELECTION);
    cluster.isolate(&silent);
    cluster.wipe(&wiped);
    cluster.start(&wiped, false);
    cluster.run(ELECTION * 50);
    let index = cluster.propose_change(&wiped, false).expect("the removal is accepted");
    cluster.run_until(ELECTION, |cluster| cluster.replica(&leader).commit() >= index);
    assert_eq!(cluster.leader(), Some(leader.clone()));
    let candidates = cluster.replica(&leader).candidate_voters(ELECTION * 20, cluster.now);
    assert_eq!(
        candidates,
        [wiped],
        "a follower that was silent for fifty elections is no candidate"
    );
}
