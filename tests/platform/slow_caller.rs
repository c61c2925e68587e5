//! A gateway that stops while a caller still receives an answer.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::raw_worker::{AnswerPlan, NOT_REPEATABLE, RawDeployment, long_answer};
use crate::system::{CONTROLLERS, HOST, KEY, Layout, Signal};

/// Bytes of the answer, more than the sockets between gateway and caller hold.
const ANSWER_BYTES: usize = 8 << 20;
/// Receive buffer of the caller.
const BUFFER_BYTES: u32 = 64 << 10;
/// Time for which the caller reads nothing after the signal: longer than the gateway waits for load
/// balancers.
const PAUSE: Duration = Duration::from_millis(4000);

/// Sends a request, and reads the head of its answer and some of the body.
async fn begin_call(gateway: &str, id: &str) -> (TcpStream, Vec<u8>) {
    let socket = TcpSocket::new_v4().expect("a socket can be created");
    socket.set_recv_buffer_size(BUFFER_BYTES).expect("the buffer can be set");
    let address: SocketAddr = gateway.parse().expect("the address is valid");
    let mut stream = socket.connect(address).await.expect("the gateway listens");
    let request = format!(
        "POST /hold/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\napi-key: {KEY}\r\n\
         content-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.expect("the request can be sent");
    let mut received = Vec::new();
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = stream.read_buf(&mut received).await.expect("the answer can be read");
        assert_ne!(read, 0, "the connection ends before the head of the answer");
    }
    (stream, received)
}

/// Guards against an answer that is cut because the gateway exits once its request has been handled,
/// before the answer is written.
#[rstest]
#[tokio::test]
async fn answer_written_before_exit() {
    let deployment = RawDeployment::start(253, Layout::plain(), NOT_REPEATABLE).await;
    let system = &deployment.system;
    let expected = long_answer("slow", ANSWER_BYTES);
    deployment.fleet.set_plan(AnswerPlan::Long(ANSWER_BYTES));
    let (mut stream, mut received) = begin_call(&system.gateways[0], "slow").await;
    system.signal(CONTROLLERS, Signal::Terminate);
    tokio::time::sleep(PAUSE).await;
    let read = stream.read_to_end(&mut received).await;
    let text = String::from_utf8_lossy(&received);
    let (head, body) = text.split_once("\r\n\r\n").expect("the answer has a head");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_eq!(body.len(), expected.len(), "{read:?}: {}", system.logs());
    assert_eq!(body, expected);
}
