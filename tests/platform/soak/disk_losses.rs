//! A series of lost disks in a soak run, beside the other disturbances.
//!
//! A controller loses its disk, returns with an empty one and counts as lost for [`CATCH_UP_TIME`].
//! Then all daemons lose power at once, and another controller loses its disk.
//!
//! The promise that nothing acknowledged is lost holds while one controller of three is lost with
//! its disk, and a controller that is away, slowed or cut off counts as lost until
//! [`CATCH_UP_TIME`] after its return. So while the first controller counts as lost, other
//! disturbances reach only itself; each of them postpones its return. A disturbance of the other
//! two would be a second loss: the first controller may then lack a majority to catch up from, the
//! promise permits that it rests until [`RECOVERY_TIME`] after all are back, and the next lost disk
//! within that time would be one more than allowed.
//!
//! Likewise no controller is disturbed after the loss of power until the leader counts all voters.
//! All were lost at once, one of them with its disk, so the promise gives them [`RECOVERY_TIME`]
//! from when all are back, and a further loss would postpone that. Between two lost disks, the other
//! disturbances reach any controllers, also all of them at once: they keep their disks.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::{Running, Soak};
use crate::disturbance::{DiskLoss, Disturbance, DisturbanceKind};
use crate::losses::{CATCH_UP_TIME, LossId, RECOVERY_TIME};
use crate::observer::Observer;
use crate::system::{CONTROLLERS, Signal};

/// Interval between two polls of a stage's end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the return of all daemons in which no controller is disturbed. Within it the bounds of
/// time hold again for gateways, and their routes are checked for a while.
const CALM_TIME: Duration = Duration::from_secs(8);

/// State of the series.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// No disk is lost until the given time.
    Intact { until: Instant },
    /// The next disk is lost as soon as no other controller counts as lost.
    Due,
    /// A controller is down, and returns at the given time.
    Lost { until: Instant, id: LossId },
    /// The controller has returned, and counts as lost.
    CatchingUp { since: Instant },
    /// All daemons are without power until the given time.
    Outage { until: Instant },
    /// All daemons have been started again.
    Recovering { since: Instant, led: bool, counted: bool },
}

/// The series of a run.
#[derive(Debug)]
pub(super) struct DiskLosses {
    /// The next disk losses. The first one is under way unless the stage is [`Stage::Intact`].
    waiting: VecDeque<DiskLoss>,
    stage: Stage,
    /// Losses of all daemons by the outage.
    outage: Vec<LossId>,
    /// Whether the controllers did not recover, which ends the series.
    failed: bool,
}

impl DiskLosses {
    pub(super) fn new(losses: Vec<DiskLoss>) -> Self {
        let first = losses.first().map_or(Duration::ZERO, |loss| loss.pause);
        Self {
            waiting: losses.into(),
            stage: Stage::Intact { until: Instant::now() + first },
            outage: Vec::new(),
            failed: false,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns when the stage may end next.
    pub(super) fn next_step(&self) -> Option<Instant> {
        let poll = Instant::now() + POLL_INTERVAL;
        (!self.is_over()).then_some(match self.stage {
            Stage::Intact { until } | Stage::Lost { until, .. } | Stage::Outage { until } => until,
            Stage::CatchingUp { since } => poll.max(since + CATCH_UP_TIME),
            Stage::Due | Stage::Recovering { .. } => poll,
        })
    }

    /// Returns whether a disturbance may begin now, by the promise that the module describes.
    pub(super) fn permits(&self, disturbance: &Disturbance, lost: &[Vec<usize>]) -> bool {
        if matches!(disturbance.kind, DisturbanceKind::Wipe | DisturbanceKind::LosePower) {
            // This series alone loses disks.
            return false;
        }
        let Some(loss) = self.waiting.front() else { return true };
        let spared = loss.first;
        let mut of_controllers =
            lost.iter().filter(|daemons| daemons.iter().all(|daemon| *daemon < CONTROLLERS));
        match self.stage {
            Stage::Intact { .. } => true,
            Stage::Due | Stage::Lost { .. } | Stage::CatchingUp { .. } => {
                of_controllers.all(|daemons| daemons.contains(&spared))
            }
            Stage::Outage { .. } | Stage::Recovering { .. } => of_controllers.next().is_none(),
        }
    }
}

impl Soak {
    /// Ends the stage of the disk losses if it is due.
    pub(super) async fn step_disk_losses(
        &mut self,
        running: &mut Vec<Running>,
        observer: &Observer,
    ) {
        let Some(loss) = self.disk_losses.waiting.front().copied() else { return };
        let now = Instant::now();
        let next = match self.disk_losses.stage {
            Stage::Intact { until } if now >= until => Some(Stage::Due),
            Stage::Due => self.lose_disk(&loss),
            Stage::Lost { until, id } if now >= until => Some(self.return_controller(&loss, id)),
            Stage::CatchingUp { since } if now >= since + CATCH_UP_TIME => {
                self.lose_power_after_return(&loss, running).await
            }
            Stage::Outage { until } if now >= until => Some(self.return_all(&loss)),
            Stage::Recovering { since, led, counted } => {
                self.check_recovery(since, led, counted, observer).await
            }
            _ => None,
        };
        if let Some(stage) = next {
            println!("disk losses after {:?}: {stage:?} of {loss:?}", self.started.elapsed());
            self.disk_losses.stage = stage;
        }
    }

    fn lose_disk(&mut self, loss: &DiskLoss) -> Option<Stage> {
        let now = Instant::now();
        if self.losses.is_other_lost(loss.first, now) || !self.take_down(loss.first, Signal::Kill) {
            return None;
        }
        let id = self.losses.begin(&[loss.first]);
        Some(Stage::Lost { until: now + loss.duration, id })
    }

    fn return_controller(&mut self, loss: &DiskLoss, id: LossId) -> Stage {
        self.system.restart_controller(loss.first, true);
        self.down.retain(|down| *down != loss.first);
        let since = Instant::now();
        self.losses.end(id, since);
        Stage::CatchingUp { since }
    }

    async fn lose_power_after_return(
        &mut self,
        loss: &DiskLoss,
        running: &mut Vec<Running>,
    ) -> Option<Stage> {
        if self.losses.is_controller_lost(Instant::now()) {
            return None;
        }
        println!("disk losses: {}", self.describe_voters().await);
        // The outage replaces the disturbances of single processes, which would start them early.
        let (single, others) =
            std::mem::take(running).into_iter().partition(Running::is_of_process);
        *running = others;
        let single: Vec<Running> = single;
        let now = Instant::now();
        single.iter().flat_map(|one| &one.losses).for_each(|id| self.losses.end(*id, now));
        for daemon in 0..self.system.daemon_count() {
            self.system.signal(daemon, Signal::Kill);
            self.record_disturbed(daemon);
            self.disk_losses.outage.push(self.losses.begin(&[daemon]));
        }
        self.down = (0..self.system.daemon_count()).collect();
        self.power_lost_at.push(now);
        Some(Stage::Outage { until: now + loss.outage })
    }

    fn return_all(&mut self, loss: &DiskLoss) -> Stage {
        let began = Instant::now();
        self.system.lose_power(&[loss.second]);
        println!("TRACE lose_power took {:?}", began.elapsed());
        (0..self.system.daemon_count()).for_each(|daemon| self.record_disturbed(daemon));
        self.down.clear();
        let since = Instant::now();
        println!("TRACE returned at={}", std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis());
        let ended = std::mem::take(&mut self.disk_losses.outage);
        ended.into_iter().for_each(|id| self.losses.end(id, since));
        Stage::Recovering { since, led: false, counted: false }
    }

    /// Checks that a controller leads, and that it counts all voters, within [`RECOVERY_TIME`] after
    /// all daemons are back. No controller is disturbed meanwhile.
    async fn check_recovery(
        &mut self,
        since: Instant,
        mut led: bool,
        mut counted: bool,
        observer: &Observer,
    ) -> Option<Stage> {
        let before = (led, counted);
        let polled = Instant::now();
        let all = format!("controller_voters_counted {CONTROLLERS}");
        for controller in 0..CONTROLLERS {
            led |= self.system.has_metric(controller, "controller_leads 1").await;
            counted |= self.system.has_metrics(controller, &["controller_leads 1", &all]).await;
        }
        let elapsed = since.elapsed();
        println!("TRACE poll at {elapsed:?} took {:?} led={led} counted={counted}", polled.elapsed());
        if led && counted && elapsed > CALM_TIME {
            self.disk_losses.waiting.pop_front();
            let pause = self.disk_losses.waiting.front().map_or(Duration::ZERO, |loss| loss.pause);
            return Some(Stage::Intact { until: Instant::now() + pause });
        }
        if elapsed > RECOVERY_TIME {
            let voters = self.describe_voters().await;
            let what =
                if led { "the leader does not count all voters" } else { "no controller leads" };
            observer.report(format!("{what} {elapsed:?} after all daemons are back: {voters}"));
            self.disk_losses.waiting.clear();
            self.disk_losses.failed = true;
            return None;
        }
        let changed = (led, counted) != before;
        changed.then_some(Stage::Recovering { since, led, counted })
    }

    /// Returns what the controllers say about leader and voters.
    async fn describe_voters(&self) -> String {
        let mut described = Vec::new();
        for controller in 0..CONTROLLERS {
            let counted = self.system.metric(controller, "controller_voters_counted").await;
            let leads = self.system.has_metric(controller, "controller_leads 1").await;
            let votes = self.system.is_voter(controller);
            described.push(format!(
                "controller {controller} leads={leads} counted={counted:?} voter={votes}"
            ));
        }
        described.join(", ")
    }
}
