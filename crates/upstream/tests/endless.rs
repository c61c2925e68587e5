//! Upstreams that send bytes without end, in each place of HTTP/1.1 that has room for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_upstream::{
    AnswerBudget, CarrierHealth, ConnectionLease, ReadBodyError, SendRequestError, SentAnswer,
    UpstreamCall, UpstreamClient, UpstreamRequest,
};
use hyper::{HeaderMap, Method};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

/// Limit of a whole answer.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes that an upstream may get rid of besides the content of an answer, buffers included.
const MAX_OTHER_BYTES: usize = 1 << 20;
/// Buffer of the connection, which the upstream may fill.
const CONNECTION_BYTES: usize = 64 << 10;
/// Longest time until a request is known to have failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time until a connection is closed after that.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const SHORT_HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// A path that never breaks.
#[derive(Debug)]
struct SoundCarrier;

impl CarrierHealth for SoundCarrier {
    fn is_lost(&self) -> bool {
        false
    }

    fn is_leaving(&self) -> bool {
        false
    }

    fn name(&self) -> &str {
        "test"
    }
}

/// An upstream that sends bytes without end once it has read something.
struct EndlessUpstream {
    sent: Arc<AtomicUsize>,
    ended: tokio::task::JoinHandle<()>,
}

impl EndlessUpstream {
    /// Starts an upstream that sends some bytes first and then a unit over and over again.
    async fn start(
        client: &UpstreamClient,
        first: &str,
        unit: &'static str,
    ) -> (ConnectionLease, Self) {
        let (near, far) = tokio::io::duplex(CONNECTION_BYTES);
        let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let lease = client.adopt(address, near, Arc::new(SoundCarrier)).await;
        let sent = Arc::<AtomicUsize>::default();
        let sending = send_endless(far, first.to_owned(), unit, Arc::clone(&sent));
        let ended = tokio::spawn(sending);
        (lease.expect("the stream can be used"), Self { sent, ended })
    }

    /// Checks that the connection was closed, and how much of it was read.
    async fn assert_closed(self, most: usize) {
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, self.ended).await;
        assert!(closed.is_ok(), "the connection is kept open");
        let sent = self.sent.load(Ordering::Relaxed);
        assert!(sent <= most, "{sent} bytes were read, of {most}");
    }
}

async fn send_endless(
    mut stream: DuplexStream,
    first: String,
    unit: &'static str,
    sent: Arc<AtomicUsize>,
) {
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let mut bytes = first.into_bytes();
    loop {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        sent.fetch_add(bytes.len(), Ordering::Relaxed);
        bytes = unit.as_bytes().repeat(4096 / unit.len());
    }
}

fn request() -> UpstreamRequest {
    UpstreamRequest {
        request_id: "r1".to_owned(),
        method: Method::GET,
        target: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        reuse: true,
    }
}

async fn send(
    client: &UpstreamClient,
    lease: ConnectionLease,
) -> Result<SentAnswer, SendRequestError> {
    client.send(lease, &request(), Instant::now() + REQUEST_TIMEOUT).await
}

/// Guards against requests that wait until their deadline, at full processor time or with a growing
/// buffer, for a head that never ends.
#[rstest]
#[case::status_line("HTTP/1.1 200 O", "K")]
#[case::header_name(SHORT_HEAD, "x")]
#[case::header_value("HTTP/1.1 200 OK\r\nx: ", "x")]
#[case::headers(SHORT_HEAD, "x: y\r\n")]
#[case::blank_lines("", "\r\n")]
#[case::informational("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::other_bytes("", "\0")]
#[tokio::test(flavor = "multi_thread")]
async fn send_to_endless_head(#[case] first: &str, #[case] unit: &'static str) {
    let client = UpstreamClient::new();
    let (lease, upstream) = EndlessUpstream::start(&client, first, unit).await;
    let error = send(&client, lease).await.expect_err("there is no head");
    assert!(matches!(error, SendRequestError::NoAnswer(_)), "{error}");
    upstream.assert_closed(MAX_OTHER_BYTES).await;
}

/// Guards against bodies that are read for as long as they last: bytes that are no content were not
/// bounded, and content in chunks of one byte took several times its size.
#[rstest]
#[case::chunk_size("transfer-encoding: chunked\r\n\r\n", "0", MAX_OTHER_BYTES)]
#[case::chunk_extension("transfer-encoding: chunked\r\n\r\n5;", "x", MAX_OTHER_BYTES)]
#[case::small_chunks("transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n", MAX_OTHER_BYTES)]
#[case::large_chunk("transfer-encoding: chunked\r\n\r\nfffffff\r\n", "x", 2 * MAX_BODY_BYTES)]
#[case::trailers("transfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n", MAX_OTHER_BYTES)]
#[case::trailer("transfer-encoding: chunked\r\n\r\n0\r\nx: ", "y", MAX_OTHER_BYTES)]
#[case::length("content-length: 999999999999\r\n\r\n", "x", MAX_OTHER_BYTES)]
#[case::no_length("\r\n", "x", 2 * MAX_BODY_BYTES)]
#[tokio::test(flavor = "multi_thread")]
async fn read_within_endless_body(
    #[case] first: &str,
    #[case] unit: &'static str,
    #[case] most: usize,
) {
    let client = UpstreamClient::new();
    let head = format!("{SHORT_HEAD}{first}");
    let (lease, upstream) = EndlessUpstream::start(&client, &head, unit).await;
    let answer = send(&client, lease).await.expect("the head is complete");
    let reading = answer.body.read_within(MAX_BODY_BYTES);
    let read = tokio::time::timeout(REQUEST_TIMEOUT, reading).await.expect("reading ends");
    let error = read.expect_err("the body has no end");
    assert!(matches!(error, ReadBodyError::TooLong | ReadBodyError::Connection(_)), "{error}");
    drop(answer.lease);
    upstream.assert_closed(most).await;
}

/// Guards against connections that are kept although bytes that belong to no request follow an answer.
#[rstest]
#[case::other_bytes("x")]
#[case::blank_lines("\r\n")]
#[case::informational("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::answers("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn give_back_before_endless_bytes(#[case] unit: &'static str) {
    let client = UpstreamClient::new();
    let head = format!("{SHORT_HEAD}content-length: 2\r\n\r\nok");
    let (lease, upstream) = EndlessUpstream::start(&client, &head, unit).await;
    let answer = send(&client, lease).await.expect("the head is complete");
    let body = answer.body.read_within(MAX_BODY_BYTES).await.expect("the answer is complete");
    assert_eq!(body, "ok");
    answer.lease.give_back();
    upstream.assert_closed(MAX_OTHER_BYTES).await;
}

/// Guards against checks of instances that read without end.
#[rstest]
#[case::head(SHORT_HEAD, "x: y\r\n")]
#[case::informational("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\n", "x")]
#[tokio::test(flavor = "multi_thread")]
async fn call_endless_upstream(#[case] first: &str, #[case] unit: &'static str) {
    let client = UpstreamClient::new();
    let (lease, upstream) = EndlessUpstream::start(&client, first, unit).await;
    let call = UpstreamCall { method: Method::GET, target: "/", headers: HeaderMap::new() };
    let error = client.call(lease, &call, Instant::now() + REQUEST_TIMEOUT).await;
    let error = error.expect_err("there is no answer");
    assert!(matches!(error, SendRequestError::NoAnswer(_)), "{error}");
    upstream.assert_closed(MAX_OTHER_BYTES).await;
}

/// Guards against sound answers that fail because others without end are read at the same time.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn read_within_beside_endless_bodies() {
    const ENDLESS: usize = 20;
    const SOUND_BYTES: usize = 200 << 10;
    let client = UpstreamClient::new().with_answer_budget(AnswerBudget::new(2 * MAX_BODY_BYTES));
    let endless = (0..ENDLESS).map(|_| {
        let client = client.clone();
        tokio::spawn(async move {
            let head = format!("{SHORT_HEAD}\r\n");
            let (lease, upstream) = EndlessUpstream::start(&client, &head, "x").await;
            let answer = send(&client, lease).await.expect("the head is complete");
            let read = answer.body.read_within(8 * MAX_BODY_BYTES).await;
            drop(answer.lease);
            upstream.assert_closed(9 * MAX_BODY_BYTES).await;
            matches!(read, Err(ReadBodyError::OverBudget(_) | ReadBodyError::TooLong))
        })
    });
    let endless: Vec<_> = endless.collect();
    for _ in 0..ENDLESS {
        let sound = "y".repeat(SOUND_BYTES);
        let head = format!("{SHORT_HEAD}content-length: {SOUND_BYTES}\r\n\r\n{sound}");
        let (lease, _upstream) = EndlessUpstream::start(&client, &head, "x").await;
        let answer = send(&client, lease).await.expect("the head is complete");
        let reading = answer.body.read_within(MAX_BODY_BYTES);
        let read = tokio::time::timeout(REQUEST_TIMEOUT, reading).await.expect("reading ends");
        assert_eq!(read.expect("the answer is sound"), sound);
    }
    for ended in endless {
        let ended = tokio::time::timeout(REQUEST_TIMEOUT, ended).await.expect("reading ends");
        assert!(ended.expect("the task does not panic"), "an endless body was read");
    }
}
