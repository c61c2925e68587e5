//! Which daemons count as lost while disturbances overlap.
//!
//! A controller counts as lost while it is down, suspended, slowed or cut off, and for
//! [`CATCH_UP_TIME`] after its return. One controller may be lost, with its disk, while everything
//! is served on. Losses may overlap beyond that as long as no second disk is lost; service may then
//! rest until [`RECOVERY_TIME`] after all are back, and nothing acknowledged is lost.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use crate::system::CONTROLLERS;

/// Time after its return for which a controller counts as lost.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time after the return of all daemons within which they serve again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time without a disturbance after which bounds of time hold for a gateway.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A daemon that is away, or a link that is disturbed.
#[derive(Clone, Debug)]
struct Loss {
    /// The daemon, or both ends of the link.
    daemons: Vec<usize>,
    /// Time of the return; `None` before it.
    until: Option<Instant>,
}

impl Loss {
    /// Whether the loss lasts, or ended less than `time` before `now`.
    fn lasts(&self, time: Duration, now: Instant) -> bool {
        self.until.is_none_or(|until| now.saturating_duration_since(until) < time)
    }

    /// Whether the loss keeps controllers from each other. A link between a controller and a
    /// gateway does not.
    fn concerns_controllers(&self) -> bool {
        self.daemons.iter().all(|daemon| *daemon < CONTROLLERS)
    }
}

/// Names a loss that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossId(usize);

/// Record of all losses of a run.
#[derive(Debug, Default)]
pub struct Losses(Mutex<Vec<Loss>>);

impl Losses {
    /// Records that a daemon, or a link between two, is lost.
    pub fn begin(&self, daemons: &[usize]) -> LossId {
        let mut losses = self.lock();
        losses.push(Loss { daemons: daemons.to_vec(), until: None });
        LossId(losses.len() - 1)
    }

    /// Records the return.
    pub fn end(&self, id: LossId, now: Instant) {
        self.lock()[id.0].until = Some(now);
    }

    /// Returns whether controllers count as lost even if `spared` and its links are left out. A link
    /// that `spared` is an end of is accounted for by `spared` alone being cut off.
    pub fn is_other_lost(&self, spared: usize, now: Instant) -> bool {
        let other = |loss: &Loss| loss.concerns_controllers() && !loss.daemons.contains(&spared);
        self.lock().iter().any(|loss| other(loss) && loss.lasts(CATCH_UP_TIME, now))
    }

    /// Returns whether any controller counts as lost.
    pub fn is_controller_lost(&self, now: Instant) -> bool {
        self.lock().iter().any(|loss| loss.concerns_controllers() && loss.lasts(CATCH_UP_TIME, now))
    }

    /// Returns whether bounds of time hold for a gateway: neither it nor any controller was
    /// disturbed lately. After a disturbance of all controllers that takes twice as long; the same
    /// time is used for each disturbance of controllers.
    pub fn is_in_touch(&self, gateway: usize, now: Instant) -> bool {
        let daemon = CONTROLLERS + gateway;
        let disturbs = |loss: &Loss| {
            (loss.daemons.contains(&daemon) && loss.lasts(CONTACT_TIME, now))
                || (loss.concerns_controllers() && loss.lasts(2 * CONTACT_TIME, now))
        };
        !self.lock().iter().any(disturbs)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Loss>> {
        self.0.lock().expect("not poisoned")
    }
}

// Guards against a second disk lost, by the test itself, while a controller still counts as lost.
#[rstest]
#[case::other_away(&[1], None, true)]
#[case::other_returned_just_now(&[1], Some(3_999), true)]
#[case::other_caught_up(&[1], Some(4_000), false)]
#[case::link_between_others(&[1, 2], None, true)]
#[case::own_link(&[0, 1], None, false)]
#[case::link_to_gateway(&[1, 4], None, false)]
#[case::gateway(&[4], None, false)]
fn is_other_lost_of_first_controller(
    #[case] daemons: &[usize],
    #[case] ended_ms: Option<u64>,
    #[case] expected: bool,
) {
    let losses = Losses::default();
    let id = losses.begin(daemons);
    let mut now = Instant::now();
    if let Some(ended_ms) = ended_ms {
        losses.end(id, now);
        now += Duration::from_millis(ended_ms);
    }
    assert_eq!(losses.is_other_lost(0, now), expected);
}

// Guards against checks of a gateway that are skipped although it has long been undisturbed.
#[rstest]
#[case::own_loss(&[3], 2_999, false)]
#[case::own_loss_ended(&[3], 3_000, true)]
#[case::controller(&[0], 5_999, false)]
#[case::controller_returned(&[0], 6_000, true)]
#[case::other_gateway(&[4], 0, true)]
#[case::own_link(&[1, 3], 2_999, false)]
fn is_in_touch_first_gateway(
    #[case] daemons: &[usize],
    #[case] ended_ms: u64,
    #[case] expected: bool,
) {
    let losses = Losses::default();
    let id = losses.begin(daemons);
    let now = Instant::now();
    losses.end(id, now);
    assert_eq!(losses.is_in_touch(0, now + Duration::from_millis(ended_ms)), expected);
}
