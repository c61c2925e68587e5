//! A proxy in front of a stand-in worker whose answers have neither a length nor chunks: the end of the
//! connection is the end of the answer, as an HTTP/1.0 server answers.

use std::net::SocketAddr;

use hollowbarrow_ingress::bind_http;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Version of the protocol that callers send, and the one that the worker is sent.
const VERSIONS: (&[u8], &[u8]) = (b"HTTP/1.1\r\n", b"HTTP/1.0\r\n");

/// A running proxy; each connection carries one request.
pub struct UnframedFront {
    address: SocketAddr,
    accepting: AbortHandle,
}

impl UnframedFront {
    /// Starts a proxy to a worker.
    pub fn start(address: &str, worker: SocketAddr) -> Self {
        let listener = bind_http(address).expect("the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        let accepting = tokio::spawn(accept(listener, worker)).abort_handle();
        Self { address, accepting }
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections. Open ones end when the worker closes them.
    pub fn close(&self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, worker: SocketAddr) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(carry(caller, worker));
    }
}

/// Carries one request and its answer. The caller's connection ends in order as soon as the worker's
/// does, however that ended.
async fn carry(caller: TcpStream, worker: SocketAddr) {
    let Ok(worker) = TcpStream::connect(worker).await else { return };
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_worker, mut to_worker) = worker.into_split();
    let requests = async move {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = from_caller.read(&mut buffer).await {
            let bytes = replace_version(&buffer[..length]);
            if to_worker.write_all(&bytes).await.is_err() {
                break;
            }
        }
    };
    let answers = async move {
        let _ = tokio::io::copy(&mut from_worker, &mut to_caller).await;
        let _ = to_caller.shutdown().await;
    };
    tokio::select! {
        () = requests => {}
        () = answers => {}
    }
}

fn replace_version(bytes: &[u8]) -> Vec<u8> {
    let (sent, wanted) = VERSIONS;
    let found = bytes.windows(sent.len()).position(|window| window == sent);
    let mut replaced = bytes.to_vec();
    if let Some(start) = found {
        replaced[start..start + wanted.len()].copy_from_slice(wanted);
    }
    replaced
}
