//! Compares HTTP servers for the ingress: rouille, tiny_http, on which rouille is built, and hyper.
//!
//! Each server runs in its own process and sends the same stream of tokens at
//! the token rate that the users require. The parent process measures it from
//! outside.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::process::{Child, Command as Process, Stdio};
use std::time::Duration;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command};
use hollowbarrow_testkit::{CALLER_KEY, CallerCall, join_all};
use hyper::Method;
use tokio::time::Instant;

use crate::stats::{DurationHistogram, process_usage};

/// Interval between two tokens that the users require at the target size.
const TOKEN_INTERVAL: Duration = Duration::from_millis(26);
const TOKENS: usize = 60;
const TOKEN: &[u8] = b"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token\"}}]}\n\n";
const STREAMS: usize = 400;
const IDLE_CONNECTIONS: usize = 1000;
const CLIENT_CALLS: usize = 1000;
const SERVER_KINDS: &[&str] = &["rouille_response", "tiny_http_flushed", "hyper"];

pub(crate) fn command() -> Command {
    Command::new("doors")
        .about("Compares HTTP servers for the ingress")
        .arg(Arg::new("serve").long("serve").hide(true).value_parser(SERVER_KINDS.to_vec()))
}

pub(crate) fn run(arguments: &ArgMatches) -> Result<()> {
    if let Some(kind) = arguments.get_one::<String>("serve") {
        return serve(kind);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    for kind in SERVER_KINDS {
        let server = ServerProcess::start(kind)?;
        println!("{}", runtime.block_on(measure(kind, &server))?);
    }
    let server = ServerProcess::start("hyper")?;
    println!("{}", measure_clients(&runtime, &server)?);
    Ok(())
}

struct ServerProcess {
    child: Child,
    address: SocketAddr,
}

impl ServerProcess {
    fn start(kind: &str) -> Result<Self> {
        let mut child = Process::new(std::env::current_exe()?)
            .args(["doors", "--serve", kind])
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let output =
            child.stdout.take().context("the standard output of the server is not piped")?;
        BufReader::new(output).read_line(&mut line)?;
        Ok(Self { child, address: line.trim().parse()? })
    }

    fn threads(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("Threads:"));
        line.and_then(|line| line.trim().parse().ok()).unwrap_or(0)
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn stream(address: SocketAddr) -> hollowbarrow_testkit::CallReply {
    CallerCall::new(Method::GET, "/stream", CALLER_KEY).send(address).await
}

async fn measure(kind: &str, server: &ServerProcess) -> Result<String> {
    let pid = server.child.id();
    let single = stream(server.address).await;
    let (cpu_before, memory_before) =
        process_usage(pid).context("cannot read the CPU time and memory of the server")?;
    let replies = join_all((0..STREAMS).map(|_| stream(server.address)).collect()).await;
    let (cpu_after, memory_after) =
        process_usage(pid).context("cannot read the CPU time and memory of the server")?;
    let mut first_token = DurationHistogram::new();
    let mut token_gaps = DurationHistogram::new();
    let mut complete = 0;
    for reply in &replies {
        complete += usize::from(reply.complete && reply.body.len() == TOKENS * TOKEN.len());
        if let Some(time) = reply.first_byte {
            first_token.record(time);
        }
        for pair in reply.chunk_times.windows(2) {
            token_gaps.record(pair[1] - pair[0]);
        }
    }
    let threads_before = server.threads();
    let (_, idle_before) =
        process_usage(pid).context("cannot read the CPU time and memory of the server")?;
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(tokio::net::TcpStream::connect(server.address).await?);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let idle_threads = server.threads();
    let (_, idle_after) =
        process_usage(pid).context("cannot read the CPU time and memory of the server")?;
    drop(idle);
    Ok(format!(
        "door={kind} first_token_alone_ms={:.1} pieces_alone={} streams={STREAMS} whole={complete} \
         first_token_p95_ms={:.1} token_gap_p95_ms={:.1} cpu_ms_per_stream={:.2} kb_per_stream={:.1} \
         idle_connections={IDLE_CONNECTIONS} idle_threads={} kb_per_idle={:.1}",
        single.first_byte.unwrap_or_default().as_secs_f64() * 1000.0,
        single.chunk_times.len(),
        first_token.quantile_ms(0.95),
        token_gaps.quantile_ms(0.95),
        (cpu_after - cpu_before) * 1000.0 / STREAMS as f64,
        (memory_after.saturating_sub(memory_before)) as f64 / 1024.0 / STREAMS as f64,
        idle_threads.saturating_sub(threads_before),
        (idle_after.saturating_sub(idle_before)) as f64 / 1024.0 / IDLE_CONNECTIONS as f64,
    ))
}

/// Measures the duration of calls by attohttpc, which opens a connection for each, and by hyper on
/// one keep-alive connection.
fn measure_clients(runtime: &tokio::runtime::Runtime, server: &ServerProcess) -> Result<String> {
    let url = format!("http://{}/short", server.address);
    let mut new_connections = DurationHistogram::new();
    for _ in 0..CLIENT_CALLS {
        let started = Instant::now();
        attohttpc::get(&url).send()?.bytes()?;
        new_connections.record(started.elapsed());
    }
    let keep_alive = runtime.block_on(measure_keep_alive(server.address))?;
    Ok(format!(
        "client=attohttpc calls={CLIENT_CALLS} p50_ms={:.3} p99_ms={:.3} connections={CLIENT_CALLS}\n\
         client=hyper_kept calls={CLIENT_CALLS} p50_ms={:.3} p99_ms={:.3} connections=1",
        new_connections.quantile_ms(0.5),
        new_connections.quantile_ms(0.99),
        keep_alive.quantile_ms(0.5),
        keep_alive.quantile_ms(0.99),
    ))
}

async fn measure_keep_alive(address: SocketAddr) -> Result<DurationHistogram> {
    use http_body_util::{BodyExt, Empty};
    let stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    let mut times = DurationHistogram::new();
    for _ in 0..CLIENT_CALLS {
        let request = hyper::Request::get("/short")
            .header("host", address.to_string())
            .body(Empty::<bytes::Bytes>::new())?;
        let started = Instant::now();
        sender.ready().await?;
        sender.send_request(request).await?.into_body().collect().await?;
        times.record(started.elapsed());
    }
    Ok(times)
}

fn serve(kind: &str) -> Result<()> {
    match kind {
        "rouille_response" => serve_rouille(),
        "tiny_http_flushed" => serve_tiny_http(),
        _ => serve_hyper(),
    }
}

fn print_address(address: SocketAddr) {
    println!("{address}");
    let _ = std::io::stdout().flush();
}

/// Returns one token per read, after the token interval.
struct PacedReader {
    remaining: usize,
}

impl Read for PacedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.remaining == 0 {
            return Ok(0);
        }
        self.remaining -= 1;
        std::thread::sleep(TOKEN_INTERVAL);
        buffer[..TOKEN.len()].copy_from_slice(TOKEN);
        Ok(TOKEN.len())
    }
}

fn serve_rouille() -> Result<()> {
    let server = rouille::Server::new("127.0.0.1:0", |request| match request.url().as_str() {
        "/stream" => rouille::Response {
            status_code: 200,
            headers: vec![("content-type".into(), "text/event-stream".into())],
            data: rouille::ResponseBody::from_reader(PacedReader { remaining: TOKENS }),
            upgrade: None,
        },
        _ => rouille::Response::text("short"),
    })
    .map_err(|error| anyhow::anyhow!("{error}"))?;
    print_address(server.server_addr());
    server.run();
    Ok(())
}

fn serve_tiny_http() -> Result<()> {
    let server =
        tiny_http::Server::http("127.0.0.1:0").map_err(|error| anyhow::anyhow!("{error}"))?;
    print_address(
        server.server_addr().to_ip().context("the server does not listen on an IP address")?,
    );
    loop {
        let request = server.recv()?;
        std::thread::spawn(move || write_paced(request));
    }
}

fn write_paced(request: tiny_http::Request) -> std::io::Result<()> {
    let mut writer = request.into_writer();
    writer.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    )?;
    for _ in 0..TOKENS {
        std::thread::sleep(TOKEN_INTERVAL);
        write!(writer, "{:x}\r\n", TOKEN.len())?;
        writer.write_all(TOKEN)?;
        writer.write_all(b"\r\n")?;
        writer.flush()?;
    }
    writer.write_all(b"0\r\n\r\n")?;
    writer.flush()
}

fn serve_hyper() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        // The accept backlog of the product's ingress.
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(4096)?;
        print_address(listener.local_addr()?);
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            tokio::spawn(async move {
                let service = hyper::service::service_fn(answer_hyper);
                let io = hyper_util::rt::TokioIo::new(stream);
                hyper::server::conn::http1::Builder::new().serve_connection(io, service).await
            });
        }
    })
}

/// Body whose tokens arrive at the token interval.
struct PacedBody {
    remaining: usize,
    paced: bool,
    timer: std::pin::Pin<Box<tokio::time::Sleep>>,
}

impl hyper::body::Body for PacedBody {
    type Data = bytes::Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, Self::Error>>> {
        if self.remaining == 0 {
            return std::task::Poll::Ready(None);
        }
        if self.paced {
            std::task::ready!(self.timer.as_mut().poll(context));
        }
        self.remaining -= 1;
        self.timer.as_mut().reset(Instant::now() + TOKEN_INTERVAL);
        let frame = hyper::body::Frame::data(bytes::Bytes::from_static(TOKEN));
        std::task::Poll::Ready(Some(Ok(frame)))
    }
}

async fn answer_hyper(
    request: hyper::Request<hyper::body::Incoming>,
) -> Result<hyper::Response<PacedBody>, std::convert::Infallible> {
    let paced = request.uri().path() == "/stream";
    let remaining = if paced { TOKENS } else { 1 };
    let timer = Box::pin(tokio::time::sleep(TOKEN_INTERVAL));
    Ok(hyper::Response::new(PacedBody { remaining, paced, timer }))
}
