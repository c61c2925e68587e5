//! Voters that start alone after a loss of power, and what they know to be committed.

mod support;

use rstest::rstest;
use support::{Cluster, ELECTION, assert_all_pass, ensure};

/// Number of seeds for each number of voters.
const SEEDS: u64 = 40;
/// Number of entries that are acknowledged one after the other.
const ENTRIES: u64 = 20;

/// Guards against a voter without a leader that applies only its last snapshot, however many entries
/// were acknowledged since.
#[rstest]
fn voter_cut_off_after_power_loss_lacks_one_entry() {
    assert_all_pass(&[1, 3, 5], SEEDS, |voters, seed| {
        let mut cluster = Cluster::founded(voters, seed);
        cluster.compact_all();
        for _ in 0..ENTRIES {
            let index = cluster.propose().ok_or("no leader")?;
            let applied = cluster.run_until(ELECTION * 4, |cluster| {
                cluster.voters.iter().all(|id| cluster.applied(id) >= *index)
            });
            ensure(applied.is_some(), "an entry was not applied everywhere")?;
        }
        let acknowledged = cluster.acknowledged;
        let ids = cluster.voters.clone();
        ids.iter().for_each(|id| cluster.stop(id));
        for id in &ids {
            cluster.isolate(id);
        }
        for id in &ids {
            cluster.start(id, false);
            cluster.run(ELECTION / 2);
            let replica = cluster.replica(id);
            ensure(*replica.commit() + 1 >= acknowledged, "a voter starts two entries behind")?;
        }
        cluster.mend();
        let led = cluster.run_until(ELECTION * 40, Cluster::has_leader);
        ensure(led.is_some(), "no leader")?;
        cluster.broken.map_or(Ok(()), Err)
    });
}
