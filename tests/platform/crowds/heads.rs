//! Heads and bodies that come slowly or are announced too long, one at a time.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::system::{HOST, KEY};
use crate::{ANSWER_TIMEOUT, BODY_BYTES, Deployment};

/// Time limit of a head in these tests.
const HEADER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a connection at rest, far longer than a test.
const IDLE_TIMEOUT_MS: u64 = 600_000;
/// Clients that send a body above the limit, one after the other.
const SENDERS: usize = 8;
/// Pieces of a slow body.
const PIECES: usize = 8;

async fn deploy(block: u8) -> (Deployment, TcpStream) {
    let limits = json!({"max_header_bytes": 16384, "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": HEADER_TIMEOUT.as_millis() as u64,
        "idle_timeout_ms": IDLE_TIMEOUT_MS});
    let deployment = Deployment::start_with(block, &limits).await;
    let gateway = &deployment.system.gateways[0];
    let stream = TcpStream::connect(gateway).await.expect("the gateway listens");
    (deployment, stream)
}

fn head(id: &str, length: u64) -> String {
    format!(
        "POST /hold/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\napi-key: {KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// Returns the status line of the next answer.
async fn read_status(stream: &mut TcpStream) -> String {
    let mut answer = [0; 12];
    let reading = tokio::time::timeout(ANSWER_TIMEOUT, stream.read_exact(&mut answer));
    reading.await.expect("it is answered in time").expect("an answer is sent");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against heads that may take as long as a connection may rest.
#[rstest]
#[case::first_request(31, false)]
#[case::later_request(32, true)]
#[tokio::test(flavor = "multi_thread")]
async fn slow_head_closed(#[case] block: u8, #[case] later: bool) {
    let (_deployment, mut stream) = deploy(block).await;
    if later {
        let request = format!("{}{{}}", head("first", 2));
        stream.write_all(request.as_bytes()).await.expect("the request can be sent");
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200");
    }
    stream.write_all(b"POST /hold/1 HTTP/1.1\r\nhost: ").await.expect("a part can be sent");
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection stays open");
}

/// Guards against a limit on heads that closes connections at rest.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn resting_connection_kept() {
    let (_deployment, mut stream) = deploy(33).await;
    for id in ["first", "second"] {
        tokio::time::sleep(HEADER_TIMEOUT * 3).await;
        let request = format!("{}{{}}", head(id, 2));
        stream.write_all(request.as_bytes()).await.expect("the request can be sent");
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200");
        let mut rest = vec![0; 64 << 10];
        let _ = stream.read(&mut rest).await.expect("the rest of the answer can be read");
    }
}

/// Guards against limits on bodies beyond the time limit of the route.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_body_served() {
    let (_deployment, mut stream) = deploy(34).await;
    let piece = vec![b'x'; BODY_BYTES / PIECES];
    let head = head("slow", BODY_BYTES as u64);
    stream.write_all(head.as_bytes()).await.expect("the head can be sent");
    for _ in 0..PIECES {
        tokio::time::sleep(HEADER_TIMEOUT / 2).await;
        stream.write_all(&piece).await.expect("a piece can be sent");
    }
    assert_eq!(read_status(&mut stream).await, "HTTP/1.1 200");
}

/// Guards against refusals that are lost because the connection is reset while its client still sends.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_sender() {
    let (deployment, _) = deploy(36).await;
    let gateway = &deployment.system.gateways[0];
    for number in 0..SENDERS {
        let mut stream = TcpStream::connect(gateway).await.expect("the gateway listens");
        let body = vec![b'x'; BODY_BYTES * 2];
        let head = head(&format!("large-{number}"), body.len() as u64);
        stream.write_all(head.as_bytes()).await.expect("the head can be sent");
        stream.write_all(&body).await.expect("the body can be sent");
        assert_eq!(read_status(&mut stream).await, "HTTP/1.1 413");
    }
}

/// Guards against bodies that are read although their announced length is above the limit.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn announced_length_refused_unread() {
    let (_deployment, mut stream) = deploy(35).await;
    let head = head("huge", 8 << 30);
    stream.write_all(head.as_bytes()).await.expect("the head can be sent");
    assert_eq!(read_status(&mut stream).await, "HTTP/1.1 413");
}
