//! Crowds at a gateway's address for callers.

use std::time::Duration;

use rstest::rstest;

use crate::client::{ClientScript, Repeats};
use crate::system::{HOST, KEY};
use crate::worker::LONG_PATH;
use crate::{BODY_BYTES, CROWD_TIME, Deployment, SMALL_CHUNK_TIME, gateway_daemon};

/// Clients of a crowd whose bodies are as large as the limit allows, 160 MB together, and its time.
const LARGE: (usize, Duration) = (40, CROWD_TIME);
/// The same of a crowd that sends bodies in chunks of one byte, and bytes of each body.
const SMALL_CHUNKS: (usize, Duration) = (24, SMALL_CHUNK_TIME);
const SMALL_CHUNK_BYTES: usize = 1 << 20;
/// Clients that read no answers, and requests of each one on one connection.
const UNREAD_CLIENTS: usize = 60;
const UNREAD_REQUESTS: usize = 40;
/// Bytes of a large chunk.
const CHUNK_BYTES: usize = 64 << 10;
/// Bytes of a piece of a body with a length.
const PIECE_BYTES: usize = 16 << 10;
/// Announced length of a body far above the limit.
const HUGE_BYTES: u64 = 8 << 30;

/// Returns the head of a request, with a header for its body.
fn head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: crowd\r\napi-key: {KEY}\r\n\
         deadline-ms: 8000\r\n{framing}\r\n\r\n"
    )
}

/// Returns a script for a body in chunks, which ends where the last chunk is due.
fn chunked(chunk_bytes: usize, repeats: Repeats) -> ClientScript {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let head = head("/hold/1", "transfer-encoding: chunked");
    ClientScript::new(head).with_unit(chunk, repeats)
}

/// Returns a script for a body with an announced length, of which so many pieces are sent.
fn announced(length: u64, piece_bytes: usize, repeats: Repeats) -> ClientScript {
    let head = head("/hold/1", &format!("content-length: {length}"));
    ClientScript::new(head).with_unit("x".repeat(piece_bytes), repeats)
}

fn large_chunks() -> ClientScript {
    chunked(CHUNK_BYTES, Repeats::Times(BODY_BYTES / CHUNK_BYTES))
}

fn small_chunks() -> ClientScript {
    chunked(1, Repeats::Times(SMALL_CHUNK_BYTES))
}

fn endless_chunks() -> ClientScript {
    chunked(CHUNK_BYTES, Repeats::Endless)
}

fn huge_length() -> ClientScript {
    announced(HUGE_BYTES, CHUNK_BYTES, Repeats::Endless)
}

fn one_byte_short() -> ClientScript {
    announced(BODY_BYTES as u64, BODY_BYTES - 1, Repeats::Times(1))
}

fn pieces_short() -> ClientScript {
    let pieces = BODY_BYTES / PIECE_BYTES - 1;
    announced(BODY_BYTES as u64, PIECE_BYTES, Repeats::Times(pieces))
}

fn whole_bodies() -> ClientScript {
    let whole = format!(
        "{}{}",
        head("/hold/1", &format!("content-length: {BODY_BYTES}")),
        "x".repeat(BODY_BYTES)
    );
    ClientScript::new("").with_unit(whole, Repeats::Endless)
}

/// Guards against bodies that are held without a bound over all callers together.
#[rstest]
#[case::large_chunks(1, LARGE, large_chunks())]
#[case::small_chunks(2, SMALL_CHUNKS, small_chunks())]
#[case::endless_chunks(3, LARGE, endless_chunks())]
#[case::huge_length(4, LARGE, huge_length())]
#[case::one_byte_short(5, LARGE, one_byte_short())]
#[case::pieces_short(6, LARGE, pieces_short())]
#[case::whole_bodies(7, LARGE, whole_bodies())]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_bounded(
    #[case] block: u8,
    #[case] crowd: (usize, Duration),
    #[case] script: ClientScript,
) {
    let mut deployment = Deployment::start(block).await;
    let address = deployment.system.gateways[0].clone();
    deployment.withstand(gateway_daemon(0), &address, crowd, &script).await;
}

/// Guards against answers that are held without a bound for callers that do not read them.
#[rstest]
#[case::one_each(8, 1)]
#[case::pipelined(9, UNREAD_REQUESTS)]
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_bounded(#[case] block: u8, #[case] requests: usize) {
    let mut deployment = Deployment::start(block).await;
    let address = deployment.system.gateways[0].clone();
    let request = format!("{}{{}}", head(LONG_PATH, "content-length: 2"));
    let script = ClientScript::new("").with_unit(request, Repeats::Times(requests));
    let script = script.without_reading();
    deployment.withstand(gateway_daemon(0), &address, (UNREAD_CLIENTS, CROWD_TIME), &script).await;
}
