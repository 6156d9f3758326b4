//! Knows whether a connection has begun to write a request.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use shallotfork_types::Mono;
use thiserror::Error;

use crate::exchange::NowFn;

const UNTOUCHED: u8 = 0;
const TAKEN: u8 = 1;
const LATE: u8 = 2;

/// Shared between an attempt and the body that goes with it.
///
/// reqwest does not tell whether an error came before or after the first byte. hyper asks a body
/// whether it is at its end at the moment when a connection takes the request to write it, in
/// HTTP/1 and HTTP/2 alike, and never earlier. A request whose body was never asked has not been
/// written, whatever went wrong. A test cuts connections at every byte to hold hyper to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendMark {
    state: Arc<AtomicU8>,
}

impl SendMark {
    /// Whether a connection took the request, so that a byte of it may have left.
    pub(crate) fn is_taken(&self) -> bool {
        self.state.load(Ordering::Acquire) != UNTOUCHED
    }
}

/// When the deadline passed before the first byte left.
#[derive(Debug, Error)]
#[error("the deadline passed before the request was written")]
pub(crate) struct LateError;

/// A request's body, which stops the request at its first byte when the deadline has passed.
///
/// A process that was paused between the choice of a target and the write would otherwise wake
/// up and start work that nobody waits for any more. On a late request the body ends in an error
/// before hyper flushes what it has buffered, so that nothing leaves.
pub(crate) struct MarkedBody {
    rest: Option<Bytes>,
    deadline: Mono,
    now: NowFn,
    mark: SendMark,
}

impl MarkedBody {
    pub(crate) fn new(body: Bytes, deadline: Mono, now: NowFn, mark: SendMark) -> Self {
        let rest = (!body.is_empty()).then_some(body);
        Self { rest, deadline, now, mark }
    }

    fn begin(&self) -> u8 {
        let state = self.mark.state.load(Ordering::Acquire);
        if state != UNTOUCHED {
            return state;
        }
        let begun = if (self.now)() >= self.deadline { LATE } else { TAKEN };
        self.mark.state.store(begun, Ordering::Release);
        begun
    }
}

impl Body for MarkedBody {
    type Data = Bytes;
    type Error = LateError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, LateError>>> {
        if self.begin() == LATE {
            return Poll::Ready(Some(Err(LateError)));
        }
        Poll::Ready(self.rest.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.begin() != LATE && self.rest.is_none()
    }

    /// hyper writes a head whose body has a known size of zero without asking for the body; a
    /// late request therefore claims an unknown size, so that hyper meets the error first.
    fn size_hint(&self) -> SizeHint {
        if self.mark.state.load(Ordering::Acquire) == LATE {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.rest.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
