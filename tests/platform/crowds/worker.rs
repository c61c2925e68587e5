//! A stand-in worker that takes bodies of any size, and gives long answers on request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollowbarrow_member::http::call_once;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const HEARTBEAT: Duration = Duration::from_millis(200);
const ADDRESS: &str = "127.76.0.1:0";
/// Path of requests with a long answer, and its length.
pub const LONG_PATH: &str = "/hold/long";
const LONG_BYTES: usize = 2 << 20;
/// Body of all other answers.
pub const ANSWER: &str = "confirmed";

/// Starts a worker of the service `bookings`, which runs until the test ends.
pub async fn start_worker(controllers: &[String], id: &'static str) {
    let listener = TcpListener::bind(ADDRESS).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                // The gateway closes connections as it likes.
                let _ = serve(stream, id).await;
            });
        }
    });
    tokio::spawn(send_heartbeats(controllers.to_vec(), address, id));
}

async fn send_heartbeats(controllers: Vec<String>, address: SocketAddr, id: &'static str) {
    for seq in 1.. {
        let body = json!({"service": "bookings", "address": address.to_string(), "zone": "a",
            "version": "v1", "cold_left_ms": 0, "slots": 32, "state": "ready", "seq": seq,
            "models": [], "group": null});
        for controller in &controllers {
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("/-/instances/{id}/heartbeat"))
                .header("host", controller)
                .body(Full::new(Bytes::from(body.to_string())))
                .expect("the request is valid");
            let answer = call_once(controller, request, Duration::from_secs(1)).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                break;
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// What the worker needs of a request's head.
#[derive(Default)]
struct RequestHead {
    target: String,
    id: String,
    instance: String,
    body_bytes: u64,
}

async fn read_head(reader: &mut (impl AsyncBufReadExt + Unpin)) -> std::io::Result<RequestHead> {
    let mut head = RequestHead::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(head);
        }
        let Some((name, value)) = text.split_once(": ") else {
            head.target = text.split(' ').nth(1).unwrap_or_default().to_owned();
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => head.id = value.to_owned(),
            "target-instance" => head.instance = value.to_owned(),
            "content-length" => head.body_bytes = value.parse().unwrap_or_default(),
            _ => {}
        }
    }
}

async fn serve(stream: TcpStream, id: &str) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let head = read_head(&mut stream).await?;
        tokio::io::copy(&mut (&mut stream).take(head.body_bytes), &mut tokio::io::sink()).await?;
        let (status, body) = match head.target.as_str() {
            _ if !head.instance.is_empty() && head.instance != id => {
                ("421 Misdirected Request\r\nnot-executed: 1", String::new())
            }
            LONG_PATH => ("200 OK", "x".repeat(LONG_BYTES)),
            "/-/report" => ("200 OK", "{}".to_owned()),
            _ => ("200 OK", ANSWER.to_owned()),
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nrequest-id: {}\r\nresponse-signature: {id}.1\r\n\
             content-length: {}\r\n\r\n{body}",
            head.id,
            body.len()
        );
        stream.get_mut().write_all(answer.as_bytes()).await?;
    }
}
