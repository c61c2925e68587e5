//! A change of the voters that is proposed again before it is committed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use hollowbarrow_log::{DriverConfig, LogDriver, ReplicaConfig, StateMachine};
use hollowbarrow_schema::{DaemonId, EntryPayload, LogEntry, ProposalOutcome};
use rstest::rstest;

/// Longest time for an expected change.
const TIMEOUT: Duration = Duration::from_secs(15);

struct EmptyMachine;

impl StateMachine for EmptyMachine {
    fn apply(&mut self, _: &LogEntry) -> ProposalOutcome {
        ProposalOutcome::Held
    }

    fn to_snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) -> bool {
        true
    }
}

type Drivers = Arc<OnceLock<Vec<LogDriver<EmptyMachine>>>>;

fn ids() -> Vec<DaemonId> {
    ["a", "b", "c"].map(DaemonId::from).to_vec()
}

/// Starts drivers whose messages are lost while `cut` is set.
fn start(folder: &std::path::Path, cut: &Arc<AtomicBool>) -> Drivers {
    let drivers: Drivers = Arc::default();
    let started = ids().into_iter().zip(1..).map(|(id, seed)| {
        let config = ReplicaConfig::new(&id, &ids(), &ids()[..2])
            .with_election(Duration::from_millis(400))
            .with_seed(seed);
        let config = DriverConfig::new(config, Some(folder.join(id.as_str())));
        let (others, cut) = (Arc::clone(&drivers), Arc::clone(cut));
        LogDriver::start(config, EmptyMachine, move |to, message| {
            let to = ids().iter().position(|other| other == to).expect("known");
            if let Some(drivers) = others.get().filter(|_| !cut.load(Ordering::SeqCst)) {
                drivers[to].deliver(&id, message);
            }
        })
        .expect("the driver starts")
    });
    let started: Vec<LogDriver<EmptyMachine>> = started.collect();
    assert!(drivers.set(started).is_ok());
    drivers
}

/// Returns the leader, once it has heard from all.
fn wait_for_leader(drivers: &Drivers) -> &LogDriver<EmptyMachine> {
    let drivers = drivers.get().expect("all are started");
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        let ready = |driver: &&LogDriver<EmptyMachine>| {
            let view = driver.view();
            view.current && view.candidates == ids()[2..]
        };
        if let Some(leader) = drivers.iter().find(ready) {
            return leader;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("no leader that hears from all")
}

/// A proposal that repeats a change must not be told that it took effect before it is committed: the
/// next leader may not have it.
#[rstest]
fn change_repeated_before_commit() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let cut = Arc::new(AtomicBool::new(false));
    let drivers = start(folder.path(), &cut);
    let leader = wait_for_leader(&drivers);
    cut.store(true, Ordering::SeqCst);
    let first = leader.propose(EntryPayload::Voters(ids()));
    let repeated = leader.propose(EntryPayload::Voters(ids())).recv_timeout(TIMEOUT);
    assert_eq!(repeated, Ok(ProposalOutcome::Busy));
    cut.store(false, Ordering::SeqCst);
    let _ = first.recv_timeout(TIMEOUT);
    let leader = wait_for_admission(&drivers);
    let repeated = leader.propose(EntryPayload::Voters(ids())).recv_timeout(TIMEOUT);
    assert_eq!(repeated, Ok(ProposalOutcome::VotersChanged));
    drivers.get().expect("all are started").iter().for_each(LogDriver::stop);
}

/// Returns the leader, once the third voter is admitted; proposes it again if the first proposal was
/// lost with its leader.
fn wait_for_admission(drivers: &Drivers) -> &LogDriver<EmptyMachine> {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        for driver in drivers.get().expect("all are started") {
            let view = driver.view();
            if view.current && view.voters.len() == 3 && !view.voters_pending {
                return driver;
            }
            if view.current && !view.voters_pending {
                let _ = driver.propose(EntryPayload::Voters(ids())).recv_timeout(TIMEOUT);
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the third voter is not admitted")
}
