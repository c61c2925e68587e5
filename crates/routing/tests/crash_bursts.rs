//! Measures how well a burst of a request that crashes upstreams is distinguished from a loss of
//! upstreams that interrupts a harmless request.
//!
//! Each situation is drawn many times with seeds: what all gateways together observed of one
//! request is recorded in the ledger. `HOLLOWBARROW_BURST_TABLE=1` with `--nocapture` also prints
//! the rates of the alternative strategies.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowbarrow_routing::{CrashLedger, QuarantineState, TerminatedRun};
use hollowbarrow_schema::ContentDigest;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::Instant;

const REQUEST: ContentDigest = ContentDigest(7);
/// Upstreams of the service, divided into zones and racks of equal size.
const UPSTREAMS: u64 = 12;
const ZONES: u64 = 3;
const RACKS: u64 = 6;
/// Gateways that observe the upstreams.
const GATEWAYS: usize = 3;
/// Time from the start of a draw to its burst or loss.
const LEAD_MS: f64 = 10_000.0;
/// Background requests a second, each with different content.
const BACKGROUND_RATE: f64 = 40.0;
/// Time that a request runs if it is not interrupted.
const RUN_MS: (f64, f64) = (100.0, 2000.0);
/// Time within which all upstreams of a loss terminate.
const LOSS_MS: f64 = 50.0;
/// Time after the last termination by which all daemons know of it.
const PROPAGATION_MS: f64 = 600.0;
/// Draws of each situation with a harmless request.
const HARMLESS_DRAWS: u64 = 10_000;
/// Draws of each situation with a request that crashes upstreams.
const CRASHING_DRAWS: u64 = 2_000;

/// One run of the suspected request or of a background request, in milliseconds from the start of a
/// draw.
#[derive(Clone, Copy, Debug)]
struct Run {
    request: u64,
    upstream: u64,
    sent: f64,
    /// When the run would be answered.
    done: f64,
}

/// What was observed in one draw.
#[derive(Clone, Debug, Default)]
struct Scenario {
    runs: Vec<Run>,
    /// When each upstream terminated, by its number; `None` for those that did not.
    ended: Vec<Option<f64>>,
    /// Time since which gateways remember answers; earlier ones were lost in a restart.
    remembered: f64,
}

const SUSPECT: u64 = REQUEST.0;

impl Scenario {
    fn new() -> Self {
        Self { ended: vec![None; UPSTREAMS as usize], ..Self::default() }
    }

    fn add(&mut self, rng: &mut impl Rng, request: u64, sent: f64) {
        let done = sent + rng.random_range(RUN_MS.0..RUN_MS.1);
        let upstream = rng.random_range(0..UPSTREAMS);
        self.runs.push(Run { request, upstream, sent, done });
    }

    /// Adds background requests over the whole draw.
    fn add_background(&mut self, rng: &mut impl Rng) {
        // Runs sent earlier have ended by the time of the burst or loss.
        let from = LEAD_MS - 3000.0 - RUN_MS.1;
        let count = (BACKGROUND_RATE * (LEAD_MS + 1000.0 - from) / 1000.0) as u64;
        for number in 0..count {
            let sent = rng.random_range(from..LEAD_MS + 1000.0);
            self.add(rng, 1000 + number, sent);
        }
    }

    fn terminate_upstream(&mut self, upstream: u64, at: f64) {
        let ended = &mut self.ended[upstream as usize];
        *ended = Some(ended.map_or(at, |earlier: f64| earlier.min(at)));
    }

    /// Returns when a run was interrupted, if it was.
    fn truncated_at(&self, run: &Run) -> Option<f64> {
        let ended = self.ended[run.upstream as usize]?;
        (run.sent < ended && run.done > ended).then_some(ended)
    }

    /// Returns the interrupted runs of the suspected request, or of all requests.
    fn truncated_runs(&self, suspect_only: bool) -> Vec<(u64, Run, f64)> {
        let truncated = self.runs.iter().filter_map(|run| {
            let at = self.truncated_at(run)?;
            (!suspect_only || run.request == SUSPECT).then_some((run.request, *run, at))
        });
        truncated.collect()
    }

    fn last_end(&self) -> f64 {
        self.truncated_runs(true).iter().map(|(_, _, at)| *at).fold(0.0, f64::max)
    }

    /// Returns the last answer to the suspected request before a time, as far as any daemon
    /// remembers it.
    fn answered(&self, before: f64) -> Option<f64> {
        let answers = self.runs.iter().filter(|run| {
            let ended = self.ended[run.upstream as usize];
            let complete = ended.is_none_or(|ended| run.done <= ended);
            let sent_before_end = ended.is_none_or(|ended| run.sent < ended);
            run.request == SUSPECT && complete && sent_before_end
        });
        let times = answers.map(|run| run.done);
        times.filter(|at| *at >= self.remembered && *at <= before).max_by(f64::total_cmp)
    }
}

/// A strategy; it returns whether the request is quarantined.
type Strategy = fn(&Scenario, f64) -> bool;

fn distinct(scenario: &Scenario, suspect_only: bool) -> usize {
    let truncated = scenario.truncated_runs(suspect_only);
    truncated.iter().map(|(_, run, _)| run.upstream).collect::<BTreeSet<_>>().len()
}

/// Three consecutive runs since the last answer.
fn by_sequence(scenario: &Scenario, at: f64) -> bool {
    let mut runs = scenario.truncated_runs(true);
    runs.sort_by(|a, b| a.2.total_cmp(&b.2));
    let answered = scenario.answered(at).unwrap_or(-1.0);
    let (mut chain, mut last) = (0, -1.0);
    for (_, run, ended) in runs {
        if ended > answered && run.sent >= last {
            chain += 1;
            last = ended;
        }
    }
    chain >= 3
}

/// Any three upstreams.
fn by_count(scenario: &Scenario, _: f64) -> bool {
    distinct(scenario, true) >= 3
}

/// Any three upstreams, and no answer.
fn by_count_unanswered(scenario: &Scenario, at: f64) -> bool {
    by_count(scenario, at) && scenario.answered(at).is_none()
}

/// Any three upstreams, no answer, and in progress on at least half of all upstreams that
/// terminated.
fn by_coverage(scenario: &Scenario, at: f64) -> bool {
    by_count_unanswered(scenario, at) && distinct(scenario, true) * 2 >= distinct(scenario, false)
}

/// Any three upstreams, no answer, and in progress on at least four in five of all upstreams that
/// terminated.
fn by_high_coverage(scenario: &Scenario, at: f64) -> bool {
    by_count_unanswered(scenario, at)
        && distinct(scenario, true) * 5 >= distinct(scenario, false) * 4
}

/// The ledger of the leader, which receives all records.
fn by_ledger(scenario: &Scenario, at: f64) -> bool {
    is_quarantined(scenario, at, |_| true)
}

/// The ledger of the leader, including requests that it only suspects.
fn by_suspicion(scenario: &Scenario, at: f64) -> bool {
    state_of(scenario, at, |_| true).is_some()
}

/// The ledger of one gateway, which observes its own requests only.
fn by_one_gateway(scenario: &Scenario, at: f64) -> bool {
    is_quarantined(scenario, at, |number| number.is_multiple_of(GATEWAYS))
}

fn is_quarantined(scenario: &Scenario, at: f64, observes: impl Fn(usize) -> bool) -> bool {
    matches!(state_of(scenario, at, observes), Some(QuarantineState::Active(_)))
}

fn state_of(
    scenario: &Scenario,
    at: f64,
    observes: impl Fn(usize) -> bool,
) -> Option<QuarantineState> {
    let start = Instant::now() + Duration::from_secs(60);
    let when = |ms: f64| start + Duration::from_secs_f64(ms.max(0.0) / 1000.0);
    let mut ledger = CrashLedger::new();
    for (number, (request, run, ended)) in scenario.truncated_runs(false).into_iter().enumerate() {
        if observes(number) {
            let (sent, ended) = (when(run.sent), when(ended));
            let run = TerminatedRun { upstream: run.upstream, sent, ended, organisation: None };
            ledger.record_run(ContentDigest(request), run);
        }
    }
    if let Some(answered) = scenario.answered(at) {
        ledger.contradict(REQUEST, when(answered));
    }
    ledger.quarantine_state(REQUEST, 0, when(at))
}

const STRATEGIES: [(&str, Strategy); 7] = [
    ("order", by_sequence),
    ("count", by_count),
    ("count, never answered", by_count_unanswered),
    ("and half covered", by_coverage),
    ("and 0.8 covered", by_high_coverage),
    ("ledger", by_ledger),
    ("ledger of one gateway", by_one_gateway),
];

/// The upstreams that are lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Rack,
    Zone,
    Everything,
}

impl Loss {
    fn draw(self, rng: &mut impl Rng) -> Vec<u64> {
        let part = |parts: u64, number: u64| {
            let size = UPSTREAMS / parts;
            (number * size..(number + 1) * size).collect()
        };
        match self {
            Self::Rack => part(RACKS, rng.random_range(0..RACKS)),
            Self::Zone => part(ZONES, rng.random_range(0..ZONES)),
            Self::Everything => (0..UPSTREAMS).collect(),
        }
    }
}

/// How a harmless request arrives.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    /// Many callers send it continuously.
    HotKey,
    /// Many callers have just started to send it.
    NewHotKey,
    /// Some callers send it every second.
    Poll,
    /// It is sent many times at once, shortly before the loss.
    Batch,
}

/// Draws the times at which the request is sent before a loss.
fn draw_times(traffic: Traffic, rng: &mut impl Rng) -> Vec<f64> {
    let rate = rng.random_range(5.0..50.0);
    let from = |start: f64, rng: &mut dyn FnMut() -> f64| -> Vec<f64> {
        let count = (rate * (LEAD_MS - start) / 1000.0) as usize;
        (0..count).map(|_| start + (LEAD_MS - start) * rng()).collect()
    };
    match traffic {
        Traffic::HotKey => from(0.0, &mut || rng.random()),
        Traffic::NewHotKey => {
            let start = LEAD_MS - rng.random_range(0.0..1000.0);
            from(start, &mut || rng.random())
        }
        Traffic::Poll => {
            let callers = rng.random_range(1..20);
            let begins: Vec<f64> = (0..callers).map(|_| rng.random_range(0.0..1000.0)).collect();
            let times =
                begins.iter().flat_map(|begin| (0..10).map(move |n| begin + n as f64 * 1000.0));
            times.collect()
        }
        Traffic::Batch => {
            let count = rng.random_range(2..=200);
            let start = LEAD_MS - rng.random_range(0.0..500.0);
            (0..count).map(|_| start + rng.random_range(0.0..20.0)).collect()
        }
    }
}

fn draw_harmless(traffic: Traffic, loss: Loss, started: bool, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scenario = Scenario::new();
    scenario.add_background(&mut rng);
    for sent in draw_times(traffic, &mut rng) {
        scenario.add(&mut rng, SUSPECT, sent);
    }
    for upstream in loss.draw(&mut rng) {
        let at = LEAD_MS + rng.random_range(0.0..LOSS_MS);
        scenario.terminate_upstream(upstream, at);
    }
    if started {
        scenario.remembered = LEAD_MS - rng.random_range(0.0..1000.0);
    }
    scenario
}

/// Draws upstreams that terminate one after the other for separate reasons, while many callers send
/// the same request.
fn draw_series(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scenario = Scenario::new();
    scenario.add_background(&mut rng);
    for sent in draw_times(Traffic::HotKey, &mut rng) {
        scenario.add(&mut rng, SUSPECT, sent);
    }
    let mut at = LEAD_MS - 3000.0;
    for upstream in 0..rng.random_range(3..6) {
        scenario.terminate_upstream(upstream, at);
        at += rng.random_range(100.0..1000.0);
    }
    scenario
}

/// Draws duplicates of requests that crash every upstream that runs them. If bounded, only the
/// first duplicate at each gateway is sent and the others wait; otherwise all are sent.
fn draw_crashing(requests: u64, bounded: bool, loss: Option<Loss>, seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut scenario = Scenario::new();
    scenario.add_background(&mut rng);
    let after = rng.random_range(20.0..500.0);
    for request in 0..requests {
        let duplicates = rng.random_range(2..=200);
        let runs = if bounded { GATEWAYS.min(duplicates) } else { duplicates };
        for _ in 0..runs {
            let sent = LEAD_MS + rng.random_range(0.0..20.0);
            scenario.add(&mut rng, SUSPECT + request, sent);
            let run = scenario.runs.last_mut().expect("it was added");
            run.done = f64::INFINITY;
            let (upstream, sent) = (run.upstream, run.sent);
            let ended = sent + after * rng.random_range(0.8..1.2);
            scenario.terminate_upstream(upstream, ended);
        }
    }
    if let Some(loss) = loss {
        for upstream in loss.draw(&mut rng) {
            let at = LEAD_MS + rng.random_range(0.0..500.0);
            scenario.terminate_upstream(upstream, at);
        }
    }
    scenario
}

/// Returns the share of draws in which a strategy quarantines the request, among draws in which at
/// least one of its runs was interrupted.
fn quarantined_share(strategy: Strategy, draws: u64, draw: impl Fn(u64) -> Scenario) -> f64 {
    let (mut quarantined, mut all) = (0u64, 0u64);
    for seed in 0..draws {
        let scenario = draw(seed);
        if distinct(&scenario, true) == 0 {
            continue;
        }
        all += 1;
        quarantined += u64::from(strategy(&scenario, scenario.last_end() + PROPAGATION_MS));
    }
    quarantined as f64 / all.max(1) as f64
}

/// A harmless request is rarely quarantined, and almost never if any upstream is left that could
/// serve it. A request that any daemon remembers as answered is never quarantined.
#[rstest]
#[case::hot_key_rack(Traffic::HotKey, Loss::Rack, false, 0.0)]
#[case::hot_key_zone(Traffic::HotKey, Loss::Zone, false, 0.0)]
#[case::hot_key_everything(Traffic::HotKey, Loss::Everything, false, 0.0)]
#[case::poll_rack(Traffic::Poll, Loss::Rack, false, 0.0)]
#[case::poll_zone(Traffic::Poll, Loss::Zone, false, 0.0)]
#[case::poll_everything(Traffic::Poll, Loss::Everything, false, 0.0)]
#[case::new_hot_key_rack(Traffic::NewHotKey, Loss::Rack, false, 0.0)]
#[case::new_hot_key_zone(Traffic::NewHotKey, Loss::Zone, false, 0.01)]
#[case::new_hot_key_everything(Traffic::NewHotKey, Loss::Everything, false, 0.25)]
#[case::batch_rack(Traffic::Batch, Loss::Rack, false, 0.0)]
#[case::batch_zone(Traffic::Batch, Loss::Zone, false, 0.01)]
#[case::batch_everything(Traffic::Batch, Loss::Everything, false, 0.25)]
// Gateways and the leader have just started and remember nothing from before.
#[case::hot_key_rack_started(Traffic::HotKey, Loss::Rack, true, 0.0)]
#[case::hot_key_zone_started(Traffic::HotKey, Loss::Zone, true, 0.01)]
#[case::hot_key_everything_started(Traffic::HotKey, Loss::Everything, true, 0.25)]
#[case::poll_everything_started(Traffic::Poll, Loss::Everything, true, 0.25)]
#[case::new_hot_key_zone_started(Traffic::NewHotKey, Loss::Zone, true, 0.01)]
#[case::batch_zone_started(Traffic::Batch, Loss::Zone, true, 0.01)]
fn quarantine_harmless(
    #[case] traffic: Traffic,
    #[case] loss: Loss,
    #[case] started: bool,
    #[case] most: f64,
) {
    let draw = |seed| draw_harmless(traffic, loss, started, seed);
    let share = quarantined_share(by_ledger, HARMLESS_DRAWS, draw);
    println!("{traffic:?} {loss:?} started={started}: {share:.4}");
    assert!(share <= most, "{share} of the draws were quarantined");
}

#[rstest]
fn quarantine_harmless_series() {
    let share = quarantined_share(by_ledger, HARMLESS_DRAWS, draw_series);
    assert_eq!(share, 0.0);
}

/// A harmless request is as rarely limited to probe requests, which is milder than a quarantine.
#[rstest]
#[case::hot_key_rack(Traffic::HotKey, Loss::Rack, false, 0.0)]
#[case::hot_key_everything(Traffic::HotKey, Loss::Everything, false, 0.0)]
#[case::new_hot_key_rack(Traffic::NewHotKey, Loss::Rack, false, 0.0)]
#[case::new_hot_key_zone(Traffic::NewHotKey, Loss::Zone, false, 0.01)]
#[case::new_hot_key_everything(Traffic::NewHotKey, Loss::Everything, false, 0.25)]
#[case::batch_rack(Traffic::Batch, Loss::Rack, false, 0.0)]
#[case::batch_zone(Traffic::Batch, Loss::Zone, false, 0.01)]
#[case::batch_everything(Traffic::Batch, Loss::Everything, false, 0.25)]
#[case::hot_key_zone_started(Traffic::HotKey, Loss::Zone, true, 0.01)]
#[case::poll_everything_started(Traffic::Poll, Loss::Everything, true, 0.25)]
fn suspect_harmless(
    #[case] traffic: Traffic,
    #[case] loss: Loss,
    #[case] started: bool,
    #[case] most: f64,
) {
    let draw = |seed| draw_harmless(traffic, loss, started, seed);
    let share = quarantined_share(by_suspicion, HARMLESS_DRAWS, draw);
    println!("{traffic:?} {loss:?} started={started}: {share:.4}");
    assert!(share <= most, "{share} of the draws were suspected");
}

/// A burst is quarantined once three upstreams have terminated under it. Beside a loss at the same
/// time the burst may be missed; consecutive runs then lead to the quarantine.
#[rstest]
#[case::alone(1, true, None, 1.0)]
#[case::not_bounded(1, false, None, 1.0)]
#[case::two_at_once(2, true, None, 1.0)]
#[case::three_at_once(3, true, None, 1.0)]
#[case::beside_lost_rack(1, true, Some(Loss::Rack), 0.9)]
#[case::beside_lost_zone(1, true, Some(Loss::Zone), 0.9)]
fn quarantine_crashing(
    #[case] requests: u64,
    #[case] bounded: bool,
    #[case] loss: Option<Loss>,
    #[case] least: f64,
) {
    let (mut quarantined, mut all) = (0u64, 0u64);
    for seed in 0..CRASHING_DRAWS {
        let scenario = draw_crashing(requests, bounded, loss, seed);
        if distinct(&scenario, true) >= 3 {
            all += 1;
            quarantined += u64::from(by_ledger(&scenario, scenario.last_end() + PROPAGATION_MS));
        }
    }
    let share = quarantined as f64 / all as f64;
    println!("{requests} bounded={bounded} {loss:?}: {share:.4} of {all}");
    assert!(share >= least, "only {share} of {all} draws were quarantined");
}

/// Prints the rates of all strategies, to compare them with another one.
#[rstest]
fn quarantine_table() {
    if std::env::var_os("HOLLOWBARROW_BURST_TABLE").is_none() {
        return;
    }
    let print = |name: &str, draw: &dyn Fn(u64) -> Scenario| {
        let cells = STRATEGIES
            .map(|(_, strategy)| format!("{:.4}", quarantined_share(strategy, 1000, draw)));
        println!("| {name} | {} |", cells.join(" | "));
    };
    println!("| situation | {} |", STRATEGIES.map(|(name, _)| name).join(" | "));
    for traffic in [Traffic::HotKey, Traffic::NewHotKey, Traffic::Poll, Traffic::Batch] {
        for loss in [Loss::Rack, Loss::Zone, Loss::Everything] {
            for started in [false, true] {
                let draw = |seed| draw_harmless(traffic, loss, started, seed);
                print(&format!("{traffic:?}, {loss:?}, started {started}"), &draw);
            }
        }
    }
    print("series", &draw_series);
    for (requests, bounded, loss) in [
        (1, false, None),
        (1, true, None),
        (2, true, None),
        (3, true, None),
        (1, true, Some(Loss::Rack)),
        (1, true, Some(Loss::Zone)),
    ] {
        let draw = |seed| draw_crashing(requests, bounded, loss, seed);
        print(&format!("guilty {requests}, bounded {bounded}, {loss:?}"), &draw);
    }
}
