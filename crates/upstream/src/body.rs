//! Bodies of answers, read within bounds of memory.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::answer_budget::{BudgetHold, OverBudgetError};
use crate::meter::AnswerMeter;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum ReadBodyError {
    /// The body is longer than allowed.
    #[error("it is too long")]
    TooLong,
    /// Too much memory is needed for the answers that are being read.
    #[error(transparent)]
    OverBudget(#[from] OverBudgetError),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper::Error),
}

/// The body of an upstream's answer, which has not been read yet.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    meter: Arc<AnswerMeter>,
    hold: BudgetHold,
}

impl UpstreamBody {
    pub(crate) fn new(incoming: Incoming, meter: Arc<AnswerMeter>, hold: BudgetHold) -> Self {
        Self { incoming, meter, hold }
    }

    /// Counts the bytes that the reader of the body has buffered.
    ///
    /// # Errors
    ///
    /// Fails if there is not enough memory and this answer holds at least an equal share.
    pub async fn hold_buffered(&mut self, bytes: usize) -> Result<(), OverBudgetError> {
        self.hold.resize(bytes).await
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body has more than `limit` bytes, if too much is being read, or if the connection
    /// fails.
    pub async fn read_within(mut self, limit: usize) -> Result<Bytes, ReadBodyError> {
        if self.size_hint().lower() > limit as u64 {
            return Err(ReadBodyError::TooLong);
        }
        // One buffer, since each frame would keep the connection's whole read buffer.
        let mut bytes = BytesMut::new();
        while let Some(frame) = self.frame().await {
            let frame = frame?;
            let Some(data) = frame.data_ref() else { continue };
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(ReadBodyError::TooLong);
            }
            self.hold_buffered(length).await?;
            bytes.extend_from_slice(data);
        }
        Ok(bytes.freeze())
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if let Some(data) = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref()) {
            self.meter.record_content(data.len());
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
