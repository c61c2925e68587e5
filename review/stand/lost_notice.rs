//! A controller is killed right after it has acknowledged that a worker is gone.
//!
//! Six of 48 workers leave at the same time. They deregister first and serve on, as some do. The controller
//! that acknowledges it is killed as soon as the first acknowledgement has come, and starts again 2 s later
//! with its disk. As long as the rule holds, others leave up to two times more.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Connection, compose, wire};
use crate::system::{Layout, Record, System};
use crate::worker::{FIRST_CONTROLLER, Fleet, Late};

const HOST: &str = "shop.example";
const KEY: &str = "key-of-one";
/// Bounds of the site: `drain_ms` and `contact_ms`.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;
/// How long the worker serves on after the acknowledgement.
const LINGER: Duration = Duration::from_secs(9);

/// How often it is tried, as long as the rule holds.
const ROUNDS: usize = 3;
/// All workers at the start, and how many in a hundred leave at once.
const WORKERS: u8 = 48;
const LEAVING: usize = 13;

fn request(at: SocketAddr, id: &str) -> Option<u16> {
    let until = Instant::now() + Duration::from_secs(1);
    let mut connection = Connection::open(at, Duration::from_secs(1)).ok()?;
    let headers = [
        ("Host", HOST),
        (wire("request"), id),
        (wire("deadline"), "1000"),
        (wire("key"), KEY),
        ("Connection", "close"),
    ];
    connection.write(&compose("GET /hold/one HTTP/1.1", &headers, b"")).then_some(())?;
    connection.read_message(until).ok().map(|answer| answer.status())
}

pub fn play(folder: &Path, record: Record, trouble: bool) -> i32 {
    let layout = Layout { controllers: 3, gateways: 2, zones: vec!["aarhus-a", "aarhus-b", "vejle-c"] };
    let mut system = System::new(folder, layout, record.clone());
    system.start();
    let never: Late = Arc::new(|_| None);
    let fleet = Fleet::new(record.clone(), "orders", Vec::new(), system.controllers(), false, never);
    let text = include_str!("holds.json").replace("$VERSION", "3");
    if !system.configure(&text, Duration::from_secs(20)) {
        return 2;
    }
    for number in 1..=WORKERS {
        let zone = system.zone(usize::from(number - 1));
        fleet.start(&format!("i-aaaa{number:04}"), system.worker_ip(number), zone, "rack-1");
    }
    if !system.wait_ready(Duration::from_secs(10)) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..2 {
        let (stop, gateways, record) = (Arc::clone(&stop), system.gateways(), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("req-{client}-{number}");
                let answer = request(gateways[client], &id);
                record.line(format!("request {id} gets {answer:?}"));
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    let mut late = Some(0);
    for round in 0..ROUNDS {
        std::thread::sleep(Duration::from_secs(4));
        late = leave_at_once(&mut system, &fleet, round, trouble);
        if late != Some(0) {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let Some(late) = late else { return 2 };
    record.line(format!("rule DRAIN: {}", if late == 0 { "held" } else { "BROKEN" }));
    i32::from(late > 0)
}

/// Lets workers leave and kills the controller that acknowledges it. Returns how many requests reached them
/// too late; none if the round couldn't be played.
fn leave_at_once(system: &mut System, fleet: &Fleet, round: usize, trouble: bool) -> Option<usize> {
    let record = system.record.clone();
    // Those leave that run the most requests.
    let mut leaving: Vec<_> =
        (1..=WORKERS).filter_map(|number| fleet.worker(&format!("i-aaaa{number:04}"))).collect();
    leaving.retain(|worker| worker.is_alive());
    leaving.sort_by_key(|worker| std::cmp::Reverse(fleet.runs_at(&worker.id).len()));
    leaving.truncate(leaving.len() * LEAVING / 100);
    // The one to which the workers report; they stay with the next one once it has failed.
    let killed = (FIRST_CONTROLLER + round) % 3;
    leaving.iter().for_each(|worker| worker.fall_silent());
    std::thread::sleep(Duration::from_millis(100));
    let at = system.controllers()[killed];
    let host = at.to_string();
    let mut calls = Vec::new();
    for worker in &leaving {
        let Ok(connection) = Connection::open(at, Duration::from_secs(1)) else { return None };
        let path = wire("gone").replace("{}", &worker.id);
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        calls.push((connection, compose(&format!("POST {path} HTTP/1.1"), &headers, b"")));
    }
    // They leave when the next heartbeats of all workers are due.
    let due = record.next_beat(Instant::now() + Duration::from_millis(100)) + Duration::from_micros(300);
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
    for (connection, call) in &mut calls {
        connection.write(call);
    }
    let until = Instant::now() + Duration::from_secs(1);
    let _ = calls[0].0.fill(until);
    if trouble {
        system.kill(killed);
    }
    let acked_at = record.now();
    let mut acked = Vec::new();
    for (worker, (connection, _)) in leaving.iter().zip(&mut calls) {
        let status = connection.read_message(until).map(|answer| answer.status());
        record.line(format!("{} is answered to its deregistration: {status:?}", worker.id));
        if status == Ok(200) {
            acked.push(worker.id.clone());
        }
    }
    // Those without an acknowledgement call the next controllers, as they have to.
    for worker in leaving.iter().filter(|worker| !acked.contains(&worker.id)) {
        let path = wire("gone").replace("{}", &worker.id);
        for at in system.controllers().into_iter().cycle().skip(killed + 1).take(2) {
            let answer = crate::http::call(at, "POST", &path, &[], b"", Duration::from_secs(1));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("{} deregisters at the next controller: {status}", worker.id));
            if status == 200 {
                break;
            }
        }
    }
    if acked.is_empty() {
        return None;
    }
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        system.write_settings(killed, false);
        system.start_daemon(killed);
    }
    let settled = record.now() + CONTACT;
    let limit = if trouble { settled.max(acked_at + DRAIN) } else { acked_at + DRAIN };
    std::thread::sleep(LINGER - Duration::from_secs(2));
    leaving.iter().for_each(|worker| worker.end());
    std::thread::sleep(Duration::from_secs(2));
    let mut late = 0;
    for id in &acked {
        let all = fleet.runs_at(id);
        let later = all.iter().filter(|run| run.at > limit).count();
        late += later;
        record.line(format!(
            "{} requests reached {id}, {later} of them after {limit:.3} s, when the core was stable again for {CONTACT} s",
            all.len(),
        ));
    }
    Some(late)
}
