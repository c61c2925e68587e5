//! The first entries of a log at a voter whose disk the log does not name.

use std::time::Duration;

use hollowbarrow_log::{LogReplica, LogStorage, MemoryStorage, ReplicaConfig, VoteRecord};
use hollowbarrow_schema::{
    AppendRequest, DaemonId, DiskId, EntryPayload, LogEntry, LogIndex, LogMessage, Term, VoterDisk,
    VoterSet,
};
use rstest::rstest;
use tokio::time::Instant;

const ELECTION: Duration = Duration::from_millis(100);
/// Number of entries of a message that may be followed by others.
const FULL_BATCH: u64 = 512;

fn ids() -> Vec<DaemonId> {
    ["a", "b", "c"].map(DaemonId::from).to_vec()
}

/// The voter a, as the settings of a daemon name it, or a learner.
fn replica(voter: bool, initialised: bool) -> LogReplica<MemoryStorage> {
    let voters = if voter { ids() } else { ids()[1..].to_vec() };
    let config = ReplicaConfig::new(&ids()[0], &ids(), &voters).with_election(ELECTION);
    let mut storage = MemoryStorage::new().with_durable(true);
    let vote = VoteRecord { initialised, ..VoteRecord::default() };
    storage.set_vote(vote).expect("memory takes it");
    LogReplica::new(config, storage, Instant::now())
}

/// What an entry says about the disk of a.
#[derive(Clone, Copy)]
enum Names {
    Own,
    Other,
    Nothing,
}

fn payload(names: Names, own: DiskId) -> EntryPayload {
    let disk = match names {
        Names::Own => own,
        Names::Other => DiskId(1),
        Names::Nothing => return EntryPayload::Noop,
    };
    let disks = ids().into_iter().zip([disk, DiskId(2), DiskId(3)]);
    let disks = disks.map(|(voter, disk)| VoterDisk { voter, disk }).collect();
    EntryPayload::VoterSet(VoterSet { voters: ids(), disks })
}

/// The first entries of a leader's log, up to an index.
fn append(payloads: &[EntryPayload], last: u64, commit: u64) -> LogMessage {
    let payload = |index: u64| payloads.get(index as usize - 1).cloned();
    let entry = |index: u64| LogEntry {
        index: LogIndex(index),
        term: Term(1),
        payload: payload(index).unwrap_or(EntryPayload::Noop),
    };
    LogMessage::Append(AppendRequest {
        term: Term(1),
        previous_index: LogIndex(0),
        previous_term: Term(0),
        entries: (1..=last).map(entry).collect(),
        commit: LogIndex(commit),
        round: 1,
        confirmed_ms: 0,
        lease_ms: 0,
        acknowledged: None,
    })
}

/// Guards against a voter that neither founds nor elects because it holds an entry that is committed
/// nowhere and whose log does not name its disk.
#[rstest]
#[case::own_disk(&[Names::Own], 1, 0, 1)]
#[case::other_disk(&[Names::Other], 1, 0, 0)]
#[case::other_disk_with_more(&[Names::Other], 3, 0, 0)]
#[case::other_disk_committed(&[Names::Other], 1, 1, 1)]
#[case::own_disk_later(&[Names::Other, Names::Own], 3, 0, 3)]
#[case::other_disk_later(&[Names::Own, Names::Other], 3, 0, 0)]
#[case::other_disk_in_full_batch(&[Names::Other], FULL_BATCH, 0, FULL_BATCH)]
#[case::no_disk(&[Names::Nothing], 1, 0, 0)]
#[case::no_disk_committed(&[Names::Nothing], 1, 1, 1)]
fn on_append_of_first_entries(
    #[case] names: &[Names],
    #[case] last: u64,
    #[case] commit: u64,
    #[case] stored: u64,
) {
    let mut replica = replica(true, false);
    let own = replica.storage().vote().disk.expect("it has a disk");
    let payloads: Vec<EntryPayload> = names.iter().map(|names| payload(*names, own)).collect();
    let now = Instant::now();
    replica.step(&ids()[1], append(&payloads, last, commit), now);
    assert_eq!(replica.storage().window().last_index(), LogIndex(stored));
    let sent = replica.flush(now);
    let [(_, LogMessage::AppendReply(reply))] = &sent[..] else { panic!("one answer: {sent:?}") };
    assert_eq!((reply.accepted, reply.matched), (true, LogIndex(stored)));
}

/// Guards against learners, and voters of an earlier release that count without a named disk, that are
/// kept without entries.
#[rstest]
#[case::learner(false, false)]
#[case::voter_of_earlier_release(true, true)]
fn on_append_of_first_entry_without_disk(#[case] voter: bool, #[case] initialised: bool) {
    let mut replica = replica(voter, initialised);
    replica.step(&ids()[1], append(&[EntryPayload::Noop], 1, 0), Instant::now());
    assert_eq!(replica.storage().window().last_index(), LogIndex(1));
}

/// Guards against a leader and a voter that exchange the first entry without a pause until it is
/// committed.
#[rstest]
fn on_append_reply_without_stored_entry() {
    let now = Instant::now();
    let mut voters: Vec<LogReplica<MemoryStorage>> = ids()
        .iter()
        .map(|id| {
            let config = ReplicaConfig::new(id, &ids(), &ids()).with_election(ELECTION);
            LogReplica::new(config, MemoryStorage::new().with_durable(true), now)
        })
        .collect();
    let mut now = now;
    while !voters[0].is_leader() {
        now = now.max(voters[0].next_deadline());
        voters[0].tick(now);
        let mut sent: Vec<(usize, DaemonId, LogMessage)> = Vec::new();
        sent.extend(voters[0].flush(now).into_iter().map(|(to, message)| (0, to, message)));
        while let Some((from, to, message)) = sent.pop() {
            if matches!(message, LogMessage::Append(_)) {
                continue;
            }
            let to = ids().iter().position(|id| *id == to).expect("known");
            voters[to].step(&ids()[from], message, now);
            let answers = voters[to].flush(now);
            sent.extend(answers.into_iter().map(|(next, message)| (to, next, message)));
        }
    }
    let config = ReplicaConfig::new(&ids()[1], &ids(), &ids()).with_election(ELECTION);
    voters[1] = LogReplica::new(config, MemoryStorage::new().with_durable(true), now);
    now = voters[0].next_deadline();
    voters[0].tick(now);
    let mut exchanged = 0;
    let mut to_voter = voters[0].flush(now);
    while let Some((_, message)) = to_voter.iter().find(|(to, _)| *to == ids()[1]).cloned() {
        exchanged += 1;
        assert!(exchanged < 10, "the leader sends the entry again and again");
        voters[1].step(&ids()[0], message, now);
        let (_, reply) = voters[1].flush(now).pop().expect("it answers");
        voters[0].step(&ids()[1], reply, now);
        to_voter = voters[0].flush(now);
    }
    assert_eq!(voters[1].storage().window().last_index(), LogIndex(0));
}
