//! Disturbances of a soak, drawn from a seed.
//!
//! Several series run over each other: each disturbance begins at a time of its own and lasts for
//! a while, whatever else is under way. Disks are lost one at a time, since that is what the
//! system is set up to bear.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time in which disturbances begin.
pub const DISTURBED_TIME: Duration = Duration::from_secs(8);
/// Series that run over each other.
const SERIES: usize = 3;
/// Bounds of the length of a disturbance and of the pause after it, in milliseconds.
const DURATION_MS: (u64, u64) = (300, 2500);
const PAUSE_MS: (u64, u64) = (100, 1200);

/// What is done to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// A daemon is killed and started again.
    Kill,
    /// A daemon stands still and goes on.
    Freeze,
    /// A daemon is told to end, and started again.
    Terminate,
    /// A controller is killed and its disk is lost.
    Wipe,
    /// All controllers are killed at once.
    KillControllers,
    /// A daemon is cut off from all others.
    IsolateDaemon,
    /// One direction of a link is silent.
    SilenceLink,
    /// A link's connections are closed and refused.
    CloseLink,
    /// A link is slow.
    DelayLink,
    /// A worker ends, and another life comes.
    KillWorker,
    /// A worker is cut off from controllers, while gateways reach it.
    PartitionWorker,
    /// A worker leaves orders unanswered and carries them out late.
    LateOrders,
    /// A worker says that it leaves, ends, and another life comes.
    DrainWorker,
    /// A worker ends, and starts again under its id after a while.
    RestartWorker,
    /// A worker ends, and starts again under its id at once.
    RestartWorkerAtOnce,
    /// Other writers use a worker's id.
    ForeignRecords,
    /// A request that ends the workers it runs on comes several times.
    CrashingRequest,
    /// A worker turns requests away and asks for none for a while.
    RejectRequests,
    /// A worker says in its answers that it leaves, and controllers hear of it only as it ends.
    LeaveUnreported,
    /// A worker names a limit for a while.
    SetLimit,
    /// Many copies of a request that ends the workers it runs on come at once.
    CrashingBurst,
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

/// Kinds of a series of their own, drawn apart so that a seed keeps its other disturbances.
const INSTANCE_KINDS: [DisturbanceKind; 4] = [
    DisturbanceKind::RestartWorker,
    DisturbanceKind::RestartWorkerAtOnce,
    DisturbanceKind::ForeignRecords,
    DisturbanceKind::CrashingRequest,
];
/// What makes the seed of that series another one.
const INSTANCE_SEED: u64 = 0x11fe;
/// Kinds of a third sort of series, and its seed.
const NOTICE_KINDS: [DisturbanceKind; 2] =
    [DisturbanceKind::RejectRequests, DisturbanceKind::LeaveUnreported];
const NOTICE_SEED: u64 = 0xdead;

/// Kinds of a fourth sort of series, and its seed.
const LIMIT_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::SetLimit];
const LIMIT_SEED: u64 = 0x1131;

/// Kinds of a series of their own, since one of them leaves few workers for a while.
const BURST_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::CrashingBurst];
const BURST_SEED: u64 = 0xb0057;

/// What makes the seed of a loss of power another one, and when that comes.
const POWER_LOSS_SEED: u64 = 0x90e5;
const POWER_LOSS_AT_MS: (u64, u64) = (2_000, 7_000);
/// Bounds of the time for which power is away.
const OUTAGE_MS: (u64, u64) = (200, 1_500);

/// One disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// When it begins.
    pub at: Duration,
    /// For how long it lasts.
    pub duration: Duration,
    /// What is done.
    pub kind: DisturbanceKind,
    /// Numbers by which daemons or workers are chosen.
    pub first: usize,
    /// The second end of a link.
    pub second: usize,
}

/// The disturbances of a seed, in the order in which they begin.
pub fn draw_disturbances(seed: u64) -> Vec<Disturbance> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut drawn = Vec::new();
    for _ in 0..SERIES {
        draw_series(&mut rng, &KINDS, &mut drawn);
    }
    draw_series(&mut ChaCha8Rng::seed_from_u64(seed ^ INSTANCE_SEED), &INSTANCE_KINDS, &mut drawn);
    for series in 0..SERIES as u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (NOTICE_SEED + series));
        draw_series(&mut rng, &NOTICE_KINDS, &mut drawn);
    }
    for series in 0..SERIES as u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (LIMIT_SEED + series));
        draw_series(&mut rng, &LIMIT_KINDS, &mut drawn);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ BURST_SEED);
    draw_series(&mut rng, &BURST_KINDS, &mut drawn);
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

fn draw_series(rng: &mut ChaCha8Rng, kinds: &[DisturbanceKind], drawn: &mut Vec<Disturbance>) {
    let mut at = draw_ms(rng, PAUSE_MS);
    while at < DISTURBED_TIME {
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
