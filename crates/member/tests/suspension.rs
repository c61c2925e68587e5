//! Detection of suspensions, with a clock that the test controls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hollowbarrow_member::{BootClock, SuspensionClock, SuspensionDetector};
use rstest::rstest;
use tokio::time::Instant;

/// Suspension clock set by the test, in milliseconds.
#[derive(Clone, Default)]
struct FakeClock(Arc<AtomicU64>);

impl SuspensionClock for FakeClock {
    fn suspended(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::SeqCst))
    }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[rstest]
#[case::none(0, false)]
#[case::too_short(49, false)]
#[case::short(50, true)]
#[case::seconds(5000, true)]
fn last_resumed_after_suspension(#[case] length_ms: u64, #[case] noticed: bool) {
    let clock = FakeClock::default();
    clock.0.store(70_000, Ordering::SeqCst);
    let detector = SuspensionDetector::with_clock(clock.clone());
    let start = Instant::now();
    assert_eq!(
        detector.last_resumed(start),
        None,
        "suspensions before the detector was created are not reported"
    );
    clock.0.fetch_add(length_ms, Ordering::SeqCst);
    let now = start + ms(10);
    assert_eq!(detector.last_resumed(now), noticed.then_some(now));
    assert_eq!(
        detector.last_resumed(now + ms(500)),
        noticed.then_some(now),
        "a suspension is reported once"
    );
}

/// A confirmation that is 10 ms old by the clock of the runtime was received before a suspension of
/// 4 s.
#[rstest]
fn was_suspended_since_confirmation() {
    let clock = FakeClock::default();
    let detector = SuspensionDetector::with_clock(clock.clone());
    let received = Instant::now();
    assert!(!detector.was_suspended_since(received, received + ms(5)));
    clock.0.store(4000, Ordering::SeqCst);
    let resumed = received + ms(10);
    assert!(detector.was_suspended_since(received, resumed));
    assert!(
        !detector.was_suspended_since(resumed + ms(1), resumed + ms(2)),
        "received after the resume"
    );
}

/// The system's clocks report no suspension while the test runs.
#[rstest]
fn suspended_without_suspension() {
    let first = BootClock.suspended();
    let detector = SuspensionDetector::new();
    assert_eq!(detector.last_resumed(Instant::now()), None);
    assert!(BootClock.suspended() < first + ms(50));
}
