//! Calls of other writers with the ids of workers.

use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_member::http::call_once;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};

use crate::worker::FIRST_START_MS;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns heartbeat records that the worker of this id would not send.
pub fn foreign_records() -> Vec<Value> {
    let valid = json!({"service": "bookings", "address": "127.0.0.1:1", "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
        "seq": u64::MAX, "born": FIRST_START_MS});
    let with = |field: &str, value: Value| {
        let mut record = valid.clone();
        record[field] = value;
        record
    };
    let without = |field: &str| {
        let mut record = valid.clone();
        record.as_object_mut().expect("the record is an object").remove(field);
        record
    };
    vec![
        without("slots"),
        without("version"),
        without("born"),
        without("address"),
        with("slots", json!("8")),
        with("state", json!("asleep")),
        with("service", json!("nobody")),
        with("born", json!(1.5)),
        json!([]),
    ]
}

/// Sends a record with a worker's id to a controller. Returns the status, or 0 without an answer.
pub async fn send_record(controller: &str, id: &str, record: &Value) -> u16 {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("/-/instances/{id}/heartbeat"))
        .header("host", controller)
        .body(Full::new(Bytes::from(record.to_string())))
        .expect("the request is valid");
    let answer = call_once(controller, request, CALL_TIMEOUT).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}
