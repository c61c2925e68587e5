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
const LENGTH_MS: (u64, u64) = (300, 2500);
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
    CutOff,
    /// One direction of a link is silent.
    SilenceLink,
    /// A link's connections are closed and refused.
    CutLink,
    /// A link is slow.
    DelayLink,
    /// A worker ends, and another life comes.
    KillWorker,
    /// A worker is cut off from controllers, while gateways reach it.
    CutWorker,
    /// A worker leaves orders unanswered and carries them out late.
    LateOrders,
    /// A worker says that it leaves, ends, and another life comes.
    DrainWorker,
    /// A worker ends, and starts again under its id after a while.
    RebirthWorker,
    /// A worker ends, and starts again under its id at once.
    RebirthAtOnce,
    /// Other writers use a worker's id.
    ForeignRecords,
    /// A request that ends the workers it runs on comes several times.
    EndingRequest,
    /// A worker turns requests away and asks for none for a while.
    TurnAway,
    /// A worker says in its answers that it leaves, and controllers hear of it only as it ends.
    LeaveUnheard,
    /// A worker names a limit for a while.
    NameLimit,
    /// Many copies of a request that ends the workers it runs on come at once.
    EndingBurst,
    /// All daemons are killed at once, and one controller's disk is lost.
    LosePower,
}

const KINDS: [DisturbanceKind; 13] = [
    DisturbanceKind::Kill,
    DisturbanceKind::Freeze,
    DisturbanceKind::Terminate,
    DisturbanceKind::Wipe,
    DisturbanceKind::KillControllers,
    DisturbanceKind::CutOff,
    DisturbanceKind::SilenceLink,
    DisturbanceKind::CutLink,
    DisturbanceKind::DelayLink,
    DisturbanceKind::KillWorker,
    DisturbanceKind::CutWorker,
    DisturbanceKind::LateOrders,
    DisturbanceKind::DrainWorker,
];

/// Kinds of a series of their own, drawn apart so that a seed keeps its other disturbances.
const LIFE_KINDS: [DisturbanceKind; 4] = [
    DisturbanceKind::RebirthWorker,
    DisturbanceKind::RebirthAtOnce,
    DisturbanceKind::ForeignRecords,
    DisturbanceKind::EndingRequest,
];
/// What makes the seed of that series another one.
const LIFE_SEED: u64 = 0x11fe;
/// Kinds of a third sort of series, and its seed.
const DEMAND_KINDS: [DisturbanceKind; 2] =
    [DisturbanceKind::TurnAway, DisturbanceKind::LeaveUnheard];
const DEMAND_SEED: u64 = 0xdead;

/// Kinds of a fourth sort of series, and its seed.
const LIMIT_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::NameLimit];
const LIMIT_SEED: u64 = 0x1131;

/// Kinds of a series of their own, since one of them leaves few workers for a while.
const BURST_KINDS: [DisturbanceKind; 1] = [DisturbanceKind::EndingBurst];
const BURST_SEED: u64 = 0xb0057;

/// What makes the seed of a loss of power another one, and when that comes.
const POWER_SEED: u64 = 0x90e5;
const POWER_MS: (u64, u64) = (2_000, 7_000);
/// Bounds of the time for which power is away.
const DARK_MS: (u64, u64) = (200, 1_500);

/// One disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// When it begins.
    pub at: Duration,
    /// For how long it lasts.
    pub length: Duration,
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
    draw_series(&mut ChaCha8Rng::seed_from_u64(seed ^ LIFE_SEED), &LIFE_KINDS, &mut drawn);
    for series in 0..SERIES as u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (DEMAND_SEED + series));
        draw_series(&mut rng, &DEMAND_KINDS, &mut drawn);
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
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ POWER_SEED);
    Disturbance {
        at: draw_ms(&mut rng, POWER_MS),
        length: draw_ms(&mut rng, DARK_MS),
        kind: DisturbanceKind::LosePower,
        first: rng.random_range(0..1000),
        second: rng.random_range(0..1000),
    }
}

fn draw_series(rng: &mut ChaCha8Rng, kinds: &[DisturbanceKind], drawn: &mut Vec<Disturbance>) {
    let mut at = draw_ms(rng, PAUSE_MS);
    while at < DISTURBED_TIME {
        let length = draw_ms(rng, LENGTH_MS);
        drawn.push(Disturbance {
            at,
            length,
            kind: kinds[rng.random_range(0..kinds.len())],
            first: rng.random_range(0..1000),
            second: rng.random_range(0..1000),
        });
        at += length + draw_ms(rng, PAUSE_MS);
    }
}

fn draw_ms(rng: &mut ChaCha8Rng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(least..most))
}
