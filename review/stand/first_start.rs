//! One of three controllers is gone for good at the first start, and an empty one comes at another address.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::http::{Message, call, wire};
use crate::system::{Layout, Record, System};

/// The lost controller and the one that replaces it.
const LOST: usize = 2;
const NEW: usize = 3;
/// Bounds of the site: `contact_ms` and `ack_ms`.
const CONTACT: f64 = 3.0;
const ACK: f64 = 4.0;
/// How long the operator goes on.
const PATIENCE: f64 = 30.0;

pub fn play(folder: &Path, record: Record, trouble: bool) -> i32 {
    let layout = Layout { controllers: 4, gateways: 2, zones: vec!["aarhus-a", "aarhus-b", "vejle-c"] };
    let mut system = System::new(folder, layout, record.clone());
    system.prepare();
    // All machines start within 0.3 s.
    system.start_daemon(LOST);
    if trouble {
        std::thread::sleep(Duration::from_millis(150));
        system.kill(LOST);
        std::thread::sleep(Duration::from_millis(100));
    }
    for index in [0, 1, 4, 5] {
        system.start_daemon(index);
    }
    if trouble {
        std::thread::sleep(Duration::from_secs(1));
        system.write_settings_with(NEW, false, &[0, 1, NEW]);
        system.start_daemon(NEW);
        std::thread::sleep(Duration::from_secs(2));
        // The settings files name the new seeds, as they may without a signal.
        for index in [0, 1, 4, 5] {
            system.write_settings_with(index, false, &[0, 1, NEW]);
        }
    }
    let stable = record.now() + if trouble { CONTACT } else { 0.0 };
    let list = if trouble { [0, 1, NEW] } else { [0, 1, LOST] };
    record.line(format!("the core is stable from {stable:.3} s on"));
    let text = include_str!("holds.json").replace("$VERSION", "3");
    let all = system.controllers();
    let end = Instant::now() + Duration::from_secs_f64(PATIENCE);
    let mut acked = None;
    let mut turn = 0;
    let mut calls = std::collections::BTreeMap::new();
    while Instant::now() < end && acked.is_none() {
        let at = all[list[turn % list.len()]];
        turn += 1;
        let answer = system.call_control(at, "POST", "replace", &text);
        let status = answer.as_ref().map_or(0, Message::status);
        *calls.entry(status).or_insert(0) += 1;
        if status == 200 {
            acked = Some(record.now());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    record.line(format!("answers to the operator's first configuration, by status: {calls:?}"));
    let mut read = None;
    let mut last = 0;
    for turn in 0..20 {
        let answer = system.call_control(all[list[turn % list.len()]], "GET", "fetch", "");
        last = answer.as_ref().map_or(0, Message::status);
        if last == 200 {
            read = answer;
            break;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    record.line(format!("it is read back with status {last}"));
    for at in system.gateways() {
        let headers = [("Host", "shop.example"), (wire("request"), "r-1"), (wire("key"), "key-of-one")];
        let answer = call(at, "GET", "/hold/one", &headers, b"", Duration::from_secs(1));
        record.line(format!("a request at {at} gets {:?}", answer.map(|answer| answer.first)));
    }
    match acked {
        Some(at) => record.line(format!("acknowledged at {at:.3} s")),
        None => record.line("never acknowledged"),
    }
    let late = acked.is_none_or(|at| at > stable + ACK);
    record.line(format!("Acks, of the gate: {}", if late { "missed" } else { "met" }));
    let broken = read.is_none();
    record.line(format!("rule CONFIG: {}", if broken { "BROKEN" } else { "held" }));
    i32::from(broken)
}
