//! Founding over folders of an earlier release that say that they are part of the quorum and have no
//! entries.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowbarrow_log::{LogReplica, LogStorage, MemoryStorage, ReplicaConfig, VoteRecord};
use hollowbarrow_schema::{DaemonId, EntryPayload, LogIndex, LogMessage, Term};
use rstest::rstest;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(100);
/// Number of elections after which a leader is expected.
const ELECTIONS: usize = 60;

fn ids() -> Vec<DaemonId> {
    ["a", "b", "c"].map(DaemonId::from).to_vec()
}

struct Voters {
    now: Instant,
    replicas: BTreeMap<DaemonId, LogReplica<MemoryStorage>>,
}

impl Voters {
    fn new(founding: bool) -> Self {
        let now = Instant::now();
        let replica = |(seed, id): (u64, &DaemonId)| {
            let config = ReplicaConfig::new(id, &ids(), &ids())
                .with_founding(founding)
                .with_election(ELECTION)
                .with_seed(seed);
            let mut storage = MemoryStorage::new().with_durable(true);
            let vote = VoteRecord { term: Term(1), initialised: true, ..VoteRecord::default() };
            storage.set_vote(vote).expect("memory takes it");
            (id.clone(), LogReplica::new(config, storage, now))
        };
        Self { now, replicas: (0..).zip(&ids()).map(replica).collect() }
    }

    /// Lets the next voter that is due stand, and delivers all messages between those that run.
    fn elect(&mut self) {
        let due = self.replicas.iter().map(|(id, one)| (one.next_deadline(), id.clone())).min();
        let (due, id) = due.expect("a voter runs");
        self.now = self.now.max(due);
        let now = self.now;
        self.replicas.get_mut(&id).expect("known").tick(now);
        let mut sent = self.flush(&id);
        while !sent.is_empty() {
            let (from, to, message) = sent.remove(0);
            let Some(replica) = self.replicas.get_mut(&to) else { continue };
            replica.step(&from, message, now);
            sent.extend(self.flush(&to));
        }
    }

    fn flush(&mut self, id: &DaemonId) -> Vec<(DaemonId, DaemonId, LogMessage)> {
        let now = self.now;
        let sent = self.replicas.get_mut(id).expect("known").flush(now);
        sent.into_iter().map(|(to, message)| (id.clone(), to, message)).collect()
    }

    fn leader(&self) -> Option<&LogReplica<MemoryStorage>> {
        self.replicas.values().find(|one| one.is_current())
    }
}

/// Guards against a leader whose first entry names no disk: if one of the voters that elected it is
/// emptied, too few are left that count.
#[rstest]
#[case::all(true, true)]
#[case::all_told_not_to_found(false, true)]
#[case::one_down(true, false)]
#[case::one_down_told_not_to_found(false, false)]
fn first_entry_names_disks(#[case] founding: bool, #[case] all: bool) {
    let mut voters = Voters::new(founding);
    if !all {
        voters.replicas.remove(&ids()[2]);
    }
    (0..ELECTIONS).for_each(|_| voters.elect());
    let leader = voters.leader();
    assert_eq!(leader.is_some(), all, "a log is founded when all voters run");
    let Some(leader) = leader else { return };
    let first = leader.storage().window().entry(LogIndex(1)).map(|entry| &entry.payload);
    let Some(EntryPayload::VoterSet(set)) = first else { panic!("it names no voters: {first:?}") };
    let named = |id: &DaemonId| {
        let disk = voters.replicas[id].storage().vote().disk;
        set.disks.iter().any(|named| named.voter == *id && Some(named.disk) == disk)
    };
    assert!(ids().iter().all(named), "{set:?}");
}
