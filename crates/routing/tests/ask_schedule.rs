//! Which daemons are asked to accept a proposal, and when.

use std::time::Duration;

use hollowbarrow_routing::AskSchedule;
use hollowbarrow_schema::DaemonId;
use rstest::rstest;
use tokio::time::Instant;

fn daemon(id: &str) -> DaemonId {
    DaemonId::from(id)
}

fn voters() -> Vec<DaemonId> {
    ["a0", "b0", "c0"].map(DaemonId::from).to_vec()
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Guards against waiting for a voter that does not answer before the next one is asked.
#[rstest]
fn take_due_without_leader() {
    let now = Instant::now();
    let mut schedule = AskSchedule::new();
    assert_eq!(schedule.take_due(None, voters(), now), voters());
    schedule.record_refusal(&daemon("b0"), now + ms(10));
    schedule.record_refusal(&daemon("c0"), now + ms(10));
    assert_eq!(schedule.next_due(), Some(now + ms(50)));
    let asked_again = schedule.take_due(None, voters(), now + ms(50));
    assert_eq!(asked_again, [daemon("b0"), daemon("c0")], "the first one may still answer");
}

/// A known leader is asked alone until it refuses or is late.
#[rstest]
#[case::refuses(true, 50)]
#[case::silent(false, 700)]
fn take_due_with_leader(#[case] refuses: bool, #[case] again_ms: u64) {
    let now = Instant::now();
    let leader = Some(daemon("b0"));
    let mut schedule = AskSchedule::new();
    assert_eq!(schedule.take_due(leader.clone(), voters(), now), [daemon("b0")]);
    if refuses {
        schedule.record_refusal(&daemon("b0"), now + ms(10));
        let others = schedule.take_due(leader.clone(), voters(), now + ms(10));
        assert_eq!(others, [daemon("a0"), daemon("c0")]);
    }
    assert!(schedule.take_due(leader.clone(), voters(), now + ms(again_ms - 1)).is_empty());
    let again = schedule.take_due(leader, voters(), now + ms(again_ms));
    assert_eq!(again, if refuses { vec![daemon("b0")] } else { voters() });
}

/// Many proposals that wait for an election must not take the processor time that it needs.
#[rstest]
fn record_refusal_slows_down() {
    let mut now = Instant::now();
    let mut schedule = AskSchedule::new();
    let mut pauses = Vec::new();
    for _ in 0..5 {
        schedule.take_due(None, vec![daemon("a0")], now);
        schedule.record_refusal(&daemon("a0"), now);
        let due = schedule.next_due().expect("a daemon was asked");
        pauses.push((due - now).as_millis());
        now = due;
    }
    assert_eq!(pauses, [40, 80, 160, 160, 160]);
}
