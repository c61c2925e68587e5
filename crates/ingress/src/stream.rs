//! A client's connection that reports to the gate what the client sends and reads.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::gate::{ByteHold, CONNECTION_BYTES, ClientHandle, PROGRESS_BYTES};

/// Bytes of a head that the memory of a connection covers.
const FREE_HEAD_BYTES: usize = CONNECTION_BYTES / 2;

/// A head that is being received, until the next one begins.
#[derive(Debug)]
struct ReceivedHead {
    bytes: usize,
    deadline: Instant,
    /// Runs while more of the head is waited for.
    timer: Option<Pin<Box<Sleep>>>,
}

/// A connection whose client is bounded by the gate. A head that takes too long ends it with an error.
#[derive(Debug)]
pub struct GatedStream<S> {
    stream: S,
    client: ClientHandle,
    header_timeout: Duration,
    head: Option<ReceivedHead>,
    /// Memory of the head, also while its request is in progress.
    head_hold: ByteHold,
    /// Bytes that were written since the client last counted as one that does not read; `None` if all
    /// is written.
    unread: Option<usize>,
}

impl<S> GatedStream<S> {
    /// Wraps a connection. The time limit of a head counts from its first byte.
    pub fn new(stream: S, client: ClientHandle, header_timeout: Duration) -> Self {
        let head_hold = client.hold();
        Self { stream, client, header_timeout, head: None, head_hold, unread: None }
    }

    /// Returns the connection.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Records bytes from the client.
    fn record_received(&mut self, bytes: usize) {
        if self.client.record_received() {
            let deadline = Instant::now() + self.header_timeout;
            self.head = Some(ReceivedHead { bytes: 0, deadline, timer: None });
            self.head_hold.set(0);
        } else if !self.client.is_reading_head() {
            self.head = None;
        }
        let Some(head) = &mut self.head else { return };
        head.bytes += bytes;
        if head.bytes > FREE_HEAD_BYTES {
            self.head_hold.set(head.bytes);
        }
    }

    /// Fails once the head that is being received takes too long.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(head) = &mut self.head else { return Poll::Pending };
        if !self.client.is_reading_head() {
            self.head = None;
            return Poll::Pending;
        }
        let deadline = head.deadline;
        let timer = head.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the head takes too long")))
    }

    fn record_written(&mut self, written: usize) {
        let Some(unread) = &mut self.unread else { return };
        *unread += written;
        if *unread >= PROGRESS_BYTES {
            *unread = 0;
            self.client.set_unread(true);
        }
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(written)) => self.record_written(*written),
            Poll::Pending if self.unread.is_none() => {
                self.unread = Some(0);
                self.client.set_unread(true);
            }
            _ => {}
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Pending => self.poll_head(context),
            Poll::Ready(Ok(())) => {
                let received = buffer.filled().len() - before;
                if received > 0 {
                    self.record_received(received);
                }
                Poll::Ready(Ok(()))
            }
            failed => failed,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // It is flushed once all that is buffered is written.
        if self.unread.take().is_some() {
            self.client.set_unread(false);
        }
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
