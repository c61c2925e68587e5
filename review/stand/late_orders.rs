//! Orders of a leader that is gone open a group again that its successor has ended.
//!
//! Eleven workers form five groups of two. One head leaves its first `join` and its first `open` unanswered and carries
//! them out late. The leading controller is then stopped by SIGTERM and started again, the other worker
//! drains and ends, and a third one is added.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Connection, compose, wire};
use crate::system::{Layout, Record, System};
use crate::worker::{Fleet, Late, Model, Order, Stage};

const SERVICE: &str = "drafts";
const HOST: &str = "shop.example";
/// The worker with the lowest id: of two equal ones it becomes the head.
const HEAD: &str = "i-aaaa0001";
const KEY: &str = "key-of-one";

/// Returns the operator's configuration: one service whose workers form groups of two.
fn configuration(version: u64) -> String {
    include_str!("groups.json").replace("$VERSION", &version.to_string())
}

/// Sends requests, one after the other, until told to stop.
fn send_requests(system: &System, stop: Arc<AtomicBool>, served: Arc<AtomicU32>) {
    let (gateways, record) = (system.gateways(), system.record.clone());
    std::thread::spawn(move || {
        let mut number = 0u64;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("req-{number}");
            let at = gateways[number as usize % gateways.len()];
            let answer = request(at, &id);
            let whole = answer.is_some_and(|status| status == 200);
            if whole {
                served.fetch_add(1, Ordering::Relaxed);
            }
            record.line(format!("request {id} gets {answer:?}"));
            std::thread::sleep(Duration::from_millis(400));
        }
    });
}

fn request(at: std::net::SocketAddr, id: &str) -> Option<u16> {
    let until = Instant::now() + Duration::from_secs(8);
    let mut connection = Connection::open(at, Duration::from_secs(1)).ok()?;
    let headers = [
        ("Host", HOST),
        (wire("request"), id),
        ("Model", "m1"),
        (wire("deadline"), "8000"),
        (wire("key"), KEY),
        ("Connection", "close"),
    ];
    connection.write(&compose("POST /draft/one HTTP/1.1", &headers, b"{}")).then_some(())?;
    connection.read_message(until).ok().map(|answer| answer.status())
}

fn wait(record: &Record, what: &str, limit: f64, done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(limit);
    while !done() {
        if Instant::now() > until {
            record.line(format!("waited {limit} s in vain: {what}"));
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    record.line(format!("reached: {what}"));
    true
}

/// Plays the case; returns the exit status.
pub fn play(folder: &Path, record: Record, trouble: bool) -> i32 {
    let layout = Layout { controllers: 3, gateways: 2, zones: vec!["aarhus-a", "aarhus-b", "vejle-c"] };
    let mut system = System::new(folder, layout, record.clone());
    let models = vec![Model { name: "m1", load_s: 12.0, warm_s: 1.1 }];
    // Two orders of the head get no answer: its first join and its first open. They are carried out
    // 11.7 s and 9.5 s later.
    let count = Arc::new((AtomicU32::new(0), AtomicU32::new(0)));
    let counted = Arc::clone(&count);
    let (joined, opened) = (AtomicBool::new(false), AtomicBool::new(false));
    let late: Late = Arc::new(move |order: &Order| {
        counted.0.fetch_add(1, Ordering::Relaxed);
        let concerned = trouble && order.worker == HEAD;
        let first = |seen: &AtomicBool| !seen.swap(true, Ordering::Relaxed);
        let delay = match order.op.as_str() {
            "join" if concerned && order.members.len() == 2 && first(&joined) => {
                Some(Duration::from_millis(11_700))
            }
            "open" if concerned && first(&opened) => Some(Duration::from_millis(9_500)),
            _ => None,
        };
        counted.1.fetch_add(u32::from(delay.is_some()), Ordering::Relaxed);
        delay
    });
    system.start();
    let fleet = Fleet::new(record.clone(), SERVICE, models, system.controllers(), false, late);
    if !system.configure(&configuration(3), Duration::from_secs(20)) {
        return 2;
    }
    let zone = system.zone(0);
    let one = fleet.start(HEAD, system.worker_ip(1), zone, "rack-1");
    let two = fleet.start("i-bbbb0002", system.worker_ip(2), zone, "rack-1");
    for number in 11..=19u8 {
        // A domain has eight workers at most.
        let domain = if number < 19 { "rack-2" } else { "rack-3" };
        let (id, zone) = (format!("i-dddd00{number}"), system.zone(usize::from(number)));
        fleet.start(&id, system.worker_ip(number), zone, domain);
    }
    let serves = || one.serves().or_else(|| two.serves());
    if !wait(&record, "a group of two is open", 25.0, || serves().is_some()) {
        return 2;
    }
    record.line(format!(
        "{} of {} orders so far got no answer",
        count.1.load(Ordering::Relaxed),
        count.0.load(Ordering::Relaxed)
    ));
    let group = serves().expect("it is open");
    let (head, member) = if group.members[0] == one.id { (&one, &two) } else { (&two, &one) };
    let Some(leader) = system.leader() else { return 2 };
    system.signal(leader, "TERM");
    member.drain(Duration::from_millis(2000));
    if !system.wait_ended(leader, Duration::from_secs(9)) {
        system.signal(leader, "KILL");
        system.wait_ended(leader, Duration::from_secs(2));
    }
    std::thread::sleep(Duration::from_secs(2));
    system.write_settings(leader, false);
    system.start_daemon(leader);
    if !wait(&record, "the head has left the group", 10.0, || head.group().is_none()) {
        return 2;
    }
    if trouble {
        let again = || head.serves().is_some_and(|group| group.members.len() == 2);
        wait(&record, "the late orders have opened the ended group again", 14.0, again);
    }
    let three = fleet.start("i-cccc0003", system.worker_ip(3), zone, "rack-1");
    let formed = || {
        let group = three.group().filter(|group| group.members.len() == 2);
        group.is_some_and(|group| {
            let head = fleet.worker(&group.members[0]).and_then(|head| head.group());
            head.is_some_and(|head| head.name == group.name && head.stage == Stage::Open)
        })
    };
    wait(&record, "a group with the third worker is open", 40.0, || {
        formed() || !fleet.broken().is_empty()
    });
    // The traffic starts.
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    send_requests(&system, Arc::clone(&stop), Arc::clone(&served));
    std::thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    record.line(format!("{} requests were served", served.load(Ordering::Relaxed)));
    let broken = fleet.broken();
    record.line(format!("rule TWO: {}", if broken.is_empty() { "held" } else { "BROKEN" }));
    if !broken.is_empty() {
        1
    } else if formed() {
        0
    } else {
        2
    }
}
