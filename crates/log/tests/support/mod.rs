//! A simulated cluster: replicas on a virtual clock, disks that lose unsynced data with the power,
//! and a network with delays, losses, duplicates and cuts.
//!
//! The cluster checks in every step that a term has one leader and that all replicas apply prefixes
//! of one list. Messages of a process that has stopped stay in the network.
#![allow(dead_code, reason = "each test file uses a part of the simulation")]

mod disk;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_log::{LogReplica, ReplicaConfig, ReplicaFault};
use hollowbarrow_schema::{
    ClaimCommand, ClaimSweep, DaemonId, EntryPayload, LogEntry, LogIndex, LogMessage, Term,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

pub use disk::CrashStorage;

/// Election timeout of all replicas.
pub const ELECTION: Duration = Duration::from_millis(100);
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(5);

/// Behaviour of the network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Longest usual delay of a message.
    pub slowest: Duration,
    /// Share of messages that are lost.
    pub lost: f64,
    /// Share of messages that arrive twice.
    pub doubled: f64,
    /// Share of messages that are delayed up to [`Network::straggle`].
    pub straggling: f64,
    /// Longest delay of these messages.
    pub straggle: Duration,
    /// Share of steps in which a replica does not sync what it has stored.
    pub unsynced: f64,
}

impl Network {
    /// A network without faults.
    pub const CALM: Self = Self {
        slowest: Duration::from_millis(4),
        lost: 0.0,
        doubled: 0.0,
        straggling: 0.0,
        straggle: Duration::ZERO,
        unsynced: 0.0,
    };

    /// A network that loses, delays, doubles and reorders messages.
    pub const ROUGH: Self = Self {
        slowest: Duration::from_millis(25),
        lost: 0.08,
        doubled: 0.05,
        straggling: 0.03,
        straggle: Duration::from_millis(900),
        unsynced: 0.3,
    };
}

/// A message in the network.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: DaemonId,
    pub to: DaemonId,
    pub message: LogMessage,
}

/// A daemon: its running replica, or the disk that it leaves while it is stopped.
struct Node {
    replica: Option<LogReplica<CrashStorage>>,
    disk: Option<CrashStorage>,
    /// Number of disks that this daemon has lost.
    disks_lost: u64,
    /// Number of entries that its state machine has applied.
    applied: u64,
    unsynced: bool,
}

/// A proposed change of the voters that may not be committed yet.
struct Change {
    index: LogIndex,
    term: Term,
    id: DaemonId,
    /// Number of disks that the daemon had lost when the change was proposed.
    disks_lost: u64,
    admission: bool,
}

/// A simulated cluster.
pub struct Cluster {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    pub network: Network,
    pub voters: Vec<DaemonId>,
    pub learners: Vec<DaemonId>,
    /// Voters and learners.
    all: Arc<[DaemonId]>,
    /// Whether the current leader removes and admits voters that it does not count.
    pub readmits: bool,
    /// Messages that a daemon in [`Cluster::holding`] has sent.
    pub held: Vec<Packet>,
    /// Daemons whose messages are held back.
    pub holding: BTreeSet<DaemonId>,
    /// Daemons to which neither entries nor snapshots get through.
    pub entries_lost: BTreeSet<DaemonId>,
    /// Whether a candidate has asked for votes, not only for trial votes.
    pub vote_requested_by: Option<DaemonId>,
    /// First break of a rule, if any.
    pub broken: Option<String>,
    /// All entries that a replica has applied.
    pub list: Vec<LogEntry>,
    /// Number of disks that were lost.
    pub disks_lost: u64,
    /// Number of committed changes of the voters.
    pub changed: u64,
    /// Number of entries that a leader has applied and thereby acknowledged.
    pub acknowledged: u64,
    nodes: BTreeMap<DaemonId, Node>,
    in_flight: BTreeMap<(Instant, u64), Packet>,
    sent: u64,
    cuts: BTreeMap<(DaemonId, DaemonId), Instant>,
    leaders: BTreeMap<Term, (DaemonId, u64)>,
    changes: Vec<Change>,
    /// Daemons that lost a disk and whose admission with the next one is committed.
    admitted: BTreeSet<DaemonId>,
    /// Daemons whose disk was lost, and which were not proposed as voters since.
    forgotten: BTreeSet<DaemonId>,
    proposed: u64,
}

/// Fails with a message unless a condition holds.
pub fn ensure(holds: bool, message: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(message.to_owned()) }
}

/// Runs a case for each number of voters and each seed; fails with the number of failures of each
/// kind and the first seed of it.
pub fn assert_all_pass(
    voters: &[usize],
    seeds: u64,
    case: impl Fn(usize, u64) -> Result<(), String>,
) {
    let mut failures: BTreeMap<(usize, String), Vec<u64>> = BTreeMap::new();
    for voters in voters {
        for seed in 0..seeds {
            if let Err(seen) = case(*voters, seed) {
                failures.entry((*voters, seen)).or_default().push(seed);
            }
        }
    }
    let lines: Vec<String> = failures
        .iter()
        .map(|((voters, seen), failed)| {
            let count = failed.len();
            format!("{voters} voters: {count} of {seeds} seeds, first {}: {seen}", failed[0])
        })
        .collect();
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

fn payload(number: u64) -> EntryPayload {
    EntryPayload::Claim(ClaimCommand::Sweep(ClaimSweep { now_ms: number, retain_ms: 0 }))
}

impl Cluster {
    /// Creates a cluster whose voters found their log.
    pub fn new(voters: usize, learners: usize, seed: u64, network: Network) -> Self {
        let named = |prefix: &str, count: usize| -> Vec<DaemonId> {
            (0..count).map(|number| DaemonId(format!("{prefix}{number}"))).collect()
        };
        let mut cluster = Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            network,
            voters: named("v", voters),
            learners: named("w", learners),
            all: named("v", voters).into_iter().chain(named("w", learners)).collect(),
            readmits: false,
            held: Vec::new(),
            holding: BTreeSet::new(),
            entries_lost: BTreeSet::new(),
            vote_requested_by: None,
            broken: None,
            list: Vec::new(),
            disks_lost: 0,
            changed: 0,
            acknowledged: 0,
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            cuts: BTreeMap::new(),
            leaders: BTreeMap::new(),
            changes: Vec::new(),
            admitted: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            proposed: 0,
        };
        for id in cluster.all().iter() {
            let durable = cluster.voters.contains(id);
            let node = Node {
                replica: None,
                disk: Some(CrashStorage::new(durable)),
                disks_lost: 0,
                applied: 0,
                unsynced: false,
            };
            cluster.nodes.insert(id.clone(), node);
            cluster.start(id, true);
        }
        cluster
    }

    /// Creates a cluster without network faults in which every voter counts.
    pub fn founded(voters: usize, seed: u64) -> Self {
        let mut cluster = Self::new(voters, 0, seed, Network::CALM);
        let founded = cluster.run_until(ELECTION * 20, Self::all_count);
        assert!(founded.is_some(), "seed {seed}: a calm founding failed");
        cluster.run(ELECTION);
        cluster
    }

    /// Returns all daemons.
    pub fn all(&self) -> Arc<[DaemonId]> {
        Arc::clone(&self.all)
    }

    /// Starts a stopped daemon with the disk that it has.
    pub fn start(&mut self, id: &DaemonId, founding: bool) {
        let config = ReplicaConfig::new(id, &self.all(), &self.voters)
            .with_founding(founding)
            .with_election(ELECTION)
            .with_seed(self.rng.random());
        let node = self.nodes.get_mut(id).expect("known");
        let Some(disk) = node.disk.take() else { return };
        node.applied = 0;
        let replica = LogReplica::new(config, disk, self.now);
        if *replica.commit() > self.list.len() as u64 {
            self.broken.get_or_insert(format!("{} starts with more than was committed", **id));
        }
        node.replica = Some(replica);
    }

    /// Stops a daemon at once, as a loss of power does: it loses what it has not synced.
    pub fn stop(&mut self, id: &DaemonId) {
        let node = self.nodes.get_mut(id).expect("known");
        if let Some(replica) = node.replica.take() {
            node.disk = Some(replica.into_storage().crash());
        }
        node.unsynced = false;
    }

    /// Stops a daemon and replaces its disk by an empty one.
    pub fn wipe(&mut self, id: &DaemonId) {
        self.stop(id);
        let node = self.nodes.get_mut(id).expect("known");
        node.disk = Some(CrashStorage::new(true));
        node.disks_lost += 1;
        self.disks_lost += 1;
        self.admitted.remove(id);
        self.forgotten.insert(id.clone());
    }

    /// Returns a copy of a running daemon's disk.
    pub fn backup(&self, id: &DaemonId) -> CrashStorage {
        self.replica(id).storage().backup()
    }

    /// Stops a daemon and restores its disk from a copy.
    pub fn restore(&mut self, id: &DaemonId, copy: &CrashStorage) {
        self.stop(id);
        self.nodes.get_mut(id).expect("known").disk = Some(copy.backup());
    }

    /// Lets a daemon count that lost its disk while the log was founded, without an admission.
    pub fn let_found(&mut self, id: &DaemonId) {
        self.forgotten.remove(id);
    }

    /// Returns whether a daemon that lost its disk counts again since its admission was committed.
    pub fn is_readmitted(&self, id: &DaemonId) -> bool {
        self.admitted.contains(id) && self.counts(id)
    }

    pub fn is_running(&self, id: &DaemonId) -> bool {
        self.nodes[id].replica.is_some()
    }

    /// Returns how many entries a daemon's state machine has applied since its start.
    pub fn applied(&self, id: &DaemonId) -> u64 {
        self.nodes[id].applied
    }

    pub fn replica(&self, id: &DaemonId) -> &LogReplica<CrashStorage> {
        self.nodes[id].replica.as_ref().expect("the daemon runs")
    }

    fn running(&self) -> impl Iterator<Item = &LogReplica<CrashStorage>> {
        self.nodes.values().filter_map(|node| node.replica.as_ref())
    }

    /// Returns the leader that has committed an entry of its term, with the highest term.
    pub fn leader(&self) -> Option<DaemonId> {
        let current = self.running().filter(|replica| replica.is_current());
        current.max_by_key(|replica| replica.term()).map(|replica| replica.id().clone())
    }

    /// Returns whether there is a leader that has committed an entry of its term.
    pub fn has_leader(&self) -> bool {
        self.leader().is_some()
    }

    /// Returns whether a leader counts a voter that has no fault and knows that it is a voter.
    pub fn counts(&self, id: &DaemonId) -> bool {
        let Some(leader) = self.leader() else { return false };
        let leader = self.replica(&leader);
        self.nodes[id]
            .replica
            .as_ref()
            .is_some_and(|replica| replica.fault().is_none() && replica.voters().contains(id))
            && leader.voters().contains(id)
            && !leader.uncounted_voters().contains(id)
    }

    /// Returns whether a leader counts every voter and has heard from it recently.
    pub fn all_count(&self) -> bool {
        let healthy = self.running().all(|replica| replica.fault().is_none());
        let Some(leader) = self.leader().filter(|_| healthy) else { return false };
        let heard = self.replica(&leader).counted_voters(ELECTION * 2, self.now);
        heard == self.voters.len() && self.voters.iter().all(|id| self.counts(id))
    }

    /// Returns the voters that do not count.
    pub fn uncounted(&self) -> Vec<DaemonId> {
        self.voters.iter().filter(|id| !self.counts(id)).cloned().collect()
    }

    /// Cuts the link between two daemons in both directions until a time.
    pub fn cut_until(&mut self, one: &DaemonId, other: &DaemonId, until: Instant) {
        self.cuts.insert((one.clone(), other.clone()), until);
        self.cuts.insert((other.clone(), one.clone()), until);
    }

    /// Cuts a daemon off from all others; messages on their way are lost.
    pub fn isolate(&mut self, id: &DaemonId) {
        let far = self.now + Duration::from_secs(3600);
        for other in self.all().iter() {
            self.cut_until(id, other, far);
        }
        self.in_flight.retain(|_, packet| packet.from != *id && packet.to != *id);
    }

    /// Cuts the links between a group of daemons and all others.
    pub fn separate(&mut self, group: &[DaemonId]) {
        let far = self.now + Duration::from_secs(3600);
        for other in self.all().iter().filter(|id| !group.contains(id)) {
            for id in group {
                self.cut_until(id, other, far);
            }
        }
    }

    /// Ends all cuts.
    pub fn mend(&mut self) {
        self.cuts.clear();
    }

    /// Ends the cuts of one daemon.
    pub fn reconnect(&mut self, id: &DaemonId) {
        self.cuts.retain(|(from, to), _| from != id && to != id);
    }

    /// Starts every stopped daemon and ends all faults of the network.
    pub fn calm(&mut self) {
        self.mend();
        self.network = Network::CALM;
        for id in self.all().iter() {
            self.start(id, false);
        }
    }

    /// Proposes an entry; returns its index unless there is no leader.
    pub fn propose(&mut self) -> Option<LogIndex> {
        self.proposed += 1;
        let leader = self.leader()?;
        self.propose_at(&leader, vec![payload(self.proposed)])
    }

    /// Proposes several entries at once at one replica, which sends them in one message.
    pub fn propose_many_at(&mut self, id: &DaemonId, count: u64) {
        let payloads = (1..=count).map(|number| payload(self.proposed + number)).collect();
        self.proposed += count;
        self.propose_at(id, payloads);
    }

    fn propose_at(&mut self, id: &DaemonId, payloads: Vec<EntryPayload>) -> Option<LogIndex> {
        let now = self.now;
        let node = self.nodes.get_mut(id).expect("known");
        let index = node.replica.as_mut().and_then(|replica| replica.propose(payloads, now));
        self.settle(id);
        index
    }

    /// Proposes the current voters without a daemon, or with it.
    pub fn propose_change(&mut self, id: &DaemonId, admission: bool) -> Option<LogIndex> {
        let leader = self.leader()?;
        let replica = self.replica(&leader);
        let term = replica.term();
        let mut voters: Vec<DaemonId> =
            replica.voters().iter().filter(|voter| *voter != id).cloned().collect();
        if admission {
            voters.push(id.clone());
        }
        let index = self.propose_at(&leader, vec![EntryPayload::Voters(voters)])?;
        if admission {
            self.forgotten.remove(id);
        }
        let disks_lost = self.nodes[id].disks_lost;
        self.changes.push(Change { index, term, id: id.clone(), disks_lost, admission });
        Some(index)
    }

    /// Changes the voters and waits until the change is committed.
    pub fn change(&mut self, id: &DaemonId, admission: bool) {
        let index = self.propose_change(id, admission).expect("the change is accepted");
        let committed = self.run_until(ELECTION * 2, |cluster| {
            cluster.leader().is_some_and(|leader| cluster.replica(&leader).commit() >= index)
        });
        assert!(committed.is_some(), "a change of the voters was not committed");
    }

    /// Makes the leader step down and waits for another one.
    pub fn hand_over(&mut self) {
        let former = self.leader().expect("there is a leader");
        let now = self.now;
        let node = self.nodes.get_mut(&former).expect("known");
        node.replica.as_mut().expect("it runs").hand_over(now);
        let next = self.run_until(ELECTION * 20, Self::has_leader);
        assert!(next.is_some(), "no leader after one stepped down");
    }

    /// Replaces the applied entries of a replica by a snapshot.
    pub fn compact(&mut self, id: &DaemonId) {
        let node = self.nodes.get_mut(id).expect("known");
        if let Some(replica) = &mut node.replica {
            replica.compact(node.applied.to_string().into_bytes());
        }
        self.settle(id);
    }

    /// Replaces the applied entries of all replicas by snapshots.
    pub fn compact_all(&mut self) {
        for id in self.all().iter() {
            self.compact(id);
        }
    }

    /// Delivers held messages now.
    pub fn release(&mut self, packets: &[Packet]) {
        for packet in packets {
            self.deliver(packet.clone());
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, length: Duration) {
        self.run_until(length, |_| false);
    }

    /// Runs until a condition holds, for `limit` at most; returns how long it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started = self.now;
        while !holds(self) {
            if self.now >= started + limit {
                return None;
            }
            self.step(started + limit);
        }
        Some(self.now - started)
    }

    /// Returns when a message arrives or a replica's deadline passes next, if nothing else is due.
    fn next_event(&self) -> Option<Instant> {
        let busy = self.readmits || self.network.unsynced > 0.0;
        if busy || self.nodes.values().any(|node| node.unsynced) {
            return None;
        }
        let arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        self.running().map(|replica| replica.next_deadline()).chain(arrival).min()
    }

    /// Advances the clock by a step, or by several of them, up to `limit`, while nothing happens.
    fn step(&mut self, limit: Instant) {
        self.now += STEP;
        let next = self.next_event().unwrap_or(self.now);
        while self.now < next && self.now < limit {
            self.now += STEP;
        }
        while let Some(next) = self.in_flight.first_entry().filter(|next| next.key().0 <= self.now)
        {
            let packet = next.remove();
            self.deliver(packet);
        }
        let now = self.now;
        for id in self.all().iter() {
            let lazy = self.network.unsynced > 0.0 && self.rng.random_bool(self.network.unsynced);
            let node = self.nodes.get_mut(id).expect("known");
            let Some(replica) = &mut node.replica else { continue };
            if replica.next_deadline() <= now {
                replica.tick(now);
                node.unsynced = true;
            }
            if node.unsynced && !lazy {
                self.settle(id);
            }
        }
        self.note_changes();
        self.check_forgotten();
        if self.readmits {
            self.readmit();
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        let Packet { from, to, message } = packet;
        let node = self.nodes.get_mut(&to).expect("known");
        let Some(replica) = &mut node.replica else { return };
        replica.step(&from, message, now);
        node.unsynced = true;
        let early = replica.take_early();
        self.send(&to, early);
        if self.network.unsynced == 0.0 {
            self.settle(&to);
        }
    }

    /// Syncs a replica, applies what it has committed and sends its messages.
    fn settle(&mut self, id: &DaemonId) {
        let now = self.now;
        let node = self.nodes.get_mut(id).expect("known");
        let Some(replica) = &mut node.replica else { return };
        node.unsynced = false;
        let messages = replica.flush(now);
        if let Some(snapshot) = replica.take_installed() {
            node.applied = *snapshot.index;
            let listed = self.list.get(*snapshot.index as usize - 1);
            if listed.map(|entry| entry.term) != Some(snapshot.term) {
                self.broken.get_or_insert(format!("{} installed another list", **id));
            }
        }
        for entry in replica.take_committed() {
            if *entry.index != node.applied + 1 {
                self.broken.get_or_insert(format!("{} skipped an entry", **id));
            }
            node.applied = *entry.index;
            match self.list.get(*entry.index as usize - 1) {
                Some(listed) if *listed != entry => {
                    self.broken.get_or_insert(format!("{} applied another list", **id));
                }
                Some(_) => {}
                None => self.list.push(entry),
            }
        }
        if matches!(replica.fault(), Some(ReplicaFault::Diverged)) {
            self.broken.get_or_insert(format!("{} has diverged", **id));
        }
        if replica.is_leader() {
            let this = (id.clone(), node.disks_lost);
            let first = self.leaders.entry(replica.term()).or_insert_with(|| this.clone());
            if *first != this {
                self.broken.get_or_insert(format!("term {} has two leaders", *replica.term()));
            }
            // A former leader may still lead in its term while the next one acknowledges entries.
            let latest = self.leaders.last_key_value().map(|(term, _)| *term);
            let current = replica.is_current() && latest == Some(replica.term());
            if current && node.applied < self.acknowledged {
                self.broken.get_or_insert(format!("{} leads without what was acknowledged", **id));
            }
            self.acknowledged = self.acknowledged.max(node.applied);
        }
        self.send(&id.clone(), messages);
    }

    fn send(&mut self, from: &DaemonId, messages: Vec<(DaemonId, LogMessage)>) {
        for (to, message) in messages {
            if matches!(&message, LogMessage::Vote(request) if !request.trial) {
                self.vote_requested_by.get_or_insert(from.clone());
            }
            let packet = Packet { from: from.clone(), to, message };
            if self.holding.contains(from) {
                self.held.push(packet);
            } else if !self.is_lost(&packet) {
                self.post(packet);
            }
        }
    }

    fn is_lost(&mut self, packet: &Packet) -> bool {
        let link = (packet.from.clone(), packet.to.clone());
        let filled = match &packet.message {
            LogMessage::Append(request) => !request.entries.is_empty(),
            LogMessage::Snapshot(_) => true,
            _ => false,
        };
        self.cuts.get(&link).is_some_and(|until| *until > self.now)
            || (filled && self.entries_lost.contains(&packet.to))
            || (self.network.lost > 0.0 && self.rng.random_bool(self.network.lost))
    }

    fn post(&mut self, packet: Packet) {
        let network = self.network;
        let copies =
            if network.doubled > 0.0 && self.rng.random_bool(network.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let straggles = network.straggling > 0.0 && self.rng.random_bool(network.straggling);
            let slowest = if straggles { network.straggle } else { network.slowest };
            let at = self.now + slowest.mul_f64(self.rng.random_range(0.1..1.0));
            self.sent += 1;
            self.in_flight.insert((at, self.sent), packet.clone());
        }
    }

    /// Notes which changes of the voters are committed.
    fn note_changes(&mut self) {
        for change in std::mem::take(&mut self.changes) {
            let Some(entry) = self.list.get(*change.index as usize - 1) else {
                self.changes.push(change);
                continue;
            };
            let committed = entry.term == change.term;
            self.changed += u64::from(committed);
            let current = change.disks_lost == self.nodes[&change.id].disks_lost;
            if committed && change.admission && current {
                self.admitted.insert(change.id);
            }
        }
    }

    /// Checks that no replica that lost its disk counts itself before it is proposed as a voter.
    fn check_forgotten(&mut self) {
        for id in &self.forgotten {
            let node = &self.nodes[id];
            let Some(replica) = node.replica.as_ref().filter(|_| !node.unsynced) else { continue };
            let voter = replica.voters().contains(id) && replica.fault().is_none();
            if voter || replica.is_leader() {
                let seen = format!("{} lost its disk and counts before its admission", **id);
                self.broken.get_or_insert(seen);
            }
        }
    }

    /// Removes and admits voters as a leader does: it admits those that are no voters and from which
    /// it has heard, and removes one that it does not count, both at once.
    fn readmit(&mut self) {
        let Some(leader) = self.leader() else { return };
        let replica = self.replica(&leader);
        let contacts = replica.contacts();
        let heard = |id: &DaemonId| contacts.get(id).is_some_and(Option::is_some);
        let missing = self.voters.iter().find(|id| !replica.voters().contains(id)).cloned();
        if let Some(id) = missing {
            if heard(&id) {
                self.propose_change(&id, true);
            }
            return;
        }
        let uncounted = replica.uncounted_voters().into_iter().next();
        if let Some(id) = uncounted {
            self.propose_change(&id, false);
        }
    }
}
