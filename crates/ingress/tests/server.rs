//! Connections served over the loopback interface.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::iter;
use hollowbarrow_ingress::{
    AnswerBody, ClientGate, HttpAnswer, HttpHandler, HttpLimits, ListenerGate, RequestBody,
    TruncatedAnswerError, bind_http, plain_answer, serve_http,
};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}";
const LIMITS: HttpLimits = HttpLimits {
    head_bytes: 16 << 10,
    header: Duration::from_secs(60),
    idle: Duration::from_secs(60),
};

/// Reads the frames of each body itself, and answers once it is told to.
#[derive(Default)]
struct FrameReader {
    read: Notify,
    answer: Notify,
    truncated: bool,
}

impl HttpHandler for FrameReader {
    fn limits(&self) -> HttpLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> HttpAnswer {
        let body = request.into_body().collect().await.expect("the body is received");
        assert_eq!(body.to_bytes(), "{}");
        self.read.notify_one();
        self.answer.notified().await;
        if !self.truncated {
            return plain_answer(StatusCode::OK, "done");
        }
        let chunks = [Ok(Bytes::from_static(b"part")), Err(TruncatedAnswerError)];
        Response::new(AnswerBody::Chunks(Box::pin(iter(chunks))))
    }
}

/// Serves until the returned sender is dropped; returns the address too.
fn serve(handler: &Arc<FrameReader>, gate: ListenerGate) -> (String, watch::Sender<bool>) {
    let listener = bind_http("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve_http(listener, stopped, Arc::clone(handler), gate));
    (address, stop)
}

async fn send(address: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    stream.write_all(REQUEST).await.expect("the request can be sent");
    stream
}

/// Guards against requests that count as incomplete because their handler reads the frames itself.
#[rstest]
#[tokio::test]
async fn serve_keeps_request_read_by_frames() {
    let handler = Arc::<FrameReader>::default();
    let gate = ClientGate::new(1 << 20).add_listener("callers", 1);
    let (address, _stop) = serve(&handler, gate);
    let mut first = send(&address).await;
    handler.read.notified().await;
    let mut second = send(&address).await;
    let mut answer = Vec::new();
    let refused = second.read_to_end(&mut answer).await;
    assert!(refused.is_err() || answer.is_empty(), "the second is closed unread");
    handler.answer.notify_one();
    let mut status = [0; 12];
    first.read_exact(&mut status).await.expect("the first is answered");
    assert_eq!(&status, b"HTTP/1.1 200");
}

/// Guards against connections that stay open after an answer was cut.
#[rstest]
#[tokio::test]
async fn serve_closes_truncated_answer_at_once() {
    let handler = Arc::new(FrameReader { truncated: true, ..FrameReader::default() });
    let (address, _stop) = serve(&handler, ListenerGate::unbounded());
    let mut stream = send(&address).await;
    handler.answer.notify_one();
    handler.read.notified().await;
    // While the clock is paused, a wait for the client's end would show as time that has passed.
    let mut answer = Vec::new();
    tokio::time::pause();
    let before = tokio::time::Instant::now();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(before.elapsed() < Duration::from_millis(400), "{:?}", before.elapsed());
}
