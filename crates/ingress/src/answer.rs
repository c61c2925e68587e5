//! Bodies of answers to clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use thiserror::Error;

use crate::gate::{ByteHold, ClientHandle};

/// Smallest chunk that counts as held until it is written. The memory of a connection covers smaller ones.
const MIN_HELD_BYTES: usize = 1 << 10;

/// An answer that ended before it was complete; its connection is closed.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer was truncated")]
pub struct TruncatedAnswerError;

/// Chunks of an answer's body.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedAnswerError>> + Send>>;

/// Body of an answer.
pub enum AnswerBody {
    /// The complete body; none once it has been sent.
    Complete(Option<Bytes>),
    /// A body sent chunk by chunk; it is complete when the stream ends.
    Chunks(ChunkStream),
}

impl AnswerBody {
    /// Creates a body from bytes that are already available.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswerError>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => {
                let next = chunks.as_mut().poll_next(context);
                next.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Answer to an HTTP request.
pub type HttpAnswer = Response<AnswerBody>;

/// Creates an answer with a status and a text body.
pub fn plain_answer(status: StatusCode, text: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = Response::new(AnswerBody::complete(text));
    *answer.status_mut() = status;
    answer
}

/// The body of an answer on a connection, whose chunks count as held until they are written.
pub(crate) struct GatedBody {
    body: AnswerBody,
    client: ClientHandle,
}

/// A chunk of an answer that the client has not read yet.
struct HeldChunk {
    bytes: Bytes,
    _hold: ByteHold,
}

impl AsRef<[u8]> for HeldChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl GatedBody {
    pub(crate) fn new(body: AnswerBody, client: ClientHandle) -> Self {
        Self { body, client }
    }

    fn hold(&self, bytes: Bytes) -> Bytes {
        if bytes.len() < MIN_HELD_BYTES {
            return bytes;
        }
        let mut hold = self.client.hold();
        hold.set(bytes.len());
        Bytes::from_owner(HeldChunk { bytes, _hold: hold })
    }
}

impl Body for GatedBody {
    type Data = Bytes;
    type Error = TruncatedAnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswerError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        frame.map(|frame| Some(frame?.map(|frame| frame.map_data(|bytes| self.hold(bytes)))))
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for GatedBody {
    fn drop(&mut self) {
        self.client.end_request();
    }
}
