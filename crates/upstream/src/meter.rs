//! Bounds the bytes of an upstream that are not content of its answers.
//!
//! HTTP allows some of them without a limit: informational answers before the head, blank lines, digits
//! of a chunk's size. An upstream that sends them without end would keep its connection busy for as long
//! as an answer is waited for.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest head of an answer, and size of the read buffer.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of an answer that need not be content: its head, a full read buffer, what the body's reader has
/// not taken yet, and trailers.
const FREE_BYTES: u64 = 4 * MAX_HEAD_BYTES as u64;
/// Bytes for each byte of content. An event of a stream in a chunk of its own takes less than two. A chunk
/// of one byte takes six, so that only some ten thousand of these are read.
const BYTES_PER_CONTENT: u64 = 3;

/// Counts the bytes of one answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerMeter {
    received: AtomicU64,
    content: AtomicU64,
}

impl AnswerMeter {
    /// Begins the next answer of a connection.
    pub(crate) fn reset(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.content.store(0, Ordering::Relaxed);
    }

    /// Records bytes of content that a reader has taken.
    pub(crate) fn record_content(&self, bytes: usize) {
        self.content.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records bytes from the connection; returns whether they are within the bounds.
    fn record_received(&self, bytes: usize) -> bool {
        let received = self.received.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let content = self.content.load(Ordering::Relaxed);
        received <= FREE_BYTES.saturating_add(content.saturating_mul(BYTES_PER_CONTENT))
    }
}

/// A connection to an upstream that fails once the upstream sends too many bytes without content.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Arc<AnswerMeter>,
}

impl<S> MeteredStream<S> {
    /// Wraps a connection for a single short answer, whose content counts like all other bytes.
    pub fn new(stream: S) -> Self {
        Self::with_meter(stream, Arc::default())
    }

    pub(crate) fn with_meter(stream: S, meter: Arc<AnswerMeter>) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.meter.record_received(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let message = "the upstream sends bytes without end that are no answer";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
