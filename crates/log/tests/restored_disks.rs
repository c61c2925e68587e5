//! Disks that are restored from an older copy: they keep their id and have forgotten what they
//! acknowledged since. The leader that they acknowledged it to makes them notice that.

mod support;

use std::time::Duration;

use hollowbarrow_log::ReplicaFault;
use hollowbarrow_schema::DaemonId;
use rstest::rstest;

use support::{Cluster, ELECTION, Network, assert_all_pass, ensure};

/// Longest time until a voter whose disk was restored counts again: heartbeats that tell what it
/// acknowledged and which disk it has, two changes of the voters, and a snapshot that is sent again.
const COUNTED_WITHIN: Duration = Duration::from_millis(400);

/// How a restored log differs from the one that was copied.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Missing {
    /// It lacks entries that the leader still has.
    Entries,
    /// It lacks entries that the leader has replaced by a snapshot.
    EntriesBeforeSnapshot,
    /// It was copied in an earlier term.
    EntriesOfLaterTerm,
}

fn follower(cluster: &Cluster) -> DaemonId {
    let leader = cluster.leader().expect("there is a leader");
    cluster.voters.iter().rfind(|id| **id != leader).cloned().expect("there are others")
}

fn propose_some(cluster: &mut Cluster) {
    for _ in 0..5 {
        cluster.propose();
        cluster.run(ELECTION / 4);
    }
}

/// Returns whether a voter that was restored from a copy is removed and admitted again.
fn readmitted_after_restore(missing: Missing, voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let restored = follower(&cluster);
    propose_some(&mut cluster);
    let copy = cluster.backup(&restored);
    if missing == Missing::EntriesOfLaterTerm {
        cluster.hand_over();
        while cluster.leader().as_ref() == Some(&restored) {
            cluster.hand_over();
        }
    }
    propose_some(&mut cluster);
    if missing == Missing::EntriesBeforeSnapshot {
        cluster.compact_all();
    }
    cluster.readmits = true;
    cluster.restore(&restored, &copy);
    cluster.run(ELECTION);
    cluster.start(&restored, false);
    let changed = cluster
        .run_until(COUNTED_WITHIN, |cluster| cluster.changed == 2 && cluster.counts(&restored));
    ensure(changed.is_some(), "the restored voter is not removed and admitted")?;
    cluster.run(ELECTION * 10);
    ensure(cluster.changed == 2, "the restored voter is removed again")?;
    ensure(cluster.all_count(), "not every voter counts")?;
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against a restored disk that goes on counting with what it has forgotten.
#[rstest]
#[case::entries(Missing::Entries)]
#[case::entries_before_snapshot(Missing::EntriesBeforeSnapshot)]
#[case::entries_of_later_term(Missing::EntriesOfLaterTerm)]
fn restored_voter_is_readmitted(#[case] missing: Missing) {
    assert_all_pass(&[3, 5, 6], 10, |voters, seed| readmitted_after_restore(missing, voters, seed));
}

/// Returns whether a restored voter that hears its leader once, and then no more, elects nobody
/// without an entry that it had acknowledged.
fn acknowledged_entry_after_restore(voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let leader = cluster.leader().ok_or("no leader")?;
    let restored = follower(&cluster);
    let copy = cluster.backup(&restored);
    let others: Vec<DaemonId> =
        cluster.voters.iter().filter(|id| **id != leader && **id != restored).cloned().collect();
    // The leader commits an entry with the restored voter and as few others as possible.
    let needed = voters / 2 - 1;
    let group: Vec<DaemonId> =
        [&leader, &restored].into_iter().chain(&others[..needed]).cloned().collect();
    cluster.separate(&group);
    let index = cluster.propose().ok_or("no leader")?;
    let done = cluster.run_until(ELECTION, |cluster| cluster.replica(&leader).commit() >= index);
    ensure(done.is_some(), "a majority does not commit")?;
    cluster.restore(&restored, &copy);
    cluster.entries_lost.insert(restored.clone());
    cluster.start(&restored, false);
    cluster.run(ELECTION);
    let lost = matches!(cluster.replica(&restored).fault(), Some(ReplicaFault::LostDisk));
    // The others that hold the entry are lost with the leader.
    cluster.mend();
    cluster.isolate(&leader);
    others[..needed].iter().for_each(|id| cluster.isolate(id));
    cluster.run(ELECTION * 30);
    cluster.broken.clone().map_or(Ok(()), Err)?;
    ensure(lost, "the restored voter does not notice that it has forgotten")?;
    cluster.entries_lost.clear();
    cluster.calm();
    cluster.readmits = true;
    let counted = cluster.run_until(ELECTION * 60, Cluster::all_count);
    ensure(counted.is_some(), "not every voter counts at the end")?;
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against a leader that lacks what was acknowledged, elected by a restored disk.
#[rstest]
fn acknowledged_entry_survives_restored_disk() {
    assert_all_pass(&[3, 5, 6], 20, acknowledged_entry_after_restore);
}

/// Returns whether voters keep their disks while messages are lost, late, doubled and reordered and
/// daemons lose their power.
fn kept_in_rough_network(voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    cluster.readmits = true;
    cluster.network = Network { straggling: 0.2, ..Network::ROUGH };
    for round in 0..40 {
        propose_some(&mut cluster);
        let id = cluster.voters[round % voters].clone();
        if round % 3 == 0 {
            cluster.stop(&id);
            cluster.run(ELECTION / 2);
            cluster.start(&id, false);
        } else if round % 3 == 1 {
            cluster.compact(&id);
        }
    }
    cluster.calm();
    let counted = cluster.run_until(ELECTION * 60, Cluster::all_count);
    ensure(counted.is_some(), "not every voter counts at the end")?;
    ensure(cluster.changed == 0, "a voter that forgot nothing was removed")?;
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against voters that take delayed messages for a sign that they have forgotten something.
#[rstest]
fn sound_disks_are_kept_in_rough_network() {
    assert_all_pass(&[3, 5], 30, kept_in_rough_network);
}
