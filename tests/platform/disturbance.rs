//! Disturbances of a soak run, drawn from a seed.
//!
//! Several series overlap: each disturbance starts at its own time and lasts for a while,
//! independent of the others. Disks are lost one at a time, since the system tolerates the loss of
//! one.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time span in which disturbances start.
pub const DISTURBED_TIME: Duration = Duration::from_secs(8);
/// Longest time span in which other disturbances start beside a series of lost disks.
pub const LOST_DISKS_TIME: Duration = Duration::from_secs(150);
/// Number of overlapping series.
const SERIES: usize = 3;
/// Bounds of the duration of a disturbance and of the pause after it, in milliseconds.
const DURATION_MS: (u64, u64) = (300, 2500);
const PAUSE_MS: (u64, u64) = (100, 1200);

/// Kind of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// A daemon is killed and started again.
    Kill,
    /// A daemon is suspended and resumed.
    Freeze,
    /// A daemon is asked to shut down, and started again.
    Terminate,
    /// A controller is killed and its disk is lost.
    Wipe,
    /// All controllers are killed at once.
    KillControllers,
    /// A daemon is partitioned from all others.
    IsolateDaemon,
    /// One direction of a link drops all traffic.
    SilenceLink,
    /// A link's connections are closed and refused.
    CloseLink,
    /// A link is slow.
    DelayLink,
    /// A worker is killed, and a worker with another id replaces it.
    KillWorker,
    /// A worker is partitioned from controllers, while gateways reach it.
    PartitionWorker,
    /// A worker leaves orders unanswered and executes them late.
    LateOrders,
    /// A worker reports that it is leaving and terminates, and a worker with another id replaces
    /// it.
    DrainWorker,
    /// A worker is killed, and started again with the same id after a while.
    RestartWorker,
    /// A worker is killed, and started again with the same id at once.
    RestartWorkerAtOnce,
    /// Other writers send records with a worker's id.
    ForeignRecords,
    /// A request that crashes the workers that run it is sent several times.
    CrashingRequest,
    /// A worker rejects requests and asks for a backoff for a while.
    RejectRequests,
    /// A worker states in its answers that it is leaving, and does not report it to controllers.
    LeaveUnreported,
    /// A worker states a request limit for a while.
    SetLimit,
    /// Many duplicates of a request that crashes the workers that run it are sent at once.
    CrashingBurst,
    /// Different requests that share a part of their prompts which crashes workers are sent for a while.
    CrashingPart,
    /// A gateway is partitioned from all workers, while callers and other daemons reach it.
    CutWorkers,
    /// All daemons are killed at once, and one controller's disk is lost.
    LosePower,
}

const KINDS: [DisturbanceKind; 13] = [
    DisturbanceKind::Kill,
    DisturbanceKind::Freeze,
    DisturbanceKind::Terminate,
    DisturbanceKind::Wipe,
    DisturbanceKind::KillControllers,
    DisturbanceKind::IsolateDaemon,
    DisturbanceKind::SilenceLink,
    DisturbanceKind::CloseLink,
    DisturbanceKind::DelayLink,
    DisturbanceKind::KillWorker,
    DisturbanceKind::PartitionWorker,
    DisturbanceKind::LateOrders,
    DisturbanceKind::DrainWorker,
];

/// Kinds of a separate series. It has its own seed, so that the other disturbances of a seed stay
/// the same.
const INSTANCE_KINDS: [DisturbanceKind; 4] = [
    DisturbanceKind::RestartWorker,
    DisturbanceKind::RestartWorkerAtOnce,
    DisturbanceKind::ForeignRecords,
    DisturbanceKind::CrashingRequest,
];
/// Value that is combined with the seed of a run by XOR, so that this series gets its own seed.
const INSTANCE_SEED: u64 = 0x11fe;
/// Kinds of the series with notices of workers, and the value that is combined with the run's seed.
const NOTICE_KINDS: [DisturbanceKind; 2] =
    [DisturbanceKind::RejectRequests, DisturbanceKind::LeaveUnreported];
const NOTICE_SEED: u64 = 0xdead;

/// Kinds of the series with request limits, and the value that is combined with the run's seed.
const LIMIT_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::SetLimit];
const LIMIT_SEED: u64 = 0x1131;

/// Kinds of a separate series, since a burst leaves few workers for a while, and the value that is
/// combined with the run's seed.
const BURST_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::CrashingBurst];
const BURST_SEED: u64 = 0xb0057;

/// Kinds of the series with parts that crash workers, and the value that is combined with the run's
/// seed.
const PART_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::CrashingPart];
const PART_SEED: u64 = 0x9a27;

/// Kinds of the series that partition gateways from workers, and the value that is combined with the
/// run's seed.
const CUT_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::CutWorkers];
const CUT_SEED: u64 = 0xc07e;
/// Number of these series. Several gateways may be partitioned at once.
const CUT_SERIES: u64 = 2;

/// Value that is combined with the run's seed for the power loss, and the bounds of its start time.
const POWER_LOSS_SEED: u64 = 0x90e5;
const POWER_LOSS_AT_MS: (u64, u64) = (2_000, 7_000);
/// Bounds of the duration of the power loss.
const OUTAGE_MS: (u64, u64) = (200, 1_500);

/// Number of times that disks are lost in a series, and the value that is combined with the run's
/// seed for it.
const DISK_LOSSES: usize = 3;
const DISK_LOSSES_SEED: u64 = 0xd15c;
/// Bounds of the time between the end of one recovery and the next lost disk.
const INTACT_MS: (u64, u64) = (1_000, 4_000);

/// A controller loses its disk and, once it no longer counts as lost, all daemons lose power and
/// another controller its disk.
#[derive(Clone, Copy, Debug)]
pub struct DiskLoss {
    /// Time from the end of the recovery before.
    pub pause: Duration,
    /// Time until the first controller returns.
    pub duration: Duration,
    /// Time without power.
    pub outage: Duration,
    /// Controller that loses its disk first.
    pub first: usize,
    /// Controller that loses its disk with the power.
    pub second: usize,
}

/// Draws the series of lost disks of a seed.
pub fn draw_disk_losses(seed: u64, controllers: usize) -> Vec<DiskLoss> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ DISK_LOSSES_SEED);
    let mut draw_loss = || {
        let first = rng.random_range(0..controllers);
        DiskLoss {
            pause: draw_ms(&mut rng, INTACT_MS),
            duration: draw_ms(&mut rng, DURATION_MS),
            outage: draw_ms(&mut rng, OUTAGE_MS),
            first,
            second: (first + rng.random_range(1..controllers)) % controllers,
        }
    };
    (0..DISK_LOSSES).map(|_| draw_loss()).collect()
}

/// One disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Start time, relative to the start of the run.
    pub at: Duration,
    /// Time between start and end.
    pub duration: Duration,
    /// Kind of the disturbance.
    pub kind: DisturbanceKind,
    /// Number that selects the daemon, the worker or the first end of a link.
    pub first: usize,
    /// Number that selects the second end of a link, or other details of the disturbance.
    pub second: usize,
}

/// Draws the disturbances of a seed that start within `time`, ordered by start time.
pub fn draw_disturbances(seed: u64, time: Duration) -> Vec<Disturbance> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for _ in 0..SERIES {
        draw_series(&mut rng, &KINDS, time, &mut drawn);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ INSTANCE_SEED);
    draw_series(&mut rng, &INSTANCE_KINDS, time, &mut drawn);
    for series in 0..SERIES as u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (NOTICE_SEED + series));
        draw_series(&mut rng, &NOTICE_KINDS, time, &mut drawn);
    }
    for series in 0..SERIES as u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (LIMIT_SEED + series));
        draw_series(&mut rng, &LIMIT_KINDS, time, &mut drawn);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ BURST_SEED);
    draw_series(&mut rng, &BURST_KINDS, time, &mut drawn);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ PART_SEED);
    draw_series(&mut rng, &PART_KINDS, time, &mut drawn);
    for series in 0..CUT_SERIES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (CUT_SEED + series));
        draw_series(&mut rng, &CUT_KINDS, time, &mut drawn);
    }
    drawn.push(draw_power_loss(seed));
    drawn.sort_by_key(|disturbance| disturbance.at);
    drawn
}

fn draw_power_loss(seed: u64) -> Disturbance {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ POWER_LOSS_SEED);
    Disturbance {
        at: draw_ms(&mut rng, POWER_LOSS_AT_MS),
        duration: draw_ms(&mut rng, OUTAGE_MS),
        kind: DisturbanceKind::LosePower,
        first: rng.random_range(0..1000),
        second: rng.random_range(0..1000),
    }
}

fn draw_series(
    rng: &mut ChaCha8Rng,
    kinds: &[DisturbanceKind],
    time: Duration,
    drawn: &mut Vec<Disturbance>,
) {
    let mut at = draw_ms(rng, PAUSE_MS);
    while at < time {
        let duration = draw_ms(rng, DURATION_MS);
        drawn.push(Disturbance {
            at,
            duration,
            kind: kinds[rng.random_range(0..kinds.len())],
            first: rng.random_range(0..1000),
            second: rng.random_range(0..1000),
        });
        at += duration + draw_ms(rng, PAUSE_MS);
    }
}

fn draw_ms(rng: &mut ChaCha8Rng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(least..most))
}
