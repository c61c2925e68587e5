//! Clients that send more than the limits allow, never finish, or read nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time after which a client whose connection was closed connects again.
const RETURN_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which a client that reads nothing looks whether its connection was reset.
const RESET_POLL: Duration = Duration::from_millis(250);
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer of a client that reads nothing, so that the kernel holds little of its answers.
const UNREAD_BUFFER_BYTES: u32 = 16 << 10;
/// Bytes that a client writes at once where its unit is shorter.
const BLOCK_BYTES: usize = 64 << 10;

/// How often a client sends its unit.
#[derive(Clone, Copy, Debug)]
pub enum Repeats {
    /// So many times.
    Times(usize),
    /// Until the connection is closed.
    Endless,
}

/// What a client of a crowd sends on each connection, after which it keeps the connection open.
#[derive(Clone, Debug)]
pub struct ClientScript {
    /// Bytes that are sent once.
    pub first: Bytes,
    /// Bytes that are sent repeatedly.
    pub unit: Bytes,
    /// How often these are sent.
    pub repeats: Repeats,
    /// Time between the two.
    pub pause: Duration,
    /// Whether the client reads answers, and so learns that the connection was closed.
    pub reads: bool,
}

impl ClientScript {
    /// Creates the script of a client that sends some bytes once.
    pub fn new(first: impl Into<Bytes>) -> Self {
        Self {
            first: first.into(),
            unit: Bytes::new(),
            repeats: Repeats::Times(0),
            pause: Duration::ZERO,
            reads: true,
        }
    }

    /// Adds bytes that are sent repeatedly.
    pub fn with_unit(mut self, unit: impl Into<Bytes>, repeats: Repeats) -> Self {
        (self.unit, self.repeats) = (unit.into(), repeats);
        self
    }

    /// Waits before the bytes that are sent repeatedly.
    pub fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Lets the client read nothing.
    pub fn without_reading(mut self) -> Self {
        self.reads = false;
        self
    }

    /// Returns what is written at once, and how often.
    fn blocks(&self) -> (Bytes, Repeats) {
        let per_block = (BLOCK_BYTES / self.unit.len().max(1)).max(1);
        match self.repeats {
            Repeats::Endless => (self.unit.repeat(per_block).into(), Repeats::Endless),
            Repeats::Times(times) if times >= per_block => {
                (self.unit.repeat(per_block).into(), Repeats::Times(times / per_block))
            }
            Repeats::Times(times) => (self.unit.clone(), Repeats::Times(times)),
        }
    }

    async fn send(&self, writer: &mut (impl AsyncWriteExt + Unpin)) -> std::io::Result<()> {
        writer.write_all(&self.first).await?;
        tokio::time::sleep(self.pause).await;
        let (block, repeats) = self.blocks();
        let mut left = match repeats {
            Repeats::Times(times) => times,
            Repeats::Endless => usize::MAX,
        };
        while left > 0 && !block.is_empty() {
            writer.write_all(&block).await?;
            left -= 1;
        }
        Ok(())
    }
}

/// A running crowd of clients that follow the same script.
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
    connected: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts the clients.
    pub fn start(address: &str, clients: usize, script: &ClientScript) -> Self {
        let address: SocketAddr = address.parse().expect("the address is valid");
        let connected = Arc::<AtomicUsize>::default();
        let start = |_| {
            let (script, connected) = (script.clone(), Arc::clone(&connected));
            tokio::spawn(async move {
                loop {
                    if let Some(stream) = connect(address, script.reads).await {
                        connected.fetch_add(1, Ordering::Relaxed);
                        play(stream, &script).await;
                    }
                    tokio::time::sleep(RETURN_PAUSE).await;
                }
            })
        };
        let clients = (0..clients).map(start).collect();
        Self { clients, connected }
    }

    /// Returns how many connections the clients have opened so far.
    pub fn connected(&self) -> usize {
        self.connected.load(Ordering::Relaxed)
    }

    /// Closes all connections.
    pub async fn leave(self) {
        for client in self.clients {
            client.abort();
            let _ = client.await;
        }
    }
}

async fn connect(address: SocketAddr, reads: bool) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if !reads {
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES).ok()?;
    }
    timeout(CONNECT_TIMEOUT, socket.connect(address)).await.ok()?.ok()
}

/// Follows the script on one connection until it is closed by the other side.
async fn play(stream: TcpStream, script: &ClientScript) {
    if !script.reads {
        let mut stream = stream;
        if script.send(&mut stream).await.is_ok() {
            while matches!(stream.take_error(), Ok(None)) {
                tokio::time::sleep(RESET_POLL).await;
            }
        }
        return;
    }
    let (mut reader, mut writer) = stream.into_split();
    let sending = async {
        // The writer stays open after the script, as the connection of a client that stalls does.
        if script.send(&mut writer).await.is_ok() {
            std::future::pending::<()>().await;
        }
    };
    let reading = async {
        let mut buffer = vec![0; BLOCK_BYTES];
        while matches!(reader.read(&mut buffer).await, Ok(1..)) {}
    };
    tokio::select! {
        () = sending => {}
        () = reading => {}
    }
}
