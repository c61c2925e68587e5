//! Suspensions of a machine, with stand-in clocks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hollowbarrow_member::{BootClock, SuspensionClock, SuspensionDetector};
use rstest::rstest;
use tokio::time::Instant;

/// A clock that the test moves, in milliseconds of suspension.
#[derive(Clone, Default)]
struct StandinClock(Arc<AtomicU64>);

impl SuspensionClock for StandinClock {
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
fn woke_after_suspension(#[case] length_ms: u64, #[case] noticed: bool) {
    let clock = StandinClock::default();
    clock.0.store(70_000, Ordering::SeqCst);
    let watch = SuspensionDetector::with_clock(clock.clone());
    let start = Instant::now();
    assert_eq!(watch.last_resumed(start), None, "what was before it does not count");
    clock.0.fetch_add(length_ms, Ordering::SeqCst);
    let now = start + ms(10);
    assert_eq!(watch.last_resumed(now), noticed.then_some(now));
    assert_eq!(watch.last_resumed(now + ms(500)), noticed.then_some(now), "it is noticed once");
}

/// A confirmation was heard 10 ms before by the clock of the runtime, and the machine slept since.
#[rstest]
fn has_slept_since_confirmation() {
    let clock = StandinClock::default();
    let watch = SuspensionDetector::with_clock(clock.clone());
    let heard = Instant::now();
    assert!(!watch.was_suspended_since(heard, heard + ms(5)));
    clock.0.store(4000, Ordering::SeqCst);
    let woke = heard + ms(10);
    assert!(watch.was_suspended_since(heard, woke));
    assert!(!watch.was_suspended_since(woke + ms(1), woke + ms(2)), "heard after it woke");
}

/// The machine of the tests is not suspended while they run.
#[rstest]
fn suspended_goes_not_back() {
    let first = BootClock.suspended();
    let watch = SuspensionDetector::new();
    assert_eq!(watch.last_resumed(Instant::now()), None);
    assert!(BootClock.suspended() < first + ms(50));
}
