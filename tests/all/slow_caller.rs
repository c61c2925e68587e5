//! A daemon that stops while a caller still receives an answer.

use std::net::SocketAddr;
use std::time::Duration;

use hollowbarrow_testkit::CALLER_KEY;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::raw_nodes::{Plan, RawCluster};

/// Bytes of the answer, more than the sockets between daemon and caller hold.
const ANSWER_BYTES: usize = 8 << 20;
/// Receive buffer of the caller.
const BUFFER_BYTES: u32 = 64 << 10;
/// Time for which the caller reads nothing after the daemon was told to stop.
const PAUSE: Duration = Duration::from_millis(4000);

/// Sends a request, and reads the head of its answer and some of the body.
async fn begin_call(address: SocketAddr) -> (TcpStream, Vec<u8>) {
    let socket = TcpSocket::new_v4().expect("a socket can be created");
    socket.set_recv_buffer_size(BUFFER_BYTES).expect("the buffer can be set");
    let mut stream = socket.connect(address).await.expect("the daemon listens");
    let request = format!(
        "GET /pitches/free HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {CALLER_KEY}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("the request can be sent");
    let mut received = Vec::new();
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = stream.read_buf(&mut received).await.expect("the answer can be read");
        assert_ne!(read, 0, "the connection ends before the head of the answer");
    }
    (stream, received)
}

/// Guards against an answer that is cut because the daemon exits once its request has been handled,
/// before the answer is written.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_written_before_exit() {
    let mut cluster = RawCluster::start().await;
    *cluster.nodes.plan.lock().expect("not poisoned") = Plan::Long(ANSWER_BYTES);
    let (mut stream, mut received) = begin_call(cluster.cluster.caller_address("a0")).await;
    let reading = tokio::spawn(async move {
        tokio::time::sleep(PAUSE).await;
        let read = stream.read_to_end(&mut received).await;
        (read.is_ok(), String::from_utf8_lossy(&received).into_owned())
    });
    assert_eq!(cluster.cluster.stop("a0").await, Some(0));
    let (in_order, text) = reading.await.expect("the answer is read");
    let (head, body) = text.split_once("\r\n\r\n").expect("the answer has a head");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert!(in_order);
    assert_eq!(body.len(), ANSWER_BYTES, "{}", cluster.cluster.log("a0"));
}
