//! TCP proxies that inject faults into the connections between two processes.

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the buffer of one read, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// The modes that alter data change one in this many buffers.
const FAULT_RATE: u32 = 20;

/// How a proxy treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMode {
    /// Forwards all data unchanged.
    Pass,
    /// Closes all connections; new ones are closed as soon as they are accepted.
    Disconnect,
    /// Keeps connections open but forwards nothing in either direction.
    Blackhole,
    /// Keeps connections open but forwards nothing, and drops the packets that open new ones.
    Unreachable,
    /// Closes all connections, and drops the packets that open new ones.
    Severed,
    /// Closes each connection that was open before at its next bytes, and serves new ones.
    Stale,
    /// Serves open connections, and drops the packets that open new ones.
    NoNewConnections,
    /// Forwards only data from the side that opened the connection.
    BlackholeReplies,
    /// Delays each buffer.
    Delay(Duration),
    /// Flips a bit in some buffers.
    Corrupt,
    /// Sends some buffers twice.
    Duplicate,
    /// Drops the end of some buffers.
    Truncate,
    /// Swaps the halves of some buffers.
    Reorder,
}

impl FaultMode {
    /// Returns whether the packets that open connections are dropped, so that connecting hangs.
    fn drops_opening(self) -> bool {
        matches!(self, Self::Unreachable | Self::Severed | Self::NoNewConnections)
    }

    /// Returns whether all connections are closed.
    fn closes(self) -> bool {
        matches!(self, Self::Disconnect | Self::Severed)
    }
}

/// A running proxy to one address, with one fault mode for all connections.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    mode: watch::Sender<FaultMode>,
    filter: Arc<SourceFilter>,
}

impl FaultProxy {
    /// Starts a proxy on a free port of the current runtime.
    pub fn start(target: SocketAddr, seed: u64) -> Self {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .expect("a free local port can be bound");
        let address = listener.local_addr().expect("a bound socket has an address");
        listener.set_nonblocking(true).expect("a new socket can be set to non-blocking");
        let filter = SourceFilter::new(listener.try_clone().expect("a socket can be cloned"));
        let filter = Arc::new(filter);
        let (mode, watcher) = watch::channel(FaultMode::Pass);
        tokio::spawn(run_proxy(listener, target, move |_| watcher.clone(), seed));
        Self { address, mode, filter }
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the fault mode, also of open connections.
    pub fn set_mode(&self, mode: FaultMode) {
        self.filter.set(IpAddr::V4(Ipv4Addr::LOCALHOST), mode.drops_opening());
        self.mode.send_replace(mode);
    }
}

/// A proxy to one process with a fault mode for each source address.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    modes: Arc<SourceModes>,
    /// Filter of the listener; none once the proxy is closed.
    filter: Mutex<Option<SourceFilter>>,
    accepting: tokio::task::AbortHandle,
}

/// Drops packets from some sources at a listening socket, so that connections from there hang.
#[derive(Debug)]
struct SourceFilter {
    listener: std::net::TcpListener,
    dropped: Mutex<BTreeSet<Ipv4Addr>>,
}

impl SourceFilter {
    fn new(listener: std::net::TcpListener) -> Self {
        Self { listener, dropped: Mutex::default() }
    }

    /// Sets whether packets from a source are dropped.
    fn set(&self, source: IpAddr, drops: bool) {
        let IpAddr::V4(source) = source else { return };
        let mut dropped = self.dropped.lock().expect("the mutex is not poisoned");
        let changed = if drops { dropped.insert(source) } else { dropped.remove(&source) };
        if changed {
            let program = drop_program(&dropped);
            let socket = SockRef::from(&self.listener);
            socket.attach_filter(&program).expect("a filter can be attached to a socket");
        }
    }
}

/// Returns a packet filter that drops what comes from these sources.
fn drop_program(sources: &BTreeSet<Ipv4Addr>) -> Vec<SockFilter> {
    // Classic BPF: load the source address of the IP header, compare, return the length to accept.
    const LOAD_ABSOLUTE: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;
    let mut program = vec![SockFilter::new(LOAD_ABSOLUTE, 0, 0, SOURCE_OFFSET)];
    for (index, source) in sources.iter().enumerate() {
        let to_drop = u8::try_from(sources.len() - index).expect("the sources of a test are few");
        program.push(SockFilter::new(JUMP_IF_EQUAL, to_drop, 0, u32::from(*source)));
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program.push(SockFilter::new(RETURN, 0, 0, 0));
    program
}

/// Fault mode of the connections from each IP address.
#[derive(Debug, Default)]
struct SourceModes(Mutex<HashMap<IpAddr, watch::Sender<FaultMode>>>);

impl SourceModes {
    fn watch(&self, source: IpAddr) -> watch::Receiver<FaultMode> {
        let mut modes = self.0.lock().expect("the mutex is not poisoned");
        modes.entry(source).or_insert_with(|| watch::channel(FaultMode::Pass).0).subscribe()
    }

    fn set(&self, source: IpAddr, mode: FaultMode) {
        let mut modes = self.0.lock().expect("the mutex is not poisoned");
        let sender = modes.entry(source).or_insert_with(|| watch::channel(FaultMode::Pass).0);
        sender.send_replace(mode);
    }
}

impl LinkProxy {
    /// Starts a proxy that listens on a given address.
    pub fn start(address: SocketAddr, target: SocketAddr, seed: u64) -> Self {
        let listener =
            std::net::TcpListener::bind(address).expect("the listen address is not in use");
        listener.set_nonblocking(true).expect("a new socket can be set to non-blocking");
        let address = listener.local_addr().expect("a bound socket has an address");
        let filter = SourceFilter::new(listener.try_clone().expect("a socket can be cloned"));
        let modes: Arc<SourceModes> = Arc::default();
        let watched = Arc::clone(&modes);
        let running = run_proxy(listener, target, move |source| watched.watch(source), seed);
        let accepting = tokio::spawn(running).abort_handle();
        Self { address, modes, filter: Mutex::new(Some(filter)), accepting }
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the fault mode of connections from an IP address, also of open ones.
    pub fn set_mode(&self, source: IpAddr, mode: FaultMode) {
        if let Some(filter) = &*self.filter.lock().expect("the mutex is not poisoned") {
            filter.set(source, mode.drops_opening());
        }
        self.modes.set(source, mode);
    }

    /// Stops listening, so that new connections are refused as at a process that has ended.
    pub fn close(&self) {
        self.accepting.abort();
        self.filter.lock().expect("the mutex is not poisoned").take();
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
        let Ok((client, source)) = listener.accept().await else { return };
        let watcher = watch(source.ip());
        if watcher.borrow().closes() {
            continue;
        }
        connection += 1;
        tokio::spawn(proxy_connection(client, target, watcher, seed ^ connection));
    }
}

async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    mut watcher: watch::Receiver<FaultMode>,
    seed: u64,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = forward_with_faults(client_read, server_write, watcher.clone(), false, seed);
    let replies =
        forward_with_faults(server_read, client_write, watcher.clone(), true, seed ^ 0xff);
    tokio::select! {
        () = async { tokio::join!(requests, replies); } => {}
        _ = watcher.wait_for(|mode| mode.closes()) => {}
    }
}

async fn forward_with_faults(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut watcher: watch::Receiver<FaultMode>,
    is_reply: bool,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut buffer = vec![0; BUFFER_BYTES];
    let is_new = *watcher.borrow() == FaultMode::Stale;
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let blocked = |mode: &FaultMode| {
            matches!(mode, FaultMode::Blackhole | FaultMode::Unreachable)
                || (is_reply && *mode == FaultMode::BlackholeReplies)
        };
        if watcher.wait_for(|mode| !blocked(mode)).await.is_err() {
            break;
        }
        let mode = *watcher.borrow();
        if mode == FaultMode::Stale && !is_new {
            break;
        }
        let inject = rng.random_range(0..FAULT_RATE) == 0;
        let mut bytes = buffer[..length].to_vec();
        match mode {
            FaultMode::Delay(delay) => tokio::time::sleep(delay).await,
            FaultMode::Corrupt if inject => {
                let position = rng.random_range(0..bytes.len());
                bytes[position] ^= 1 << rng.random_range(0..8);
            }
            FaultMode::Duplicate if inject => bytes.extend_from_within(..),
            FaultMode::Reorder if inject => bytes.rotate_left(length / 2),
            FaultMode::Truncate if inject => bytes.truncate(rng.random_range(0..bytes.len())),
            _ => {}
        }
        if to.write_all(&bytes).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
