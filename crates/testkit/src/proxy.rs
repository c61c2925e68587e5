//! Stands between two processes and harms what passes.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes copied at once.
const BUFFER_BYTES: usize = 16 << 10;
/// One in this many buffers is harmed by the damaging modes.
const HARM_RATE: u32 = 20;

/// What the proxy does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMode {
    /// Passes everything on.
    Pass,
    /// Closes all connections and refuses new ones.
    Disconnect,
    /// Keeps connections but passes nothing on in either direction.
    Blackhole,
    /// Passes on only what the dialling side says.
    BlackholeReplies,
    /// Holds each buffer back.
    Delay(Duration),
    /// Now and then changes a byte.
    Corrupt,
    /// Now and then repeats a buffer.
    Duplicate,
    /// Now and then leaves the end of a buffer out.
    Truncate,
    /// Now and then puts the second half of a buffer before the first.
    Reorder,
}

/// A running proxy to one address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    mode: watch::Sender<FaultMode>,
}

impl FaultProxy {
    /// Starts a proxy on a free port of the current runtime.
    pub fn start(target: SocketAddr, seed: u64) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("the kernel gives a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        listener.set_nonblocking(true).expect("a fresh socket can be made nonblocking");
        let (mode, watcher) = watch::channel(FaultMode::Pass);
        tokio::spawn(run_proxy(listener, target, move |_| watcher.clone(), seed));
        Self { address, mode }
    }

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the proxy does, on open connections too.
    pub fn set_mode(&self, mode: FaultMode) {
        self.mode.send_replace(mode);
    }
}

/// A proxy to one daemon that harms what passes by where it comes from.
#[derive(Debug)]
pub struct LinkProxy {
    modes: Arc<SourceModes>,
}

/// What the proxy does to connections from each IP number.
#[derive(Debug, Default)]
struct SourceModes(Mutex<HashMap<IpAddr, watch::Sender<FaultMode>>>);

impl SourceModes {
    fn watch(&self, source: IpAddr) -> watch::Receiver<FaultMode> {
        let mut modes = self.0.lock().expect("no holder of the lock panics");
        modes.entry(source).or_insert_with(|| watch::channel(FaultMode::Pass).0).subscribe()
    }

    fn set(&self, source: IpAddr, mode: FaultMode) {
        let mut modes = self.0.lock().expect("no holder of the lock panics");
        let sender = modes.entry(source).or_insert_with(|| watch::channel(FaultMode::Pass).0);
        sender.send_replace(mode);
    }
}

impl LinkProxy {
    /// Starts a proxy on an address of its own.
    pub fn start(address: SocketAddr, target: SocketAddr, seed: u64) -> Self {
        let listener = std::net::TcpListener::bind(address).expect("the address is free");
        listener.set_nonblocking(true).expect("a fresh socket can be made nonblocking");
        let modes: Arc<SourceModes> = Arc::default();
        let watched = Arc::clone(&modes);
        tokio::spawn(run_proxy(listener, target, move |source| watched.watch(source), seed));
        Self { modes }
    }

    /// Changes what becomes of connections from an IP number, of open ones too.
    pub fn set_mode(&self, source: IpAddr, mode: FaultMode) {
        self.modes.set(source, mode);
    }
}

async fn run_proxy(
    listener: std::net::TcpListener,
    target: SocketAddr,
    watch: impl Fn(IpAddr) -> watch::Receiver<FaultMode>,
    seed: u64,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let mut connection = 0;
    loop {
        let Ok((near, source)) = listener.accept().await else { return };
        let watcher = watch(source.ip());
        if *watcher.borrow() == FaultMode::Disconnect {
            continue;
        }
        connection += 1;
        tokio::spawn(join_sockets(near, target, watcher, seed ^ connection));
    }
}

async fn join_sockets(
    near: TcpStream,
    target: SocketAddr,
    mut watcher: watch::Receiver<FaultMode>,
    seed: u64,
) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy_harmed(near_read, far_write, watcher.clone(), false, seed);
    let back = copy_harmed(far_read, near_write, watcher.clone(), true, seed ^ 0xff);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        _ = watcher.wait_for(|mode| *mode == FaultMode::Disconnect) => {}
    }
}

async fn copy_harmed(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut watcher: watch::Receiver<FaultMode>,
    answers: bool,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let silent = |mode: &FaultMode| {
            *mode == FaultMode::Blackhole || (answers && *mode == FaultMode::BlackholeReplies)
        };
        if watcher.wait_for(|mode| !silent(mode)).await.is_err() {
            break;
        }
        let mode = *watcher.borrow();
        let harm = rng.random_range(0..HARM_RATE) == 0;
        let mut bytes = buffer[..length].to_vec();
        match mode {
            FaultMode::Delay(delay) => tokio::time::sleep(delay).await,
            FaultMode::Corrupt if harm => {
                let position = rng.random_range(0..bytes.len());
                bytes[position] ^= 1 << rng.random_range(0..8);
            }
            FaultMode::Duplicate if harm => bytes.extend_from_within(..),
            FaultMode::Reorder if harm => bytes.rotate_left(length / 2),
            FaultMode::Truncate if harm => bytes.truncate(rng.random_range(0..bytes.len())),
            _ => {}
        }
        if to.write_all(&bytes).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
