//! Simulates many daemons that share upstreams with limits.
//!
//! Messages are delayed, daemons restart, and leaders change or are absent. Under all of these, no
//! upstream receives more requests in 4 s than one and a half times its limit plus 5, and if
//! callers demand more than that, most of the limit is used.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hollowbarrow_routing::{LimitCoordinator, LimitNotice, NoticeInterval, UpstreamLimits};
use hollowbarrow_schema::{DaemonId, PermitAsk, PermitGrant, RequestRate, Term, UpstreamLimit};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

/// Length of a simulation and of its windows, in milliseconds.
const LENGTH_MS: u64 = 12_000;
const WINDOW_MS: u64 = 4_000;
/// When requests start; daemons know the limits by then.
const FIRST_MS: u64 = 500;
/// Bounds of the delivery time of a message.
const MESSAGE_MS: (u64, u64) = (2, 40);
/// Interval between two steps of the leader, and number of steps between two publications to all
/// daemons.
const STEP_MS: u64 = 50;
const STEPS_OF_VIEW: u64 = 2;
/// Time for which a request waits for a permit.
const WAIT_TIMEOUT_MS: u64 = 100;
/// Number of upstreams, each of which can serve every request.
const UPSTREAMS: usize = 3;

/// Distribution of requests over daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Skew {
    Even,
    AllAtOne,
    /// Half of the requests arrive at a tenth of the daemons.
    Uneven,
}

/// Faults of the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Churn {
    None,
    /// A daemon restarts every 200 ms without knowledge of limits and permits.
    Daemons,
    /// The leader is absent for 2 s in every 6 s, and the next one starts without knowledge.
    Leaders,
    /// The leader is partitioned from half of the daemons.
    Halved,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
struct Load {
    daemons: usize,
    /// Requests a second that each upstream accepts.
    limit: f64,
    /// Requests a second that callers send, as a multiple of what all upstreams accept.
    demand: f64,
    skew: Skew,
    churn: Churn,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Request,
    Expire { daemon: usize },
    Answer { daemon: usize, upstream: usize, sent_ms: u64 },
    Ask { daemon: usize, ask: PermitAsk },
    Grant { daemon: usize, grant: PermitGrant },
    View { daemon: usize, limits: Vec<UpstreamLimit> },
    Step { number: u64 },
    RestartDaemon,
    LoseLeader,
    NewLeader,
}

/// An event and its time.
#[derive(Debug, PartialEq, Eq)]
struct Due {
    ms: u64,
    number: u64,
    event: Event,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.ms, self.number).cmp(&(other.ms, other.number))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Replay {
    load: Load,
    start: Instant,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Due>>,
    events: u64,
    limits: Vec<UpstreamLimits>,
    /// Until when requests wait for a permit, by daemon.
    waiting: Vec<VecDeque<u64>>,
    leads: bool,
    term: Term,
    coordinator: LimitCoordinator,
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
            events: 0,
            limits: (0..load.daemons as u64).map(|n| UpstreamLimits::new(seed + n)).collect(),
            waiting: vec![VecDeque::new(); load.daemons],
            leads: true,
            term: Term(1),
            coordinator: LimitCoordinator::new(),
            arrivals: vec![Vec::new(); UPSTREAMS],
            refused: 0,
        };
        replay.coordinator.enter(replay.term);
        // One daemon has received a notice of each limit.
        (0..UPSTREAMS).for_each(|upstream| {
            replay.push(0, Event::Answer { daemon: 0, upstream, sent_ms: 0 });
        });
        replay.push(0, Event::Step { number: 0 });
        replay.push(FIRST_MS, Event::Request);
        match load.churn {
            Churn::Daemons => replay.push(200, Event::RestartDaemon),
            Churn::Leaders => replay.push(4_000, Event::LoseLeader),
            Churn::None | Churn::Halved => {}
        }
        replay
    }

    fn push(&mut self, ms: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse(Due { ms, number: self.events, event }));
    }

    fn send(&mut self, ms: u64, event: Event) {
        let time = self.rng.random_range(MESSAGE_MS.0..MESSAGE_MS.1);
        self.push(ms + time, event);
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse(Due { ms, event, .. })) = self.queue.pop() {
            if ms > LENGTH_MS {
                break;
            }
            self.take(ms, event);
        }
        self
    }

    fn take(&mut self, ms: u64, event: Event) {
        let now = self.at(ms);
        match event {
            Event::Request => {
                let daemon = self.draw_daemon();
                if !self.try_send(daemon, ms) {
                    self.wait_for_permit(daemon, ms);
                }
                let per_s = self.load.limit * UPSTREAMS as f64 * self.load.demand;
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_s * 1000.0;
                self.push(ms + gap.round() as u64, Event::Request);
            }
            Event::Expire { daemon } => {
                if self.waiting[daemon].front().is_some_and(|end| *end <= ms) {
                    self.refuse_first(daemon);
                }
            }
            Event::Answer { daemon, upstream, sent_ms } => {
                let limit = Some(RequestRate((self.load.limit * 1000.0) as u64));
                let span = NoticeInterval { sent: self.at(sent_ms), came: now };
                self.limits[daemon].record_notice(name_of(upstream), LimitNotice { limit, span });
                self.report(daemon, ms);
            }
            Event::Ask { daemon, ask } => {
                if self.leads {
                    let answer = self.coordinator.handle_ask(&id_of(daemon), &ask, now);
                    self.send_grants(answer.grants.into_iter(), ms);
                }
            }
            Event::Grant { daemon, grant } => {
                self.limits[daemon].record_grant(&grant, now);
                while !self.waiting[daemon].is_empty() && self.try_send(daemon, ms) {
                    self.waiting[daemon].pop_front();
                    self.limits[daemon].end_wait();
                }
                self.renew_needs(daemon, ms);
            }
            Event::View { daemon, limits } => self.limits[daemon].record_published(&limits, now),
            Event::Step { number } => self.step(number, ms),
            Event::RestartDaemon => {
                let daemon = self.rng.random_range(0..self.load.daemons);
                self.limits[daemon] = UpstreamLimits::new(ms);
                self.waiting[daemon].clear();
                self.push(ms + 200, Event::RestartDaemon);
            }
            Event::LoseLeader => {
                self.leads = false;
                self.push(ms + 2_000, Event::NewLeader);
            }
            Event::NewLeader => {
                self.leads = true;
                self.term = Term(*self.term + 1);
                self.coordinator.enter(self.term);
                self.push(ms + 4_000, Event::LoseLeader);
            }
        }
    }

    /// Runs the periodic work of the leader and the daemons.
    fn step(&mut self, number: u64, ms: u64) {
        let now = self.at(ms);
        if self.leads {
            let grants = self.coordinator.issue(now);
            self.send_grants(grants.into_iter(), ms);
        }
        if self.leads && number.is_multiple_of(STEPS_OF_VIEW) {
            let limits = self.coordinator.due_limits(now);
            let daemons = (0..self.load.daemons).filter(|daemon| self.is_connected(*daemon));
            for daemon in daemons.collect::<Vec<usize>>() {
                self.send(ms, Event::View { daemon, limits: limits.clone() });
            }
        }
        (0..self.load.daemons).for_each(|daemon| self.report(daemon, ms));
        self.push(ms + STEP_MS, Event::Step { number: number + 1 });
    }

    fn send_grants(&mut self, grants: impl Iterator<Item = (DaemonId, PermitGrant)>, ms: u64) {
        for (daemon, grant) in grants {
            let daemon = daemon.parse().expect("daemon names are numbers");
            self.send(ms, Event::Grant { daemon, grant });
        }
    }

    /// Returns whether a daemon and the leader can reach each other.
    fn is_connected(&self, daemon: usize) -> bool {
        self.load.churn != Churn::Halved || daemon.is_multiple_of(2)
    }

    fn report(&mut self, daemon: usize, ms: u64) {
        let ask = self.limits[daemon].due(self.start + Duration::from_millis(ms));
        if let Some(ask) = ask.filter(|_| self.is_connected(daemon)) {
            self.send(ms, Event::Ask { daemon, ask });
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

    /// Sends a request if it needs no permit or one is available.
    fn try_send(&mut self, daemon: usize, ms: u64) -> bool {
        let (now, daemons) = (self.at(ms), self.load.daemons as u32);
        let first = self.rng.random_range(0..UPSTREAMS);
        let limits = &mut self.limits[daemon];
        let without_permit = limits.without_permit(daemons, now);
        let mut order = (0..UPSTREAMS).map(|n| (first + n) % UPSTREAMS);
        let Some(upstream) = order.find(|one| !without_permit.contains(name_of(*one))) else {
            return false;
        };
        let limited = limits.limit(name_of(upstream)).is_some();
        let taken = limits.take(name_of(upstream), now);
        assert_eq!(
            taken.is_some(),
            limited,
            "a permit is taken if and only if the upstream is limited"
        );
        // Requests of a daemon that does not know the limit yet are not counted.
        if limited {
            self.arrivals[upstream].push(ms);
        }
        self.send(ms, Event::Answer { daemon, upstream, sent_ms: ms });
        true
    }

    /// Makes a request wait for a permit, unless none can arrive in time.
    fn wait_for_permit(&mut self, daemon: usize, ms: u64) {
        let now = self.at(ms);
        let timeout = Duration::from_millis(WAIT_TIMEOUT_MS);
        if !self.limits[daemon].record_need_of_any(&names(), timeout, false, now) {
            self.refused += 1;
            return;
        }
        self.limits[daemon].begin_wait();
        self.waiting[daemon].push_back(ms + WAIT_TIMEOUT_MS);
        self.push(ms + WAIT_TIMEOUT_MS, Event::Expire { daemon });
        self.report(daemon, ms);
    }

    fn refuse_first(&mut self, daemon: usize) {
        self.waiting[daemon].pop_front();
        self.limits[daemon].end_wait();
        self.refused += 1;
    }

    /// Records new needs for requests whose needs were dropped, or refuses the requests.
    fn renew_needs(&mut self, daemon: usize, ms: u64) {
        let now = self.at(ms);
        for end in self.waiting[daemon].clone() {
            let timeout = Duration::from_millis(end.saturating_sub(ms));
            if !self.limits[daemon].record_need_of_any(&names(), timeout, true, now) {
                self.refuse_first(daemon);
            }
        }
        self.report(daemon, ms);
    }

    /// Returns the maximum number of requests that an upstream received in a window.
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

    /// Returns the fraction of the limits that was used.
    fn used(&self) -> f64 {
        let time = (LENGTH_MS - FIRST_MS) as f64 / 1000.0;
        self.served() / (self.load.limit * UPSTREAMS as f64 * time)
    }

    fn served_part(&self) -> f64 {
        self.served() / (self.served() + self.refused as f64)
    }
}

fn id_of(daemon: usize) -> DaemonId {
    DaemonId(daemon.to_string())
}

fn name_of(upstream: usize) -> &'static str {
    ["a", "b", "c"][upstream]
}

fn names() -> Vec<String> {
    (0..UPSTREAMS).map(|upstream| name_of(upstream).to_owned()).collect()
}

/// Returns the number of requests that an upstream may receive in a window.
fn allowed(limit: f64) -> usize {
    (limit * 6.0 + 5.0).round() as usize
}

#[rstest]
fn limits_kept(
    #[values(1, 8, 67, 410)] daemons: usize,
    #[values(0.05, 0.2, 1.8, 7.0, 50.0)] limit: f64,
    #[values(Skew::Even, Skew::AllAtOne, Skew::Uneven)] skew: Skew,
    #[values(Churn::None, Churn::Daemons, Churn::Leaders, Churn::Halved)] churn: Churn,
) {
    for (seed, demand) in [(1, 0.7), (2, 4.0)] {
        let load = Load { daemons, limit, demand, skew, churn };
        let most = Replay::new(load, seed).run().most_in_window();
        assert!(
            most <= allowed(limit),
            "an upstream received {most} requests in 4 s, seed {seed}: {load:?}"
        );
    }
}

/// Callers demand three times the limit, which is used wherever they are.
#[rstest]
fn limits_used(
    #[values(1, 8, 67, 410)] daemons: usize,
    #[values(1.8, 7.0, 50.0)] limit: f64,
    #[values(Skew::Even, Skew::AllAtOne, Skew::Uneven)] skew: Skew,
) {
    let load = Load { daemons, limit, demand: 3.0, skew, churn: Churn::None };
    let used = Replay::new(load, 4).run().used();
    println!("used {used:.2}: {load:?}");
    assert!(used > 0.8, "{used} of the limits is used: {load:?}");
}

/// Callers demand less than the limit, and few of them are refused.
#[rstest]
fn demand_within_limits_served(
    #[values(8, 67)] daemons: usize,
    #[values(Skew::Even, Skew::Uneven)] skew: Skew,
) {
    let load = Load { daemons, limit: 7.0, demand: 0.5, skew, churn: Churn::None };
    let served = Replay::new(load, 5).run().served_part();
    println!("served {served:.3}: {load:?}");
    assert!(served > 0.9, "{served} is served: {load:?}");
}

/// Guards against requests that are refused, with some seeds only, since they wait for one upstream
/// while another one has permits.
#[rstest]
fn demand_within_limits_served_for_every_seed(
    #[values(8, 67)] daemons: usize,
    #[values(Skew::Even, Skew::Uneven)] skew: Skew,
) {
    let load = Load { daemons, limit: 7.0, demand: 0.5, skew, churn: Churn::None };
    let served = (0..100).map(|seed| Replay::new(load, seed).run().served_part());
    let least = served.min_by(f64::total_cmp).unwrap_or_default();
    println!("served {least:.3} at least: {load:?}");
    assert!(least > 0.9, "{least} is served: {load:?}");
}

/// Guards against decisions that depend on anything but a simulation's seed.
#[rstest]
fn simulation_repeats(
    #[values(Skew::Even, Skew::Uneven)] skew: Skew,
    #[values(Churn::None, Churn::Daemons, Churn::Leaders, Churn::Halved)] churn: Churn,
) {
    let load = Load { daemons: 8, limit: 7.0, demand: 2.0, skew, churn };
    let first = Replay::new(load, 3).run();
    let second = Replay::new(load, 3).run();
    assert_eq!(first.arrivals, second.arrivals, "{load:?}");
}
