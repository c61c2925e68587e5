//! Replays of many daemons that share upstreams with limits.
//!
//! Messages take time, daemons start again, lenders change and are away. Whatever comes, no
//! upstream gets more in 4 s than one and a half times its limit and 5 requests, and where callers
//! want more than that, most of the limit is used.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hollowbarrow_routing::{PermitHolder, PermitLender, PermitLoan, PermitWish};
use hollowbarrow_schema::{DaemonId, RequestRate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

/// Length of a replay and of its windows, in milliseconds.
const LENGTH_MS: u64 = 20_000;
const WINDOW_MS: u64 = 4_000;
/// Time until which daemons have heard of the limits.
const TOLD_MS: u64 = 500;
/// Bounds of the time that a message takes.
const MESSAGE_MS: (u64, u64) = (2, 40);
/// Pause between two steps of the lender.
const STEP_MS: u64 = 50;
/// Time for which a request waits for a permit.
const PATIENCE_MS: u64 = 100;

/// How requests reach daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Skew {
    Even,
    AllAtOne,
    /// Half of the requests at a tenth of the daemons.
    Uneven,
}

/// What disturbs the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Churn {
    None,
    /// A daemon starts again each 200 ms and has lost its permits.
    Daemons,
    /// A lender is away each 6 s for 2 s, and the next one knows nothing.
    Lenders,
    /// The lender hears half of the daemons only.
    Halved,
}

/// What is replayed.
#[derive(Clone, Copy, Debug)]
struct Load {
    daemons: usize,
    upstreams: usize,
    /// Requests a second that each upstream takes.
    limit: f64,
    /// Requests a second that callers want, as a multiple of what all upstreams take.
    demand: f64,
    skew: Skew,
    churn: Churn,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Expire { daemon: usize },
    Wish { daemon: usize, upstream: usize, count: u32, lifetime_ms: u64, returned: u32 },
    Loan { daemon: usize, upstream: usize, count: u32 },
    Wait { daemon: usize, upstream: usize, wait_ms: u64 },
    Step,
    RestartDaemon,
    LoseLender,
    NewLender,
}

struct Replay {
    load: Load,
    start: Instant,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    holders: Vec<PermitHolder<usize>>,
    /// Until when requests wait for a permit at each daemon.
    waiting: Vec<VecDeque<u64>>,
    lender: Option<PermitLender<usize>>,
    arrivals: Vec<Vec<u64>>,
    refused: u64,
}

impl Replay {
    fn new(load: Load, seed: u64) -> Self {
        let mut replay = Self {
            load,
            start: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            number: 0,
            holders: (0..load.daemons as u64).map(|n| PermitHolder::new(seed + n)).collect(),
            waiting: vec![VecDeque::new(); load.daemons],
            lender: None,
            arrivals: vec![Vec::new(); load.upstreams],
            refused: 0,
        };
        replay.begin_lender(0);
        replay.push(TOLD_MS, Event::Request);
        replay.push(0, Event::Step);
        match load.churn {
            Churn::Daemons => replay.push(200, Event::RestartDaemon),
            Churn::Lenders => replay.push(4_000, Event::LoseLender),
            Churn::None | Churn::Halved => {}
        }
        replay
    }

    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn limit(&self) -> RequestRate {
        RequestRate((self.load.limit * 1000.0) as u64)
    }

    fn begin_lender(&mut self, ms: u64) {
        let mut lender = PermitLender::new();
        for upstream in 0..self.load.upstreams {
            lender.set_limit(&upstream, Some(self.limit()), self.at(ms));
        }
        self.lender = Some(lender);
    }

    fn message_ms(&mut self) -> u64 {
        self.rng.random_range(MESSAGE_MS.0..MESSAGE_MS.1)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((ms, _, event))) = self.queue.pop() {
            if ms > LENGTH_MS {
                break;
            }
            self.take(ms, event);
        }
        self
    }

    fn take(&mut self, ms: u64, event: Event) {
        match event {
            Event::Request => {
                let daemon = self.draw_daemon();
                if !self.try_send(daemon, ms) {
                    self.wait_for_permit(daemon, ms);
                }
                let per_s = self.load.limit * self.load.upstreams as f64 * self.load.demand;
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_s * 1000.0;
                self.push(ms + gap.round() as u64, Event::Request);
            }
            Event::Expire { daemon } => {
                if self.waiting[daemon].front().is_some_and(|end| *end <= ms) {
                    self.waiting[daemon].pop_front();
                    self.refused += 1;
                }
            }
            Event::Wish { daemon, upstream, count, lifetime_ms, returned } => {
                let now = self.at(ms);
                let Some(lender) = self.lender.as_mut() else { return };
                let lifetime = Duration::from_millis(lifetime_ms);
                let wish = PermitWish { upstream, count, lifetime, returned };
                lender.take_wish(&id_of(daemon), &wish, now);
                self.lend(ms);
                let wait = self.lender.as_ref().and_then(|lender| lender.wait(&upstream));
                let wait_ms = wait.unwrap_or_default().as_millis() as u64;
                let at = ms + self.message_ms();
                self.push(at, Event::Wait { daemon, upstream, wait_ms });
            }
            Event::Wait { daemon, upstream, wait_ms } => {
                let now = self.at(ms);
                self.holders[daemon].take_wait(&upstream, Duration::from_millis(wait_ms), now);
                self.wish_again(daemon, ms);
            }
            Event::Loan { daemon, upstream, count } => {
                let now = self.at(ms);
                self.holders[daemon].take_loan(&upstream, count, now);
                while !self.waiting[daemon].is_empty() && self.try_send(daemon, ms) {
                    self.waiting[daemon].pop_front();
                }
            }
            Event::Step => {
                self.lend(ms);
                (0..self.holders.len()).for_each(|daemon| self.tell_wishes(daemon, ms));
                self.push(ms + STEP_MS, Event::Step);
            }
            Event::RestartDaemon => {
                let daemon = self.rng.random_range(0..self.holders.len());
                self.holders[daemon] = PermitHolder::new(ms);
                self.push(ms + 200, Event::RestartDaemon);
            }
            Event::LoseLender => {
                self.lender = None;
                self.push(ms + 2_000, Event::NewLender);
            }
            Event::NewLender => {
                self.begin_lender(ms);
                self.push(ms + 4_000, Event::LoseLender);
            }
        }
    }

    fn draw_daemon(&mut self) -> usize {
        let daemons = self.load.daemons;
        match self.load.skew {
            Skew::AllAtOne => 0,
            Skew::Uneven if self.rng.random_bool(0.5) => {
                self.rng.random_range(0..daemons.div_ceil(10))
            }
            _ => self.rng.random_range(0..daemons),
        }
    }

    /// Sends a request with a permit, if one is there.
    fn try_send(&mut self, daemon: usize, ms: u64) -> bool {
        let (now, limit, daemons) = (self.at(ms), self.limit(), self.load.daemons as u32);
        let upstreams = self.load.upstreams;
        let first = self.rng.random_range(0..upstreams);
        let holder = &mut self.holders[daemon];
        let mut order = (0..upstreams).map(|n| (first + n) % upstreams);
        let Some(upstream) = order.find(|one| holder.holds(one, limit, daemons, now)) else {
            return false;
        };
        assert!(holder.take(&upstream, now).is_some());
        self.arrivals[upstream].push(ms);
        true
    }

    /// Has a request wait for a permit, unless none can come.
    fn wait_for_permit(&mut self, daemon: usize, ms: u64) {
        if self.wish(daemon, PATIENCE_MS, ms) {
            self.waiting[daemon].push_back(ms + PATIENCE_MS);
            self.push(ms + PATIENCE_MS, Event::Expire { daemon });
            self.tell_wishes(daemon, ms);
        } else {
            self.refused += 1;
        }
    }

    /// Wishes for a permit of the upstream with the fewest wishes; false where none can come.
    fn wish(&mut self, daemon: usize, lifetime_ms: u64, ms: u64) -> bool {
        let (now, lifetime) = (self.at(ms), Duration::from_millis(lifetime_ms));
        let holder = &mut self.holders[daemon];
        let mut upstreams: Vec<usize> = (0..self.load.upstreams).collect();
        upstreams.sort_by_cached_key(|one| (holder.wishes(one, now), self.rng.random::<u32>()));
        upstreams.iter().any(|one| holder.wish(one, lifetime, now))
    }

    /// Has requests whose wishes were dropped wish for other permits, or refuses them.
    fn wish_again(&mut self, daemon: usize, ms: u64) {
        let now = self.at(ms);
        let holder = &self.holders[daemon];
        let wishes: usize = (0..self.load.upstreams).map(|one| holder.wishes(&one, now)).sum();
        for _ in wishes..self.waiting[daemon].len() {
            let last = self.waiting[daemon].back().copied().unwrap_or(ms);
            if !self.wish(daemon, last.saturating_sub(ms), ms) {
                self.waiting[daemon].pop_back();
                self.refused += 1;
            }
        }
        self.tell_wishes(daemon, ms);
    }

    fn tell_wishes(&mut self, daemon: usize, ms: u64) {
        let reached = self.load.churn != Churn::Halved || daemon.is_multiple_of(2);
        let now = self.at(ms);
        for wish in self.holders[daemon].due(now) {
            let PermitWish { upstream, count, lifetime, returned } = wish;
            let lifetime_ms = lifetime.as_millis() as u64;
            let at = ms + self.message_ms();
            if reached {
                self.push(at, Event::Wish { daemon, upstream, count, lifetime_ms, returned });
            }
        }
    }

    fn lend(&mut self, ms: u64) {
        let now = self.at(ms);
        let loans = self.lender.as_mut().map(|lender| lender.lend(now)).unwrap_or_default();
        for PermitLoan { daemon, upstream, count } in loans {
            let at = ms + self.message_ms();
            let daemon = daemon.parse().expect("it is a number");
            self.push(at, Event::Loan { daemon, upstream, count });
        }
    }

    /// Most requests that an upstream got in a window.
    fn most_in_window(&self) -> usize {
        let most_of = |arrivals: &Vec<u64>| {
            let windows = arrivals.iter().enumerate().map(|(index, end)| {
                let since = end.saturating_sub(WINDOW_MS - 1);
                index + 1 - arrivals.partition_point(|at| *at < since)
            });
            windows.max().unwrap_or_default()
        };
        self.arrivals.iter().map(most_of).max().unwrap_or_default()
    }

    fn served(&self) -> f64 {
        self.arrivals.iter().map(Vec::len).sum::<usize>() as f64
    }

    /// Part of what the limits allow that was used.
    fn used(&self) -> f64 {
        let time = (LENGTH_MS - TOLD_MS) as f64 / 1000.0;
        self.served() / (self.load.limit * self.load.upstreams as f64 * time)
    }

    fn served_part(&self) -> f64 {
        self.served() / (self.served() + self.refused as f64)
    }
}

fn id_of(daemon: usize) -> DaemonId {
    DaemonId(daemon.to_string())
}

/// Requests that an upstream may get in a window.
fn allowed(limit: f64) -> usize {
    (limit * 6.0 + 5.0).round() as usize
}

#[rstest]
fn limits_kept(
    #[values(1, 8, 67, 410)] daemons: usize,
    #[values(0.05, 0.2, 1.8, 7.0, 50.0)] limit: f64,
    #[values(Skew::Even, Skew::AllAtOne, Skew::Uneven)] skew: Skew,
    #[values(Churn::None, Churn::Daemons, Churn::Lenders, Churn::Halved)] churn: Churn,
) {
    for (seed, demand) in [(1, 0.7), (2, 4.0)] {
        let load = Load { daemons, upstreams: 3, limit, demand, skew, churn };
        let replay = Replay::new(load, seed).run();
        let most = replay.most_in_window();
        assert!(most <= allowed(limit), "{most} in 4 s, seed {seed}: {load:?}");
    }
}

/// Callers want three times what is allowed; that is used, wherever they are.
#[rstest]
fn limits_used(
    #[values(1, 8, 67, 410)] daemons: usize,
    #[values(1.8, 7.0, 50.0)] limit: f64,
    #[values(Skew::Even, Skew::AllAtOne, Skew::Uneven)] skew: Skew,
) {
    let load = Load { daemons, upstreams: 3, limit, demand: 3.0, skew, churn: Churn::None };
    let used = Replay::new(load, 4).run().used();
    println!("used {used:.2}: {load:?}");
    assert!(used > 0.8, "{used} of the limits is used: {load:?}");
}

/// Callers want less than is allowed, and are served with little refusal.
#[rstest]
fn demand_within_limits_served(
    #[values(8, 67)] daemons: usize,
    #[values(Skew::Even, Skew::Uneven)] skew: Skew,
) {
    let load = Load { daemons, upstreams: 3, limit: 7.0, demand: 0.5, skew, churn: Churn::None };
    let served = Replay::new(load, 5).run().served_part();
    println!("served {served:.3}: {load:?}");
    assert!(served > 0.9, "{served} is served: {load:?}");
}
