//! Reuse of pooled connections, against a server that counts connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_upstream::{ConnectionLease, SendRequestError, UpstreamClient, UpstreamRequest};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

/// Answers every request with an empty body, and counts connections.
async fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer_all(stream));
        }
    });
    (address, count)
}

async fn answer_all(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while let Ok(read) = stream.read(&mut buffer).await {
        // Requests are short, so each one arrives in a single read.
        if read == 0
            || stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.is_err()
        {
            return;
        }
    }
}

async fn use_lease(client: &UpstreamClient, lease: ConnectionLease) -> ConnectionLease {
    let request = UpstreamRequest {
        request_id: "r1".to_owned(),
        method: Method::GET,
        target: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        reuse: true,
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    let answer = client.send(lease, &request, deadline).await.expect("the server answers");
    answer.body.collect().await.expect("the body is empty");
    answer.lease
}

/// Three requests at once, twice; their connections are pooled up to a limit.
#[rstest]
#[case::all_kept(8, 3)]
#[case::one_kept(1, 5)]
#[tokio::test]
async fn give_back_up_to_limit(#[case] max_idle: usize, #[case] expected: usize) {
    let (address, count) = start_server().await;
    let client = UpstreamClient::new();
    for _ in 0..2 {
        let mut leases = Vec::new();
        for _ in 0..3 {
            let lease = client.prepare(address, true).await.expect("the server listens");
            leases.push(use_lease(&client, lease.with_max_idle(max_idle)).await);
        }
        leases.into_iter().for_each(ConnectionLease::give_back);
        assert!(client.idle_addresses().contains(&address));
    }
    assert_eq!(count.load(Ordering::Relaxed), expected);
}

/// Only a refusal shows that no process listens at an address.
///
/// Guards against taking a node for lost whose accept queue is full or whose packets are lost.
#[rstest]
#[tokio::test]
async fn refusal_told_from_silence() {
    let client = UpstreamClient::new().with_first_connect_timeout(Duration::from_millis(100));
    // The socket keeps its port, so that no other process can listen there.
    let closed = TcpSocket::new_v4().expect("a socket can be created");
    closed.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
    let address = closed.local_addr().expect("a bound socket has an address");
    let refused = client.prepare(address, false).await.map(|_| ());
    assert_eq!(refused, Err(SendRequestError::Refused(address)));

    let socket = TcpSocket::new_v4().expect("a socket can be created");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
    let address = socket.local_addr().expect("a bound socket has an address");
    let _full = socket.listen(1).expect("the socket can listen");
    let mut queued = Vec::new();
    for _ in 0..4 {
        let connecting = TcpStream::connect(address);
        queued.push(tokio::time::timeout(Duration::from_millis(100), connecting).await);
    }
    let silent = client.prepare(address, false).await.map(|_| ());
    assert_eq!(silent, Err(SendRequestError::Connect(address)));
}

/// Answers the first request of each connection with a body that only the end of the connection
/// ends.
async fn start_unframed_server(head: &'static str, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\nthe answer");
            let _ = stream.write_all(answer.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            if resets {
                let _ = stream.set_zero_linger();
            }
        }
    });
    address
}

/// An answer without a length ends with its connection, which is not used again; a reset is no end.
///
/// Guards against taking an answer for framed whose transfer encoding has no chunks.
#[rstest]
#[case::closed("", false)]
#[case::reset("", true)]
#[case::encoded("transfer-encoding: gzip\r\n", false)]
#[case::encoded_beside_length("content-length: 10\r\ntransfer-encoding: identity\r\n", false)]
#[tokio::test]
async fn unframed_answer_ends_with_connection(#[case] head: &'static str, #[case] resets: bool) {
    let address = start_unframed_server(head, resets).await;
    let client = UpstreamClient::new();
    let lease = client.connect(address).await.expect("the server listens");
    let request = UpstreamRequest {
        request_id: "r1".to_owned(),
        method: Method::GET,
        target: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        reuse: true,
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    let answer = client.send(lease, &request, deadline).await.expect("the server answers");
    assert!(!answer.framed);
    let body = answer.body.collect().await;
    assert_eq!(body.is_err(), resets);
    if let Ok(body) = body {
        assert_eq!(body.to_bytes(), "the answer");
    }
    answer.lease.give_back();
    assert!(client.take_kept(address).is_none(), "the connection is not pooled");
}

#[rstest]
#[tokio::test]
async fn framed_answer_states_its_end() {
    let (address, _) = start_server().await;
    let client = UpstreamClient::new();
    let lease = client.connect(address).await.expect("the server listens");
    use_lease(&client, lease).await.give_back();
    assert!(client.take_kept(address).is_some());
}

/// Chunks show the end of an answer where they are its last transfer encoding.
#[rstest]
#[case::chunked("chunked")]
#[case::after_others("gzip, Chunked")]
#[tokio::test]
async fn chunked_answer_is_framed(#[case] encoding: &str) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: {encoding}\r\n\r\n");
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(b"3\r\nall\r\n0\r\n\r\n").await;
        stream
    });
    let client = UpstreamClient::new();
    let lease = client.connect(address).await.expect("the server listens");
    use_lease(&client, lease).await.give_back();
    assert!(client.take_kept(address).is_some());
    drop(serving);
}
