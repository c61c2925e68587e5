//! Disks that are lost one after the other, while messages are lost, late and reordered and daemons
//! lose their power: nothing that a leader acknowledged is lost, and all voters count again.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowbarrow_schema::{DaemonId, LogIndex, LogMessage};
use rand::RngExt;
use rstest::rstest;
use tokio::time::Instant;

use support::{Cluster, ELECTION, Network, Packet, assert_all_pass, ensure};

/// Interval of random faults.
const PAUSE: Duration = Duration::from_millis(5);
/// Longest time from the end of all faults until there is a leader.
const LEADER_WITHIN: Duration = Duration::from_secs(6);
/// Longest time from the beginning of a leader's term, without faults, until every voter counts: a
/// heartbeat that tells which voters do not, two changes of the voters for each, and heartbeats.
const COUNTED_WITHIN: Duration = Duration::from_millis(400);

/// Random faults of a cluster.
struct Faults {
    cluster: Cluster,
    /// Stopped daemons and when they start again.
    stopped: BTreeMap<DaemonId, Instant>,
    /// Voters that lost their disks and do not count yet.
    lost: BTreeSet<DaemonId>,
    /// Whether a voter may lose its new disk before it counts again.
    twice: bool,
}

impl Faults {
    fn new(voters: usize, seed: u64, twice: bool) -> Self {
        let mut cluster = Cluster::founded(voters, seed);
        cluster.readmits = true;
        Self { cluster, stopped: BTreeMap::new(), lost: BTreeSet::new(), twice }
    }

    fn bearable(&self) -> usize {
        (self.cluster.voters.len() - 1) / 2
    }

    fn random_voter(&mut self) -> DaemonId {
        let position = self.cluster.rng.random_range(0..self.cluster.voters.len());
        self.cluster.voters[position].clone()
    }

    fn run(&mut self, length: Duration, network: Network) {
        self.cluster.network = network;
        let until = self.cluster.now + length;
        while self.cluster.now < until {
            self.act();
            self.cluster.run(PAUSE);
            self.restart();
            self.lost.retain(|id| !self.cluster.is_readmitted(id));
        }
    }

    fn act(&mut self) {
        let id = self.random_voter();
        let other = self.random_voter();
        let now = self.cluster.now;
        let delay = Duration::from_millis(self.cluster.rng.random_range(50..400));
        match self.cluster.rng.random_range(0..1000) {
            0..250 => {
                self.cluster.propose();
            }
            250..280 => self.cluster.cut_until(&id, &other, now + delay),
            280..290 => self.cluster.compact(&id),
            290..297 => {
                self.cluster.stop(&id);
                self.stopped.insert(id, now + delay);
            }
            297..307 => self.lose_disk(&id, delay),
            _ => {}
        }
    }

    /// Loses a disk if the cluster can bear it.
    fn lose_disk(&mut self, id: &DaemonId, delay: Duration) {
        let again = self.lost.contains(id);
        if (again && self.twice) || (!again && self.lost.len() < self.bearable()) {
            self.cluster.wipe(id);
            self.lost.insert(id.clone());
            self.stopped.insert(id.clone(), self.cluster.now + delay);
        }
    }

    fn restart(&mut self) {
        let now = self.cluster.now;
        let due: Vec<DaemonId> =
            self.stopped.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.stopped.remove(&id);
            self.cluster.start(&id, false);
        }
    }

    /// Ends all faults.
    fn end(&mut self) {
        self.stopped.clear();
        self.cluster.calm();
    }

    /// Loses as many disks as the cluster can bear, in the moment in which all lose their power.
    fn lose_power(&mut self) {
        let bearable = self.bearable();
        let mut voters = self.cluster.voters.clone();
        // The leader's disk is the one with the most entries.
        let leader = self.cluster.leader();
        voters.sort_by_key(|id| (leader.as_ref() != Some(id), self.cluster.rng.random::<u32>()));
        for (position, id) in voters.iter().enumerate() {
            if position < bearable {
                self.cluster.wipe(id);
            } else {
                self.cluster.stop(id);
            }
            let delay = Duration::from_millis(self.cluster.rng.random_range(0..200));
            self.stopped.insert(id.clone(), self.cluster.now + delay);
        }
        self.lost = voters.into_iter().take(bearable).collect();
    }
}

/// Returns whether nothing acknowledged is lost, also if as many disks as promised are lost together
/// with all power once every voter counts again.
fn acknowledged_entries_kept(voters: usize, seed: u64) -> Result<(), String> {
    let mut faults = Faults::new(voters, seed, true);
    // Shorter than messages are late, so that a leader that believes old ones removes good voters.
    faults.cluster.readmission_pause = ELECTION * 2;
    for _ in 0..2 {
        faults.run(Duration::from_secs(3), Network::ROUGH);
        faults.end();
        let counted = faults.cluster.run_until(Duration::from_secs(20), Cluster::all_count);
        faults.cluster.broken.clone().map_or(Ok(()), Err)?;
        ensure(counted.is_some(), "not every voter counts 20 s after the last fault")?;
        faults.lost.clear();
        faults.cluster.network.unsynced = 0.5;
        let count = faults.cluster.rng.random_range(1..6);
        for _ in 0..count {
            faults.cluster.propose();
            faults.cluster.run(PAUSE);
        }
        faults.lose_power();
        let rough = Network { lost: 0.02, ..Network::CALM };
        faults.run(Duration::from_millis(300), rough);
        faults.end();
        let elected = faults.cluster.run_until(LEADER_WITHIN, Cluster::has_leader);
        faults.cluster.broken.clone().map_or(Ok(()), Err)?;
        ensure(elected.is_some(), "no leader after another disk was lost with all power")?;
    }
    let counted = faults.cluster.run_until(Duration::from_secs(20), Cluster::all_count);
    faults.cluster.broken.clone().map_or(Ok(()), Err)?;
    ensure(counted.is_some(), "not every voter counts 20 s after the last loss")
}

/// Guards against disks that count although they forgot votes or entries.
#[rstest]
#[case::three(3, 100)]
#[case::five(5, 60)]
#[case::six(6, 50)]
fn acknowledged_entries_survive_lost_disks(#[case] voters: usize, #[case] seeds: u64) {
    assert_all_pass(&[voters], seeds, acknowledged_entries_kept);
}

/// Returns whether every voter counts soon after the faults have ended.
fn counted_after_faults(voters: usize, seed: u64) -> Result<(), String> {
    let mut faults = Faults::new(voters, seed, false);
    let network = Network { straggling: 0.0, ..Network::ROUGH };
    faults.run(Duration::from_secs(3), network);
    faults.end();
    let cluster = &mut faults.cluster;
    let elected = cluster.run_until(LEADER_WITHIN, Cluster::has_leader);
    ensure(elected.is_some(), "no leader after the last fault")?;
    let mut leader = cluster.leader();
    let mut since = cluster.now;
    let limit = cluster.now + LEADER_WITHIN + COUNTED_WITHIN;
    while !cluster.all_count() {
        ensure(cluster.now < limit, "some voters never count")?;
        cluster.run(PAUSE);
        if cluster.leader() != leader {
            leader = cluster.leader();
            since = cluster.now;
        }
    }
    let bound = COUNTED_WITHIN * u32::try_from(faults.bearable()).expect("few voters");
    ensure(faults.cluster.now - since <= bound, "some voters count late")?;
    faults.cluster.broken.map_or(Ok(()), Err)
}

/// Guards against voters that count late or never, although nothing is wrong any more.
#[rstest]
#[case::three(3)]
#[case::five(5)]
#[case::six(6)]
fn voters_count_soon_after_faults(#[case] voters: usize) {
    assert_all_pass(&[voters], 60, counted_after_faults);
}

fn replies_of(packets: &[Packet]) -> Vec<Packet> {
    let replies = packets.iter().filter(|p| matches!(p.message, LogMessage::AppendReply(_)));
    replies.cloned().collect()
}

fn committed(cluster: &Cluster, id: &DaemonId, index: LogIndex) -> bool {
    cluster.replica(id).commit() >= index
}

/// Returns whether delayed replies of a lost disk are not taken for replies of the new one, which is
/// not admitted yet.
fn replies_before_admission(voters: usize, seed: u64) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let leader = cluster.leader().ok_or("no leader")?;
    let others: Vec<DaemonId> =
        cluster.voters.iter().filter(|id| **id != leader).cloned().collect();
    let wiped = others[0].clone();
    let group: Vec<DaemonId> =
        [leader.clone()].into_iter().chain(others).take(voters / 2 + 1).collect();
    cluster.separate(&group);
    cluster.holding.insert(wiped.clone());
    cluster.propose_many_at(&leader, 3);
    cluster.run(Duration::from_millis(40));
    cluster.holding.clear();
    let held = replies_of(&cluster.held);
    ensure(!held.is_empty(), "no reply was held")?;
    cluster.wipe(&wiped);
    cluster.start(&wiped, false);
    cluster.run(Duration::from_millis(50));
    let index = cluster.propose().ok_or("no leader")?;
    cluster.run(Duration::from_millis(20));
    cluster.release(&held);
    cluster.run(ELECTION);
    ensure(
        !committed(&cluster, &leader, index),
        "a reply of the lost disk counted for the new one",
    )?;
    cluster.mend();
    cluster.readmits = true;
    let counted = cluster.run_until(ELECTION * 30, |cluster| cluster.is_readmitted(&wiped));
    ensure(counted.is_some(), "the new disk does not count after its admission")?;
    cluster.release(&held);
    cluster.run(ELECTION * 4);
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against a leader that confuses the disks of a voter while the new one is not admitted.
#[rstest]
fn delayed_replies_before_admission_do_not_count() {
    assert_all_pass(&[3, 5, 6], 10, replies_before_admission);
}

/// Returns whether a leader goes on counting a readmitted voter when delayed replies arrive, which the
/// voter sent before its disk was lost, or with its new disk before the admission.
fn replies_after_admission(voters: usize, seed: u64, of_new_disk: bool) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let leader = cluster.leader().ok_or("no leader")?;
    let wiped = cluster.voters.iter().find(|id| **id != leader).cloned().ok_or("no follower")?;
    if !of_new_disk {
        cluster.holding.insert(wiped.clone());
        cluster.propose();
        cluster.run(ELECTION / 2);
        cluster.holding.clear();
    }
    cluster.wipe(&wiped);
    cluster.start(&wiped, false);
    if of_new_disk {
        cluster.holding.insert(wiped.clone());
        cluster.run(ELECTION / 2);
        cluster.holding.clear();
    }
    cluster.readmits = true;
    let counted = cluster.run_until(ELECTION * 30, |cluster| cluster.is_readmitted(&wiped));
    ensure(counted.is_some(), "the new disk does not count after its admission")?;
    cluster.readmits = false;
    cluster.run(ELECTION * 3);
    ensure(cluster.leader().as_ref() == Some(&leader), "the leader has changed")?;
    let held = replies_of(&cluster.held);
    ensure(!held.is_empty(), "no reply was held")?;
    for packet in held {
        cluster.release(&[packet]);
        let uncounted = cluster.replica(&leader).uncounted_voters();
        ensure(uncounted.is_empty(), "a delayed reply makes the leader doubt a voter")?;
    }
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against leaders that remove a good voter because of an old message. If another disk is lost
/// before it is admitted again, no majority is left.
#[rstest]
#[case::of_lost_disk(false)]
#[case::of_new_disk_before_admission(true)]
fn delayed_replies_do_not_cast_doubt_on_readmitted_voter(#[case] of_new_disk: bool) {
    assert_all_pass(&[3, 5, 6], 10, |voters, seed| {
        replies_after_admission(voters, seed, of_new_disk)
    });
}

/// Returns whether delayed replies do not count for a leader of a later term, which wrote other
/// entries at the same indexes. Between them the voter's disk may have been lost and replaced.
fn replies_in_later_term(voters: usize, seed: u64, disk_lost: bool) -> Result<(), String> {
    let mut cluster = Cluster::founded(voters, seed);
    let leader = cluster.leader().ok_or("no leader")?;
    let others: Vec<DaemonId> =
        cluster.voters.iter().filter(|id| **id != leader).cloned().collect();
    let slow = others[0].clone();
    // The leader and one voter store entries that are never committed.
    cluster.separate(&[leader.clone(), slow.clone()]);
    cluster.holding.insert(slow.clone());
    cluster.propose_many_at(&leader, 150);
    cluster.run(ELECTION / 2);
    cluster.holding.clear();
    let held = replies_of(&cluster.held);
    ensure(!held.is_empty(), "no reply was held")?;
    cluster.isolate(&leader);
    if disk_lost {
        cluster.wipe(&slow);
        cluster.start(&slow, false);
    }
    let elected = cluster
        .run_until(ELECTION * 30, |cluster| cluster.leader().is_some_and(|next| next != leader));
    ensure(elected.is_some(), "the others elect no leader")?;
    cluster.reconnect(&slow);
    cluster.isolate(&leader);
    cluster.readmits = true;
    let counted =
        cluster.run_until(ELECTION * 30, |cluster| !disk_lost || cluster.is_readmitted(&slow));
    ensure(counted.is_some(), "the new disk does not count after its admission")?;
    cluster.readmits = false;
    cluster.mend();
    cluster.run(ELECTION * 4);
    for _ in 0..60 {
        if cluster.leader().as_ref() == Some(&leader) {
            break;
        }
        cluster.hand_over();
        cluster.run(ELECTION);
    }
    ensure(cluster.leader().as_ref() == Some(&leader), "the former leader does not lead again")?;
    // The leader reaches one voter less than it needs.
    let group: Vec<DaemonId> =
        [leader.clone()].into_iter().chain(others[1..].to_vec()).take(voters / 2).collect();
    cluster.separate(&group);
    let before = cluster.replica(&leader).commit();
    cluster.propose_many_at(&leader, 150);
    cluster.run(ELECTION / 2);
    cluster.release(&held);
    cluster.run(ELECTION / 2);
    ensure(
        !committed(&cluster, &leader, LogIndex(*before + 1)),
        "a reply of a former term counted",
    )?;
    cluster.broken.map_or(Ok(()), Err)
}

/// Guards against a leader that commits entries that no majority holds.
#[rstest]
#[case::of_lost_disk(true)]
#[case::of_same_disk(false)]
fn delayed_replies_of_former_term_do_not_count(#[case] disk_lost: bool) {
    assert_all_pass(&[5, 6], 10, |voters, seed| replies_in_later_term(voters, seed, disk_lost));
}
