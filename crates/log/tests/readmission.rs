//! Voters that come back with an empty disk: they count again soon after they learn of their
//! admission, however it reaches them, and not before.

mod support;

use hollowbarrow_log::ReplicaFault;
use hollowbarrow_schema::{DaemonId, LogIndex};
use rstest::rstest;

use support::{Cluster, ELECTION, assert_all_pass, ensure};

/// How a removal and an admission reach a voter that was cut off meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Arrival {
    Entries,
    /// A snapshot taken after both, and entries after it.
    SnapshotThenEntries,
    /// A snapshot whose last entry is the admission.
    SnapshotOfAdmission,
    /// As entries; the voter's vote was needed in the current term.
    EntriesAfterVote,
    /// As entries; the leader changes between the removal and the admission.
    LeaderChangedBetween,
    /// As entries; the leader changes between the admission and its arrival.
    LeaderChangedAfter,
    /// As a snapshot; the leader changes between the admission and its arrival.
    SnapshotLeaderChangedAfter,
}

fn follower(cluster: &Cluster) -> DaemonId {
    let leader = cluster.leader().expect("there is a leader");
    cluster.voters.iter().rfind(|id| **id != leader).cloned().expect("there are others")
}

/// A bare majority of all voters that contains the leader and a certain voter.
fn bare_majority(cluster: &Cluster, with: &DaemonId) -> Vec<DaemonId> {
    let leader = cluster.leader().expect("there is a leader");
    let others = cluster.voters.iter().filter(|id| **id != leader && *id != with);
    [leader.clone(), with.clone()]
        .into_iter()
        .chain(others.cloned())
        .take(cluster.voters.len() / 2 + 1)
        .collect()
}

fn committed(cluster: &Cluster, index: LogIndex) -> bool {
    cluster.leader().is_some_and(|leader| cluster.replica(&leader).commit() >= index)
}

/// Has a leader elected by a bare majority that does not contain the former one, so that every vote
/// was needed; returns a follower that voted.
fn elect_by_bare_majority(cluster: &mut Cluster) -> DaemonId {
    let former = cluster.leader().expect("there is a leader");
    let majority = cluster.voters.len() / 2 + 1;
    let group: Vec<DaemonId> =
        cluster.voters.iter().filter(|id| **id != former).take(majority).cloned().collect();
    let term = cluster.replica(&former).term();
    cluster.separate(&group);
    let elected = cluster.run_until(ELECTION * 20, |cluster| {
        cluster.leader().is_some_and(|leader| cluster.replica(&leader).term() > term)
    });
    assert!(elected.is_some(), "a bare majority elects a leader");
    let leader = cluster.leader().expect("there is a leader");
    let term = cluster.replica(&leader).term();
    cluster.mend();
    let counted = cluster.run_until(ELECTION * 20, Cluster::all_count);
    assert!(counted.is_some(), "every voter counts");
    assert_eq!(cluster.replica(&leader).term(), term, "the leader has not changed");
    group.into_iter().find(|id| *id != leader).expect("others voted")
}

/// Wipes a follower, whose vote its leader needed if `voted`, and lets the leader hear from it, while
/// it receives no entries.
fn wipe_follower(cluster: &mut Cluster, voted: bool) -> DaemonId {
    let wiped = if voted { elect_by_bare_majority(cluster) } else { follower(cluster) };
    for _ in 0..5 {
        cluster.propose().expect("there is a leader");
    }
    cluster.run(ELECTION);
    cluster.wipe(&wiped);
    cluster.entries_lost.insert(wiped.clone());
    cluster.start(&wiped, false);
    cluster.run(ELECTION);
    wiped
}

fn arrive(cluster: &mut Cluster, wiped: &DaemonId, arrival: Arrival) {
    cluster.isolate(wiped);
    cluster.change(wiped, false);
    if arrival == Arrival::LeaderChangedBetween {
        cluster.hand_over();
        // The new leader hears from the daemon, which still receives no entries.
        cluster.reconnect(wiped);
        cluster.run(ELECTION * 4);
        cluster.isolate(wiped);
    }
    cluster.change(wiped, true);
    match arrival {
        Arrival::SnapshotOfAdmission => cluster.compact_all(),
        Arrival::SnapshotThenEntries | Arrival::SnapshotLeaderChangedAfter => {
            cluster.propose();
            cluster.run(ELECTION);
            cluster.compact_all();
            cluster.propose();
        }
        _ => {}
    }
    if matches!(arrival, Arrival::LeaderChangedAfter | Arrival::SnapshotLeaderChangedAfter) {
        cluster.hand_over();
    }
    cluster.run(ELECTION * 2);
}

/// Returns whether the readmitted voter counts soon, commits and elects; fails with what was seen.
fn readmission_after(arrival: Arrival, voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let wiped = wipe_follower(&mut cluster, arrival == Arrival::EntriesAfterVote);
    arrive(&mut cluster, &wiped, arrival);
    let lost = matches!(cluster.replica(&wiped).fault(), Some(ReplicaFault::LostDisk));
    ensure(lost, "it counts before it is reached")?;
    cluster.entries_lost.clear();
    cluster.reconnect(&wiped);
    let counted = cluster.run_until(ELECTION * 2, |cluster| cluster.counts(&wiped));
    ensure(counted.is_some(), "the admitted voter does not count")?;
    let counted = cluster.run_until(ELECTION, Cluster::all_count);
    ensure(counted.is_some(), "some voters do not count")?;

    // The leader needs the admitted voter.
    let group = bare_majority(&cluster, &wiped);
    cluster.separate(&group);
    let index = cluster.propose().ok_or("there is no leader")?;
    let done = cluster.run_until(ELECTION, |cluster| committed(cluster, index));
    ensure(done.is_some(), "a majority with the admitted voter does not commit")?;
    cluster.mend();
    cluster.run(ELECTION);

    // The leader's disk is lost together with the power of all.
    let leader = cluster.leader().ok_or("there is no leader")?;
    cluster.wipe(&leader);
    cluster.voters.clone().iter().for_each(|id| cluster.stop(id));
    cluster.calm();
    let elected = cluster.run_until(ELECTION * 30, Cluster::has_leader);
    ensure(elected.is_some(), "no leader after another disk was lost")?;
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against voters that keep the fault after their removal and their admission came together.
/// The deployment would bear one lost disk less than promised.
#[rstest]
#[case::entries(Arrival::Entries)]
#[case::snapshot_then_entries(Arrival::SnapshotThenEntries)]
#[case::snapshot_of_admission(Arrival::SnapshotOfAdmission)]
#[case::entries_after_vote(Arrival::EntriesAfterVote)]
#[case::leader_changed_between(Arrival::LeaderChangedBetween)]
#[case::leader_changed_after(Arrival::LeaderChangedAfter)]
#[case::snapshot_leader_changed_after(Arrival::SnapshotLeaderChangedAfter)]
fn voter_counts_after_changes_came_together(#[case] arrival: Arrival) {
    assert_all_pass(&[3, 5, 6], 10, |voters, seed| readmission_after(arrival, voters, seed));
}

/// Returns whether nothing is committed and nobody elected by a majority that needs a voter with an
/// empty disk.
fn quorums_before_admission(voters: usize, seed: u64, case: (bool, bool)) -> Result<(), String> {
    let (compacted, voted) = case;
    let mut cluster = Cluster::founded(voters, seed);
    let wiped = wipe_follower(&mut cluster, voted);
    if compacted {
        cluster.compact_all();
    }
    cluster.entries_lost.clear();
    cluster.run(ELECTION * 3);
    let leader = cluster.leader().ok_or("there is no leader")?;
    let uncounted = cluster.replica(&leader).uncounted_voters();
    ensure(
        uncounted == [wiped.clone()],
        "the leader does not tell the voter that it must not count",
    )?;
    let lost = matches!(cluster.replica(&wiped).fault(), Some(ReplicaFault::LostDisk));
    ensure(lost, "the wiped voter has no fault")?;
    let group = bare_majority(&cluster, &wiped);
    cluster.separate(&group);
    let index = cluster.propose().ok_or("there is no leader")?;
    let done = cluster.run_until(ELECTION * 3 / 2, |cluster| committed(cluster, index));
    ensure(done.is_none(), "the wiped voter was counted for a commit")?;
    let term = cluster.replica(&leader).term();
    let elected = cluster.run_until(ELECTION * 30, |cluster| {
        group.iter().any(|id| cluster.replica(id).is_leader() && cluster.replica(id).term() > term)
    });
    ensure(elected.is_none(), "the wiped voter was counted in an election")?;
    ensure(!cluster.replica(&leader).is_leader(), "the wiped voter confirmed the leader")?;
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against a voter with an empty disk that is counted before it is admitted: acknowledged
/// entries could be lost with one more disk.
#[rstest]
#[case::entries(false, false)]
#[case::snapshot(true, false)]
#[case::entries_after_vote(false, true)]
#[case::snapshot_after_vote(true, true)]
fn wiped_voter_does_not_count_before_admission(#[case] compacted: bool, #[case] voted: bool) {
    assert_all_pass(&[3, 5, 6], 5, |voters, seed| {
        quorums_before_admission(voters, seed, (compacted, voted))
    });
}

/// Returns whether a majority of good voters elects a leader beside a wiped one that follows the log,
/// after some of them could reach no majority for a time.
fn election_beside_wiped_voter(voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let wiped = wipe_follower(&mut cluster, false);
    cluster.entries_lost.clear();
    cluster.run(ELECTION * 3);
    let group = bare_majority(&cluster, &wiped);
    cluster.separate(&group);
    cluster.run(ELECTION * 10);
    cluster.mend();
    let elected = cluster.run_until(ELECTION * 30, Cluster::has_leader);
    ensure(elected.is_some(), "a majority of good voters elects no leader")?;
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against elections that a voter with an empty disk interrupts: it cannot be elected, and
/// those that grant its trials wait for it in vain.
#[rstest]
fn wiped_voter_does_not_interrupt_elections() {
    assert_all_pass(&[3, 5, 6], 10, election_beside_wiped_voter);
}
