//! Requests that share a part of their prompts which crashes the workers that begin to answer it.
//!
//! Guards against a quarantine that recognises only whole requests. No two of these requests are
//! alike, so each crashed as many workers as its route allows attempts: 23 to 75 workers crashed in
//! 16 s, and 6 to 61 of the requests were sent later than 3 s after the fifth crash.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::complete_stream;
use crate::fleet::{CrashPlan, CrashStage, Fleet};
use crate::system::{
    CONTROLLERS, KEY, Layout, Signal, System, call_gateway_with_parts, configuration,
};
use crate::worker::{CRASHING_PART, Worker};

const GATEWAYS: usize = 3;
const ENGINES: usize = 24;
const PLAIN_WORKERS: usize = 14;
/// Pause between two requests with a crashing part, and between two of the other callers.
const CRASHING_PAUSE: Duration = Duration::from_millis(200);
const SOUND_PAUSE: Duration = Duration::from_millis(40);
/// Delay after which a new worker replaces a crashed one.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time within which all daemons learn of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which the part must be known to all daemons within that time.
const KNOWN_CRASHES: usize = 5;
/// Number of crashes after which sound requests must be served again within twice that time. A crash
/// under a later probe request does not defer it.
const FIRST_CRASHES: usize = 3;
/// Number of requests with the part that may reach workers later, over all gateways.
const MAX_LATE: usize = 3;
/// Share of the sound requests served before that must be served meanwhile.
const SERVED_RATIO: f64 = 0.5;
/// Time before the first request with the part, and time for which such requests are sent.
const SOUND_TIME: Duration = Duration::from_secs(4);
const CRASHING_TIME: Duration = Duration::from_secs(16);
/// First parts of prompts, which sound requests and crashing ones share.
const FIRST_PARTS: [&str; 3] = ["a1", "a2", "a3"];

/// The service that the requests use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    /// Streams of replicas.
    Streams,
    /// Complete answers of single workers.
    Answers,
}

impl Service {
    /// Returns the path of a request, which no other one has.
    fn path(self, number: usize) -> String {
        match self {
            Self::Streams => format!("/chat/{number}"),
            Self::Answers => format!("/hold/{number}"),
        }
    }
}

/// Event while requests with the part are sent, after the first crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interlude {
    Nothing,
    /// All controllers are killed and started again.
    RestartControllers,
    /// Each gateway in turn is killed and started again.
    RestartGateways,
}

/// Position of the crashing part in the prompt, which is never the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    First,
    Middle,
    /// Two parts crash workers, each in every other request.
    TwoParts,
}

impl Position {
    /// Returns the parts of a crashing request's prompt; the last one is its own.
    fn parts(self, number: usize) -> String {
        let first = FIRST_PARTS[number % FIRST_PARTS.len()];
        match self {
            Self::First => format!("{CRASHING_PART}0:40,{first}:100,b{number:x}:30"),
            Self::Middle => format!("{first}:40,{CRASHING_PART}0:100,b{number:x}:30"),
            Self::TwoParts => {
                format!("{first}:40,{CRASHING_PART}{}:100,b{number:x}:30", number % 2)
            }
        }
    }
}

/// Results of sound requests, and the state of the load.
#[derive(Debug, Default)]
struct Tally {
    stopped: AtomicBool,
    number: AtomicU32,
    /// When each sound request was sent, and whether it was served.
    sound: Mutex<Vec<(Instant, bool)>>,
    /// Answers to requests with the part.
    crashing: Mutex<Vec<(Instant, u16)>>,
}

impl Tally {
    fn next(&self) -> usize {
        self.number.fetch_add(1, Ordering::Relaxed) as usize
    }

    /// Returns the served share of the sound requests sent within a period, and their number.
    fn share(&self, from: Instant, to: Instant) -> (f64, usize) {
        let sound = self.sound.lock().expect("not poisoned");
        let within: Vec<bool> =
            sound.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, good)| *good).collect();
        let good = within.iter().filter(|good| **good).count();
        (good as f64 / within.len().max(1) as f64, within.len())
    }
}

async fn deploy(block: u8, service: Service, crash_plan: CrashPlan) -> (System, Arc<Fleet>) {
    let layout = Layout { gateways: GATEWAYS as u8, ..Layout::plain() };
    let system = System::start_with(block, layout);
    let fleet = Fleet::with_crash_plan(system.controllers.clone(), crash_plan);
    let (engines, plain) = match service {
        Service::Streams => (ENGINES, 1),
        Service::Answers => (0, PLAIN_WORKERS),
    };
    for number in 0..engines {
        Worker::start(&fleet, &format!("e{number}"), "models", true);
    }
    for number in 0..plain {
        let worker = Worker::start(&fleet, &format!("p{number}"), "bookings", false);
        worker.set_service_time(Duration::from_millis(30));
    }
    let mut repeatable = configuration(3);
    repeatable["routes"][0]["max_attempts"] = 2.into();
    repeatable["routes"][1]["kind"] = "idempotent".into();
    repeatable["routes"][1]["max_attempts"] = 2.into();
    assert_eq!(system.replace(&repeatable).await, 200);
    system.wait_ready().await;
    for gateway in 0..GATEWAYS {
        system.call_gateway_until_served(gateway, &service.path(0), "warm").await;
    }
    (system, fleet)
}

/// Sends sound requests until the load is stopped, to all gateways in turn.
async fn send_sound(gateways: Vec<String>, service: Service, tally: Arc<Tally>) {
    let mut calls = JoinSet::new();
    while !tally.stopped.load(Ordering::Relaxed) {
        let number = tally.next();
        let gateway = gateways[number % gateways.len()].clone();
        let first = FIRST_PARTS[number % FIRST_PARTS.len()];
        let parts = format!("{first}:40,c{}:100,d{number:x}:30", number % 7);
        let tally = Arc::clone(&tally);
        calls.spawn(async move {
            let sent = Instant::now();
            let id = format!("sound-{number}");
            let path = service.path(number);
            let answer = call_gateway_with_parts(&gateway, &path, &id, KEY, &parts).await;
            let good = answer.is_ok_and(|answer| {
                let body = String::from_utf8_lossy(answer.body()).into_owned();
                let whole = service == Service::Answers || body == complete_stream();
                answer.status().as_u16() == 200 && whole
            });
            tally.sound.lock().expect("not poisoned").push((sent, good));
        });
        tokio::time::sleep(SOUND_PAUSE).await;
    }
    calls.join_all().await;
}

/// Sends requests with the part for a time, several at once at intervals.
async fn send_crashing(
    gateways: Vec<String>,
    service: Service,
    position: Position,
    at_once: usize,
    tally: Arc<Tally>,
) {
    let end = Instant::now() + CRASHING_TIME;
    let mut calls = JoinSet::new();
    while Instant::now() < end {
        for _ in 0..at_once {
            let number = tally.next();
            let gateway = gateways[number % gateways.len()].clone();
            let (parts, tally) = (position.parts(number), Arc::clone(&tally));
            calls.spawn(async move {
                let sent = Instant::now();
                let id = format!("crashing-{number}");
                let path = service.path(number);
                let answer = call_gateway_with_parts(&gateway, &path, &id, KEY, &parts).await;
                let status = answer.map_or(0, |answer| answer.status().as_u16());
                tally.crashing.lock().expect("not poisoned").push((sent, status));
            });
        }
        tokio::time::sleep(CRASHING_PAUSE * at_once as u32).await;
    }
    calls.join_all().await;
}

async fn run_interlude(interlude: Interlude, system: &mut System) {
    match interlude {
        Interlude::Nothing => {}
        Interlude::RestartControllers => {
            (0..CONTROLLERS).for_each(|daemon| system.signal(daemon, Signal::Kill));
            for daemon in 0..CONTROLLERS {
                system.resume_or_restart(daemon, true).await;
            }
        }
        Interlude::RestartGateways => {
            for gateway in 0..GATEWAYS {
                system.signal(CONTROLLERS + gateway, Signal::Kill);
                system.resume_or_restart(CONTROLLERS + gateway, true).await;
                tokio::time::sleep(CONTACT_TIME / 2).await;
            }
        }
    }
}

/// What a run of the load showed.
#[derive(Debug)]
struct Outcome {
    crashes: usize,
    /// Requests with the part that reached workers later than permitted.
    late: usize,
    /// Served share of the sound requests before, and once the part must be known.
    before: f64,
    after: f64,
    /// Sound requests sent in the second period.
    sound: usize,
}

async fn run_load(
    system: &mut System,
    fleet: &Arc<Fleet>,
    service: Service,
    position: Position,
    at_once: usize,
    interlude: Interlude,
) -> Outcome {
    let tally = Arc::new(Tally::default());
    let gateways = system.gateways.clone();
    let start = Instant::now();
    let sound = tokio::spawn(send_sound(gateways.clone(), service, Arc::clone(&tally)));
    tokio::time::sleep(SOUND_TIME).await;
    let attacked = Instant::now();
    let crashing =
        tokio::spawn(send_crashing(gateways, service, position, at_once, Arc::clone(&tally)));
    if interlude != Interlude::Nothing {
        tokio::time::sleep(CONTACT_TIME).await;
        run_interlude(interlude, system).await;
    }
    crashing.await.expect("the task does not panic");
    let end = Instant::now();
    tally.stopped.store(true, Ordering::Relaxed);
    sound.await.expect("the task does not panic");
    let crashes = fleet.crashes();
    let known = crashes.get(KNOWN_CRASHES - 1).map(|(_, at)| *at + CONTACT_TIME);
    let is_late = |at: Instant| known.is_some_and(|known| at > known);
    let late = fleet.crashing_runs().iter().filter(|(_, at)| is_late(*at)).count();
    let (before, _) = tally.share(start, attacked - Duration::from_secs(1));
    let first = crashes.get(FIRST_CRASHES - 1).or(crashes.last()).map_or(attacked, |(_, at)| *at);
    let (after, sound) = tally.share(first + 2 * CONTACT_TIME, end);
    let outcome = Outcome { crashes: crashes.len(), late, before, after, sound };
    println!(
        "{service:?} {position:?} {at_once} at once, {interlude:?}: {} crashes, {outcome:?}",
        outcome.crashes
    );
    outcome
}

fn check(outcome: &Outcome, system: &System) {
    assert!(outcome.late <= MAX_LATE, "{outcome:?}: {}", system.logs());
    let enough = outcome.after >= outcome.before * SERVED_RATIO && outcome.sound >= 20;
    assert!(enough, "{outcome:?}: {}", system.logs());
}

#[rstest]
#[case::streams_before_head(41, Service::Streams, CrashStage::BeforeHead, Position::Middle)]
#[case::streams_after_head(42, Service::Streams, CrashStage::AfterHead, Position::Middle)]
#[case::streams_after_events(43, Service::Streams, CrashStage::AfterEvents, Position::Middle)]
#[case::streams_first_part(44, Service::Streams, CrashStage::AfterHead, Position::First)]
#[case::streams_two_parts(46, Service::Streams, CrashStage::AfterHead, Position::TwoParts)]
#[case::answers_before_head(47, Service::Answers, CrashStage::BeforeHead, Position::Middle)]
#[case::answers_after_head(48, Service::Answers, CrashStage::AfterHead, Position::Middle)]
#[tokio::test]
async fn crashing_part_quarantined(
    #[case] block: u8,
    #[case] service: Service,
    #[case] stage: CrashStage,
    #[case] position: Position,
) {
    let plan = CrashPlan { stage, restart_time: RESTART_TIME, unframed: false };
    let (mut system, fleet) = deploy(block, service, plan).await;
    let outcome = run_load(&mut system, &fleet, service, position, 1, Interlude::Nothing).await;
    check(&outcome, &system);
}

/// Answers end with their connection, in order, also where their worker crashes between two events.
#[rstest]
#[case::after_head(49, CrashStage::AfterHead)]
#[case::after_events(50, CrashStage::AfterEvents)]
#[tokio::test]
async fn crashing_part_quarantined_without_framing(#[case] block: u8, #[case] stage: CrashStage) {
    let plan = CrashPlan { stage, restart_time: RESTART_TIME, unframed: true };
    let (mut system, fleet) = deploy(block, Service::Streams, plan).await;
    let (service, position) = (Service::Streams, Position::Middle);
    let outcome = run_load(&mut system, &fleet, service, position, 1, Interlude::Nothing).await;
    check(&outcome, &system);
}

#[rstest]
#[case::restarted_controllers(51, Interlude::RestartControllers)]
#[case::restarted_gateways(52, Interlude::RestartGateways)]
#[tokio::test]
async fn crashing_part_quarantined_after_restarts(#[case] block: u8, #[case] interlude: Interlude) {
    let plan = CrashPlan { restart_time: RESTART_TIME, ..CrashPlan::default() };
    let (mut system, fleet) = deploy(block, Service::Streams, plan).await;
    let (service, position) = (Service::Streams, Position::Middle);
    let outcome = run_load(&mut system, &fleet, service, position, 1, interlude).await;
    check(&outcome, &system);
}

/// Thirty different requests with the part arrive at once, again and again.
#[rstest]
#[case::streams(53, Service::Streams)]
#[case::answers(54, Service::Answers)]
#[tokio::test]
async fn crashing_part_quarantined_in_burst(#[case] block: u8, #[case] service: Service) {
    let plan = CrashPlan { restart_time: RESTART_TIME, ..CrashPlan::default() };
    let (mut system, fleet) = deploy(block, service, plan).await;
    let position = Position::Middle;
    let outcome = run_load(&mut system, &fleet, service, position, 30, Interlude::Nothing).await;
    check(&outcome, &system);
}
