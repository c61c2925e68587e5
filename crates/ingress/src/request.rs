//! Bodies of requests, read into one buffer within the bounds of the gate.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::buffer::BodyBuffer;
use crate::gate::{ByteHold, ClientHandle, OverloadedError};

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum ReadRequestError {
    /// It is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// There is no memory for it.
    #[error(transparent)]
    Overloaded(#[from] OverloadedError),
    /// The client closed the connection or violated the protocol.
    #[error("the body was truncated: {0}")]
    Truncated(#[from] hyper::Error),
}

/// The body of a request, which has not been read yet.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    client: ClientHandle,
}

/// Bytes that count as held until they are dropped.
struct HeldBytes {
    buffer: BodyBuffer,
    _hold: ByteHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, client: ClientHandle) -> Self {
        Self { incoming, client }
    }

    /// Returns the connection that the body comes from.
    pub fn client(&self) -> &ClientHandle {
        &self.client
    }

    /// Reads the body to its end. The bytes count as held for the client until they are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body has more than `limit` bytes, which an announced length shows before anything is
    /// read, if there is no memory for it, or if the connection fails.
    pub async fn read_within(mut self, limit: usize) -> Result<Bytes, ReadRequestError> {
        let client = self.client.clone();
        if self.incoming.is_end_stream() {
            return Ok(Bytes::new());
        }
        if self.size_hint().lower() > limit as u64 {
            return Err(ReadRequestError::TooLong(limit));
        }
        let bytes = tokio::select! {
            biased;
            () = client.closing() => return Err(OverloadedError.into()),
            bytes = self.read_buffered(limit) => bytes?,
        };
        client.run_request()?;
        Ok(bytes)
    }

    async fn read_buffered(&mut self, limit: usize) -> Result<Bytes, ReadRequestError> {
        // One buffer, since each frame would keep the connection's whole read buffer.
        let mut buffer = BodyBuffer::new();
        let mut hold = self.client.hold();
        let most = self.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame?;
            let Some(data) = frame.data_ref() else { continue };
            let length = buffer.len() + data.len();
            if length > limit {
                return Err(ReadRequestError::TooLong(limit));
            }
            let memory = BodyBuffer::memory(length);
            if memory > hold.bytes() {
                hold.grow(memory).await?;
            }
            buffer.extend(data, most.unwrap_or(limit)).map_err(|_| OverloadedError)?;
            self.client.record_body(data.len());
        }
        Ok(Bytes::from_owner(HeldBytes { buffer, _hold: hold }))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if frame.is_none() && self.client.run_request().is_err() {
            // The connection is dropped, and the request is not run.
            return Poll::Pending;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
