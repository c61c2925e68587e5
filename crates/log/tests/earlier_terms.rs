//! Answers to a message that a replica sent as leader of an earlier term.

mod support;

use hollowbarrow_schema::{DaemonId, LogMessage};
use rstest::rstest;

use support::{Cluster, ELECTION, Packet, assert_all_pass, ensure};

/// Has one leader lead again after others did, and lets a follower answer a heartbeat of its first
/// term only then; returns the leader and that follower.
fn answer_after_second_election(cluster: &mut Cluster) -> Result<(DaemonId, DaemonId), String> {
    let leader = cluster.leader().ok_or("there is no leader")?;
    let term = cluster.replica(&leader).term();
    // Heartbeat rounds of the first term.
    cluster.run(ELECTION * 50);
    cluster.holding.insert(leader.clone());
    cluster.run(ELECTION / 2);
    cluster.holding.clear();
    let late: Vec<Packet> = std::mem::take(&mut cluster.held);
    cluster.hand_over();
    for _ in 0..20 {
        if cluster.leader().as_ref() == Some(&leader) {
            break;
        }
        cluster.hand_over();
    }
    ensure(cluster.leader().as_ref() == Some(&leader), "the former leader is not elected again")?;
    ensure(cluster.replica(&leader).term() > term, "the leader led all the time")?;
    cluster.run(ELECTION);
    let follower = cluster.voters.iter().find(|id| **id != leader).cloned().expect("others");
    let heartbeat = late
        .into_iter()
        .rfind(|packet| packet.to == follower && matches!(packet.message, LogMessage::Append(_)));
    cluster.release(&[heartbeat.ok_or("no heartbeat was held back")?]);
    cluster.run(ELECTION);
    ensure(cluster.leader().as_ref() == Some(&leader), "the leader has changed")?;
    Ok((leader, follower))
}

fn isolated_leader_steps_down(voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let (leader, _) = answer_after_second_election(&mut cluster)?;
    cluster.isolate(&leader);
    cluster.run(ELECTION * 10);
    let replica = cluster.replica(&leader);
    ensure(!replica.is_leader(), "a leader that nobody hears is still confirmed")
}

/// Guards against rounds of an earlier term that count in a later one: an isolated leader would take
/// itself for confirmed while another one commits entries.
#[rstest]
fn rounds_of_earlier_term_do_not_confirm() {
    assert_all_pass(&[3], 10, isolated_leader_steps_down);
}

fn lost_disk_is_noticed(voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let (leader, follower) = answer_after_second_election(&mut cluster)?;
    cluster.wipe(&follower);
    cluster.start(&follower, false);
    cluster.run(ELECTION * 10);
    ensure(cluster.leader().as_ref() == Some(&leader), "the leader has changed")?;
    let uncounted = cluster.replica(&leader).uncounted_voters();
    ensure(uncounted == [follower], "the leader still counts a voter that lost its disk")
}

/// Guards against rounds of an earlier term that hide a lost disk: replies of the next disk would
/// look like delayed ones.
#[rstest]
fn rounds_of_earlier_term_do_not_hide_lost_disk() {
    assert_all_pass(&[3, 5], 10, lost_disk_is_noticed);
}
