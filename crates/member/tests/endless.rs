//! Calls to workers that send bytes without end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_member::http::{CallError, call_once};
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time limit of a call, far longer than it takes to read too much.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time until a connection is closed after the call.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a worker may get rid of, buffers of the kernel included.
const MAX_BYTES: usize = 16 << 20;

/// Guards against health checks and orders that keep a controller busy until their time limit.
#[rstest]
#[case::status_line("HTTP/1.1 200 O", "K")]
#[case::headers("HTTP/1.1 200 OK\r\n", "x: y\r\n")]
#[case::informational("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::small_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n")]
#[case::trailers("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n")]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n", "x")]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\n", "x")]
#[tokio::test(flavor = "multi_thread")]
async fn call_once_endless_answer(#[case] first: &'static str, #[case] unit: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let sent = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&sent);
    let worker = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the call is made");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        let mut block = first.as_bytes().to_vec();
        while stream.write_all(&block).await.is_ok() {
            counted.fetch_add(block.len(), Ordering::Relaxed);
            block = unit.as_bytes().repeat(4096 / unit.len());
        }
    });
    let request = Request::builder().uri("/").header("host", "worker");
    let request = request.body(Full::new(Bytes::new())).expect("the request is valid");
    let answer = call_once(&address.to_string(), request, CALL_TIMEOUT).await;
    assert!(matches!(answer, Err(CallError::NoAnswer)), "{answer:?}");
    let closed = tokio::time::timeout(CLOSE_TIMEOUT, worker).await;
    assert!(closed.is_ok(), "the connection is kept open");
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_BYTES, "{sent} bytes were taken");
}
