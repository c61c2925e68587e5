//! Configuration and claims against reference implementations.

use std::collections::{BTreeMap, BTreeSet};

use hollowbarrow_log::StateMachine;
use hollowbarrow_schema::{
    ChangeId, ChangeOutcome, ClaimClose, ClaimCommand, ClaimKey, ClaimOpen, ClaimOutcome,
    ClaimRelease, ClaimSweep, ConfigChange, ConfigCommand, DeploymentDocument, EndpointSpec,
    EntryPayload, LogEntry, LogIndex, ModelName, Revision, StoredAnswer, Term,
};
use hollowbarrow_state::{ClaimState, ConfigState, DeploymentState};
use proptest::prelude::*;
use rstest::rstest;

fn endpoint(name: u8, weight: u32) -> ConfigCommand {
    ConfigCommand::PutEndpoint(EndpointSpec {
        name: format!("e{name}"),
        model: ModelName::from("m"),
        address: "127.0.0.1:1".to_owned(),
        weight,
    })
}

fn change(id: u32, base: Option<u64>, command: ConfigCommand) -> ConfigChange {
    ConfigChange {
        id: ChangeId(id.to_string()),
        author: format!("operator {id}"),
        base: base.map(Revision),
        command,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares with a map of revisions and a map of outcomes; restoring a snapshot at any point
    /// changes nothing.
    #[test]
    fn apply_changes_like_reference(
        steps in prop::collection::vec((0u8..3, 0u32..30, prop::option::of(0u64..12), any::<bool>(), 0u8..10), 1..60)
    ) {
        let mut state = ConfigState::new();
        let mut revisions: BTreeMap<u8, u64> = BTreeMap::new();
        let mut outcomes: BTreeMap<u32, ChangeOutcome> = BTreeMap::new();
        for (index, (name, id, base, delete, snapshot)) in (1..).zip(steps) {
            let command = if delete {
                ConfigCommand::DeleteEndpoint(format!("e{name}"))
            } else {
                endpoint(name, id)
            };
            let outcome = state.apply_change(LogIndex(index), &change(id, base, command));
            if let Some(first) = outcomes.get(&id) {
                prop_assert_eq!(&outcome, first, "a repeated change got another outcome");
            } else {
                let current = revisions.get(&name).copied().unwrap_or(0);
                if base.is_none_or(|base| base == current) {
                    prop_assert_eq!(&outcome, &ChangeOutcome::Accepted(Revision(index)));
                    if delete { revisions.remove(&name); } else { revisions.insert(name, index); }
                } else {
                    let conflict =
                        matches!(&outcome, ChangeOutcome::Conflict(c) if *c.found == current);
                    prop_assert!(conflict, "{:?}", outcome);
                }
                outcomes.insert(id, outcome);
            }
            if snapshot == 0 {
                let mut restored = ConfigState::new();
                prop_assert!(restored.restore(&state.to_snapshot()));
                prop_assert_eq!(&restored, &state);
                state = restored;
            }
        }
        let names: BTreeSet<String> = revisions.keys().map(|name| format!("e{name}")).collect();
        prop_assert_eq!(state.endpoints().keys().cloned().collect::<BTreeSet<_>>(), names);
    }

    /// For any interleaving of opened, repeated, closed and expired claims, a key is granted to one
    /// attempt only, until that attempt releases it.
    #[test]
    fn claim_once(
        steps in prop::collection::vec((0u8..3, 0u8..4, 0u8..5, 0u64..4000), 1..120)
    ) {
        let mut state = ClaimState::new();
        let mut now = 1_000_000;
        let mut holder: BTreeMap<u8, u8> = BTreeMap::new();
        let mut closed_keys: BTreeSet<u8> = BTreeSet::new();
        let mut released: BTreeSet<(u8, u8)> = BTreeSet::new();
        for (key, attempt, kind, elapsed_ms) in steps {
            let name = ClaimKey(key.to_string());
            let attempt_id = attempt.to_string();
            match kind {
                0 | 1 => {
                    let open = ClaimOpen { key: name, fingerprint: 1, attempt: attempt_id, lifetime_ms: 2000 };
                    let granted = state.apply_command(&ClaimCommand::Open(open)) == ClaimOutcome::Granted;
                    match holder.get(&key) {
                        _ if released.contains(&(key, attempt)) => {
                            prop_assert!(!granted, "an attempt that had released the claim was granted it");
                        }
                        None => {
                            prop_assert!(granted, "a free key was not granted");
                            holder.insert(key, attempt);
                        }
                        Some(owner) if granted => {
                            prop_assert_eq!(*owner, attempt, "a claimed key was granted to another attempt");
                            prop_assert!(!closed_keys.contains(&key), "a closed claim was granted again");
                        }
                        Some(_) => {}
                    }
                }
                2 => {
                    let answer = StoredAnswer { status: 200, content_type: String::new(), body: attempt_id.clone() };
                    let close = ClaimClose { key: name, attempt: attempt_id, answer: Some(answer), ran: true };
                    let closed = state.apply_command(&ClaimCommand::Close(close)) == ClaimOutcome::Closed;
                    prop_assert_eq!(closed, holder.get(&key) == Some(&attempt));
                    if closed { closed_keys.insert(key); }
                }
                3 => {
                    let release = ClaimRelease { key: name, attempt: attempt_id };
                    let freed = state.apply_command(&ClaimCommand::Release(release)) == ClaimOutcome::Closed;
                    released.insert((key, attempt));
                    if freed {
                        prop_assert_eq!(holder.remove(&key), Some(attempt), "another attempt's claim was released");
                        prop_assert!(!closed_keys.contains(&key), "a closed claim was released");
                    }
                }
                _ => {
                    now += elapsed_ms;
                    let sweep = ClaimSweep { now_ms: now, retain_ms: 3_600_000 };
                    state.apply_command(&ClaimCommand::Sweep(sweep));
                }
            }
        }
    }
}

fn open(attempt: &str) -> ClaimCommand {
    ClaimCommand::Open(ClaimOpen {
        key: ClaimKey::from("k"),
        fingerprint: 1,
        attempt: attempt.to_owned(),
        lifetime_ms: 1000,
    })
}

fn sweep(now_ms: u64) -> ClaimCommand {
    ClaimCommand::Sweep(ClaimSweep { now_ms, retain_ms: 60_000 })
}

/// A claim that is opened between two sweeps an hour apart is dated to the second one, so that it
/// does not expire early.
#[rstest]
fn sweep_after_stalled_clock() {
    let mut state = ClaimState::new();
    state.apply_command(&sweep(1_000));
    assert_eq!(state.apply_command(&open("first")), ClaimOutcome::Granted);
    state.apply_command(&sweep(3_601_000));
    assert_eq!(state.apply_command(&open("second")), ClaimOutcome::InProgress);
    state.apply_command(&sweep(3_603_000));
    assert_eq!(state.apply_command(&open("second")), ClaimOutcome::Unknown);
}

#[rstest]
fn sweep_with_clock_regression() {
    let mut state = ClaimState::new();
    state.apply_command(&sweep(5_000));
    state.apply_command(&sweep(1_000));
    assert_eq!(state.now_ms(), 5_000);
}

#[rstest]
fn open_other_request() {
    let mut state = ClaimState::new();
    state.apply_command(&open("first"));
    let other = ClaimOpen {
        key: ClaimKey::from("k"),
        fingerprint: 2,
        attempt: "second".to_owned(),
        lifetime_ms: 1000,
    };
    assert_eq!(state.apply_command(&ClaimCommand::Open(other)), ClaimOutcome::Mismatch);
}

fn release(attempt: &str) -> ClaimCommand {
    ClaimCommand::Release(ClaimRelease { key: ClaimKey::from("k"), attempt: attempt.to_owned() })
}

/// Guards against a key that no request can use, since a request to open its claim arrived after the
/// release.
#[rstest]
#[case::never_opened(false)]
#[case::opened_twice(true)]
fn open_after_release(#[case] opened: bool) {
    let mut state = ClaimState::new();
    if opened {
        assert_eq!(state.apply_command(&open("first")), ClaimOutcome::Granted);
    }
    state.apply_command(&release("first"));
    assert_eq!(state.apply_command(&open("first")), ClaimOutcome::NotHeld);
    assert_eq!(state.apply_command(&open("second")), ClaimOutcome::Granted);
}

#[rstest]
fn sweep_removes_releases() {
    let mut state = ClaimState::new();
    state.apply_command(&release("first"));
    assert!(!state.is_empty(), "a sweep is needed");
    state.apply_command(&sweep(1_000));
    state.apply_command(&sweep(60_999));
    assert_eq!(state.apply_command(&open("first")), ClaimOutcome::NotHeld);
    state.apply_command(&sweep(61_000));
    assert!(state.is_empty());
}

/// A leader finds out whether another one may have acted on a configuration.
#[rstest]
#[case::none(&[], 1, false)]
#[case::own_term(&[(2, 3)], 2, false)]
#[case::own_term_replaced(&[(2, 3), (2, 4)], 2, false)]
#[case::earlier_term(&[(1, 3)], 2, true)]
#[case::earlier_term_replaced(&[(1, 3), (2, 4)], 2, true)]
fn configuration_older_than_term(
    #[case] entries: &[(u64, u64)],
    #[case] term: u64,
    #[case] expected: bool,
) {
    let mut state = DeploymentState::new();
    for (index, (term, version)) in (1..).zip(entries) {
        let document = DeploymentDocument { version: *version, text: String::new() };
        let payload = EntryPayload::Deployment(document);
        state.apply(&LogEntry { index: LogIndex(index), term: Term(*term), payload });
    }
    assert_eq!(state.is_older_than(Term(term)), expected);
    let mut restored = DeploymentState::new();
    assert!(restored.restore(&state.to_snapshot()));
    assert_eq!(restored.is_older_than(Term(term)), expected);
}
