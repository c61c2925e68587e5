//! Crowds at a controller's address for workers and operators.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client::{ClientScript, Repeats};
use crate::{CROWD_TIME, Deployment, SMALL_CHUNK_TIME};

/// Clients of a crowd and its time, and bytes of a call as large as is allowed, 192 MB together.
const LARGE: (usize, Duration) = (12, CROWD_TIME);
const CALL_BYTES: usize = 16 << 20;
/// The same of a crowd that sends calls in chunks of one byte, and bytes of each call.
const SMALL_CHUNKS: (usize, Duration) = (24, SMALL_CHUNK_TIME);
const SMALL_CHUNK_BYTES: usize = 1 << 20;
/// Bytes of a large chunk.
const CHUNK_BYTES: usize = 64 << 10;
const REPLACE: &str = "/-/config/replace";
const UNKNOWN: &str = "/-/config/none";

fn head(path: &str, framing: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: control\r\n{framing}\r\n\r\n")
}

fn chunked(chunk_bytes: usize, repeats: Repeats) -> ClientScript {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    ClientScript::new(head(REPLACE, "transfer-encoding: chunked")).with_unit(chunk, repeats)
}

fn large_chunks() -> ClientScript {
    chunked(CHUNK_BYTES, Repeats::Times(CALL_BYTES / CHUNK_BYTES))
}

fn small_chunks() -> ClientScript {
    chunked(1, Repeats::Times(SMALL_CHUNK_BYTES))
}

fn endless_chunks() -> ClientScript {
    chunked(CHUNK_BYTES, Repeats::Endless)
}

fn one_byte_short(path: &str) -> ClientScript {
    let head = head(path, &format!("content-length: {CALL_BYTES}"));
    ClientScript::new(head).with_unit("x".repeat(CALL_BYTES - 1), Repeats::Times(1))
}

fn whole_calls() -> ClientScript {
    let head = head(REPLACE, &format!("content-length: {CALL_BYTES}"));
    ClientScript::new("").with_unit(format!("{head}{}", "[".repeat(CALL_BYTES)), Repeats::Endless)
}

/// Returns a script for whole calls that take far more memory once they are parsed.
fn many_values() -> ClientScript {
    let first = r#"{"tenants":[{"name":"a","api_keys":["#;
    let body = format!("{first}{}", r#""b","#.repeat(CALL_BYTES / 4));
    let body = &body[..CALL_BYTES];
    let head = head(REPLACE, &format!("content-length: {CALL_BYTES}"));
    ClientScript::new("").with_unit(format!("{head}{body}"), Repeats::Endless)
}

/// Guards against calls that are held without a bound over all clients together.
#[rstest]
#[case::large_chunks(11, LARGE, large_chunks())]
#[case::small_chunks(12, SMALL_CHUNKS, small_chunks())]
#[case::endless_chunks(13, LARGE, endless_chunks())]
#[case::one_byte_short(14, LARGE, one_byte_short(REPLACE))]
#[case::unknown_path(15, LARGE, one_byte_short(UNKNOWN))]
#[case::whole_calls(16, LARGE, whole_calls())]
#[case::many_values(18, LARGE, many_values())]
#[tokio::test(flavor = "multi_thread")]
async fn calls_bounded(
    #[case] block: u8,
    #[case] crowd: (usize, Duration),
    #[case] script: ClientScript,
) {
    let mut deployment = Deployment::start(block).await;
    let address = deployment.system.controllers[0].clone();
    deployment.withstand(0, &address, crowd, &script).await;
    let fetched = deployment.system.fetch().await;
    assert_eq!(fetched["version"], 3, "the configuration is served: {fetched}");
}

/// Guards against bodies of calls that do not exist, which were read whole before the refusal.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_call_refused_unread() {
    let deployment = Deployment::start(17).await;
    let controller = &deployment.system.controllers[0];
    let mut stream = TcpStream::connect(controller).await.expect("the controller listens");
    let head = head(UNKNOWN, &format!("content-length: {CALL_BYTES}"));
    stream.write_all(head.as_bytes()).await.expect("the head can be sent");
    let mut answer = [0; 12];
    let reading = tokio::time::timeout(crate::ANSWER_TIMEOUT, stream.read_exact(&mut answer));
    reading.await.expect("the body is not waited for").expect("an answer is sent");
    assert_eq!(&answer, b"HTTP/1.1 404");
}
