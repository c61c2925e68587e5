//! Calls to workers whose answer has a head that is none.

use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_member::http::{CallError, call_once};
use http_body_util::Full;
use hyper::{Request, Response};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes a call that is answered with this text, after which the connection is closed.
async fn call_answered_with(text: &'static str) -> Result<Response<Bytes>, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the call is made");
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    let request = Request::builder().uri("/").header("host", "worker");
    let request = request.body(Full::new(Bytes::new())).expect("the request is valid");
    call_once(&address.to_string(), request, CALL_TIMEOUT).await
}

/// Guards against orders and probes that count as answered although the answer is none of HTTP.
#[rstest]
#[case::zero("HTTP/1.1 000 Unknown\r\ncontent-length: 2\r\n\r\n{}")]
#[case::switching("HTTP/1.1 101 Switching Protocols\r\ncontent-length: 2\r\n\r\n{}")]
#[case::above_all("HTTP/1.1 600 Unknown\r\ncontent-length: 2\r\n\r\n{}")]
#[case::highest("HTTP/1.1 999 Unknown\r\ncontent-length: 2\r\n\r\n{}")]
#[case::cut_status_line("HTTP/1.1 20")]
#[case::cut_header("HTTP/1.1 200 OK\r\ncontent-len")]
#[case::cut_blank_line("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r")]
#[case::cut_body("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{")]
#[tokio::test]
async fn call_once_invalid_answer(#[case] text: &'static str) {
    let answer = call_answered_with(text).await;
    assert!(matches!(answer, Err(CallError::NoAnswer)), "{answer:?}");
}

#[rstest]
#[case::lowest("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", 200)]
#[case::after_interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\n\r\n", 202)]
#[case::highest("HTTP/1.1 599 Unknown\r\ncontent-length: 2\r\n\r\n{}", 599)]
#[tokio::test]
async fn call_once_valid_answer(#[case] text: &'static str, #[case] expected: u16) {
    let answer = call_answered_with(text).await.expect("the answer is whole");
    assert_eq!(answer.status().as_u16(), expected);
}
