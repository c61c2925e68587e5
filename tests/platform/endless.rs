//! Workers that send bytes without end, in each place of HTTP/1.1 that has room for them.

use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_testkit::FaultMode;
use rstest::rstest;
use tokio::time::Instant;

use crate::complete_stream;
use crate::raw_worker::{
    AnswerPlan, ENDLESS, EndlessPart, NOT_REPEATABLE, REPEATABLE, RawDeployment, RawWorker, STREAM,
};
use crate::system::{CONTROLLERS, KEY, Layout, configuration};

/// Requests at once to which workers send bytes without end, half of what the workers take.
const REQUESTS: usize = 12;
/// Pause between two sound requests beside them.
const SOUND_PAUSE: Duration = Duration::from_millis(50);
/// Least share of them that is served.
const SOUND_SHARE: f64 = 0.9;
/// Time-out of the route, and time within which its requests are answered after it.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(4000);
const ANSWER_DELAY: Duration = Duration::from_millis(500);
/// Time after the last answer until all connections to workers that send bytes without end are closed.
const CLOSE_TIME: Duration = Duration::from_secs(1);
/// Memory of a gateway's machine.
const MEMORY_KB: u64 = 160 << 10;
/// Time in which a gateway is observed after the last answer, and the processor time that it may use.
const CALM_TIME: Duration = Duration::from_secs(2);
const CALM_PROCESSOR_TIME: Duration = Duration::from_millis(500);
/// Time in which silent workers are probed several times.
const PROBED_TIME: Duration = Duration::from_secs(4);
/// Version of a configuration that is sent beside the probes.
const LATER_VERSION: u64 = 9;
/// Pause between two bytes of a worker that sends them slowly.
const SLOW: Option<Duration> = Some(Duration::from_millis(20));

/// Returns bytes without end after the headers of an answer.
const fn after_headers(first: &'static str, unit: &'static str) -> EndlessPart {
    EndlessPart { headed: true, first, unit, pause: None, calls: true }
}

/// Returns bytes without end in place of an answer.
const fn before_headers(first: &'static str, unit: &'static str) -> EndlessPart {
    EndlessPart { headed: false, first, unit, pause: None, calls: true }
}

/// Returns the same, sent slowly.
const fn slow(part: EndlessPart) -> EndlessPart {
    EndlessPart { pause: SLOW, ..part }
}

const STATUS_LINE: EndlessPart = before_headers("HTTP/1.1 200 O", "K");
const HEADERS: EndlessPart = after_headers("", "x: y\r\n");
const HEADER: EndlessPart = after_headers("x: ", "y");
const INFORMATIONAL: EndlessPart = before_headers("", "HTTP/1.1 100 Continue\r\n\r\n");
const BLANK_LINES: EndlessPart = before_headers("", "\r\n");
const CHUNK_SIZE: EndlessPart = after_headers("transfer-encoding: chunked\r\n\r\n", "0");
const CHUNK_EXTENSION: EndlessPart = after_headers("transfer-encoding: chunked\r\n\r\n5;", "x");
const SMALL_CHUNKS: EndlessPart = after_headers("transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n");
const TRAILERS: EndlessPart = after_headers("transfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n");
const LENGTH: EndlessPart = after_headers("content-length: 999999999999\r\n\r\n", "x");
const NO_LENGTH: EndlessPart = after_headers("\r\n", "x");
const EVENT: EndlessPart = after_headers("content-type: text/event-stream\r\n\r\ndata: ", "x");
const SURPLUS_BYTES: EndlessPart = after_headers("content-length: 2\r\n\r\nok", "x");
const SURPLUS_ANSWERS: EndlessPart =
    after_headers("content-length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");

impl RawDeployment {
    /// Sends requests at once to which workers send bytes without end, and checks that each is answered
    /// in time; returns the number of answers with 200.
    async fn call_endless(&self) -> usize {
        let calls = (0..REQUESTS).map(|number| async move {
            let id = format!("{ENDLESS}-{number}");
            let started = Instant::now();
            let answer = self.system.call(0, "/hold/1", &id, Some(KEY)).await;
            let elapsed = started.elapsed();
            assert!(elapsed < ROUTE_TIMEOUT + ANSWER_DELAY, "{id} took {elapsed:?}");
            answer.is_ok_and(|answer| answer.status().as_u16() == 200)
        });
        let served = futures_util::future::join_all(calls).await;
        served.into_iter().filter(|served| *served).count()
    }

    /// Sends sound requests until this is told to stop; returns the share that was served.
    async fn call_sound(&self, stop: &tokio::sync::Notify) -> f64 {
        let (mut served, mut sent) = (0, 0);
        loop {
            let id = format!("sound-{sent}");
            sent += 1;
            let answer = self.system.call(0, "/hold/1", &id, Some(KEY)).await;
            served += u32::from(answer.is_ok_and(|answer| answer.status().as_u16() == 200));
            let pause = tokio::time::sleep(SOUND_PAUSE);
            tokio::select! {
                () = pause => {}
                () = stop.notified() => return f64::from(served) / f64::from(sent),
            }
        }
    }

    fn endless_connections(&self) -> usize {
        self.workers.iter().map(|worker| worker.upstream.endless_connections()).sum()
    }

    /// Sends requests to which workers send bytes without end beside sound ones, and checks what this
    /// costs the callers and the gateway; returns how many of the former were served.
    async fn check_endless(&self, part: EndlessPart) -> usize {
        self.fleet.set_plan(AnswerPlan::Endless(part));
        let stop = tokio::sync::Notify::new();
        let endless = async {
            let served = self.call_endless().await;
            stop.notify_one();
            served
        };
        let (served, sound) = tokio::join!(endless, self.call_sound(&stop));
        assert!(
            sound >= SOUND_SHARE,
            "{sound} of the sound requests served: {}",
            self.system.logs()
        );
        tokio::time::sleep(CLOSE_TIME).await;
        assert_eq!(self.endless_connections(), 0, "connections stay open");
        let used = self.system.processor_time(CONTROLLERS);
        tokio::time::sleep(CALM_TIME).await;
        let used = self.system.processor_time(CONTROLLERS) - used;
        assert!(used < CALM_PROCESSOR_TIME, "{used:?} of processor time in {CALM_TIME:?}");
        let memory = self.system.memory_kb(CONTROLLERS, "VmHWM");
        assert!(memory < MEMORY_KB, "{memory} KB of memory at most");
        served
    }
}

/// Guards against a gateway that is kept busy by what is no answer: callers that wait beyond their time,
/// sound requests that fail, memory that grows, and connections that stay open.
#[rstest]
#[case::status_line(130, REPEATABLE, STATUS_LINE)]
#[case::headers(131, REPEATABLE, HEADERS)]
#[case::header(132, NOT_REPEATABLE, HEADER)]
#[case::informational(133, REPEATABLE, INFORMATIONAL)]
#[case::informational_slow(134, REPEATABLE, slow(INFORMATIONAL))]
#[case::blank_lines(135, NOT_REPEATABLE, BLANK_LINES)]
#[case::chunk_size(136, REPEATABLE, CHUNK_SIZE)]
#[case::chunk_extension(137, REPEATABLE, CHUNK_EXTENSION)]
#[case::small_chunks(138, REPEATABLE, SMALL_CHUNKS)]
#[case::trailers(139, REPEATABLE, TRAILERS)]
#[case::length(140, REPEATABLE, LENGTH)]
#[case::no_length(141, REPEATABLE, NO_LENGTH)]
#[case::no_length_slow(142, NOT_REPEATABLE, slow(NO_LENGTH))]
#[case::event(143, STREAM, EVENT)]
#[case::event_slow(144, STREAM, slow(EVENT))]
#[case::chunk_size_of_stream(145, STREAM, CHUNK_SIZE)]
#[tokio::test]
async fn endless_answers_bounded(#[case] block: u8, #[case] kind: &str, #[case] part: EndlessPart) {
    let deployment = RawDeployment::start(block, Layout::plain(), kind).await;
    assert_eq!(deployment.check_endless(part).await, 0, "{}", deployment.system.logs());
}

/// Guards against whole answers that are lost, or connections that are used again, because bytes without
/// end follow them.
#[rstest]
#[case::bytes(146, REPEATABLE, SURPLUS_BYTES)]
#[case::bytes_slow(147, REPEATABLE, slow(SURPLUS_BYTES))]
#[case::answers(148, NOT_REPEATABLE, SURPLUS_ANSWERS)]
#[tokio::test]
async fn answers_before_endless_bytes_served(
    #[case] block: u8,
    #[case] kind: &str,
    #[case] part: EndlessPart,
) {
    let deployment = RawDeployment::start(block, Layout::plain(), kind).await;
    assert_eq!(deployment.check_endless(part).await, REQUESTS, "{}", deployment.system.logs());
}

/// Guards against the same where another gateway carries the bytes.
#[rstest]
#[case::informational(149, REPEATABLE, INFORMATIONAL)]
#[case::no_length(150, REPEATABLE, NO_LENGTH)]
#[case::event(151, STREAM, EVENT)]
#[case::status_line(191, REPEATABLE, STATUS_LINE)]
#[case::headers(192, NOT_REPEATABLE, HEADERS)]
#[case::chunk_size(193, REPEATABLE, CHUNK_SIZE)]
#[case::small_chunks(194, REPEATABLE, SMALL_CHUNKS)]
#[case::trailers(195, REPEATABLE, TRAILERS)]
#[case::length(196, NOT_REPEATABLE, LENGTH)]
#[tokio::test]
async fn endless_answers_through_peer_bounded(
    #[case] block: u8,
    #[case] kind: &str,
    #[case] part: EndlessPart,
) {
    let deployment = RawDeployment::start(block, Layout::zoned_behind_proxies(), kind).await;
    let source = deployment.system.source(CONTROLLERS);
    let cut = |worker: &Arc<RawWorker>| worker.set_source_mode(source, FaultMode::Severed);
    deployment.workers.iter().for_each(cut);
    deployment.system.call_gateway_until_served(0, "/hold/1", "carried").await;
    assert_eq!(deployment.check_endless(part).await, 0, "{}", deployment.system.logs());
    for carrier in 1..deployment.system.gateways.len() {
        let memory = deployment.system.memory_kb(CONTROLLERS + carrier, "VmHWM");
        assert!(memory < MEMORY_KB, "{memory} KB of memory at most");
    }
}

/// Guards against controllers that keep what workers send without end in answer to probes, or are kept
/// from their other work by it.
#[rstest]
#[case::informational(197, INFORMATIONAL)]
#[case::headers(198, HEADERS)]
#[case::chunk_size(199, CHUNK_SIZE)]
#[case::no_length(127, NO_LENGTH)]
#[tokio::test]
async fn endless_reports_bounded(#[case] block: u8, #[case] part: EndlessPart) {
    let deployment = RawDeployment::start(block, Layout::plain(), REPEATABLE).await;
    let system = &deployment.system;
    deployment.fleet.set_plan(AnswerPlan::Endless(part));
    // Workers that register no more are probed.
    deployment.workers.iter().for_each(|worker| worker.silence());
    tokio::time::sleep(PROBED_TIME).await;
    let probes = system.logs().matches("event=worker_probed").count();
    assert!(probes >= deployment.workers.len(), "{probes} probes: {}", system.logs());
    let open = deployment.endless_connections();
    assert!(open <= deployment.workers.len(), "{open} connections are open: {}", system.logs());
    assert_eq!(system.replace(&configuration(LATER_VERSION)).await, 200, "{}", system.logs());
    for controller in 0..CONTROLLERS {
        let memory = system.memory_kb(controller, "VmHWM");
        assert!(memory < MEMORY_KB, "{memory} KB of memory at most");
    }
}

/// Guards against streams that wait until their deadline, since each byte of an event without end counted
/// as progress.
#[rstest]
#[case::event(152, "x", SLOW)]
#[case::event_fast(153, "x", None)]
#[case::known_events(154, "id: 1\ndata: x\n\n", SLOW)]
#[tokio::test]
async fn stream_resumed_after_endless_event(
    #[case] block: u8,
    #[case] unit: &'static str,
    #[case] pause: Option<Duration>,
) {
    let deployment = RawDeployment::start(block, Layout::plain(), STREAM).await;
    deployment.fleet.set_plan(AnswerPlan::EndlessEvent(unit, pause));
    let system = &deployment.system;
    let answer = system.call(0, "/hold/1", "resumed", Some(KEY)).await;
    let answer = answer.unwrap_or_else(|error| panic!("{error}: {}", system.logs()));
    let body = String::from_utf8_lossy(answer.body());
    assert_eq!(body, complete_stream(), "{}", system.logs());
    assert_eq!(deployment.fleet.runs("resumed"), 2);
}
