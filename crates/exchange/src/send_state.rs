//! Detects whether a connection has started to write a request.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use shallotfork_types::Mono;
use thiserror::Error;

use crate::exchange::NowFn;

const NOT_STARTED: u8 = 0;
const STARTED: u8 = 1;
const EXPIRED: u8 = 2;

/// Send state of a request, shared between an attempt and the body of its request.
///
/// reqwest does not report whether an error occurred before or after the first byte. hyper calls
/// `is_end_stream` on a body when a connection takes the request to write it, in HTTP/1 and HTTP/2
/// alike, and never earlier. A request whose body was never queried in this way has not been
/// written, whatever the error. Tests cut connections at every byte to verify this.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendState {
    state: Arc<AtomicU8>,
}

impl SendState {
    /// Returns whether a connection took the request, so that bytes of it may have been sent.
    pub(crate) fn has_started(&self) -> bool {
        self.state.load(Ordering::Acquire) != NOT_STARTED
    }
}

/// The deadline passed before the first byte was written.
#[derive(Debug, Error)]
#[error("the deadline passed before the request was written")]
pub(crate) struct DeadlinePassedError;

/// A request body that aborts the request before its first byte once the deadline has passed.
///
/// Without the check, a process that was paused between the selection of a target and the write
/// would resume and start work that no caller waits for. After the deadline the body fails before
/// hyper flushes its buffer, so that nothing is sent.
pub(crate) struct TrackedBody {
    remaining: Option<Bytes>,
    deadline: Mono,
    now: NowFn,
    send_state: SendState,
}

impl TrackedBody {
    pub(crate) fn new(body: Bytes, deadline: Mono, now: NowFn, send_state: SendState) -> Self {
        let remaining = (!body.is_empty()).then_some(body);
        Self { remaining, deadline, now, send_state }
    }

    fn start(&self) -> u8 {
        let state = self.send_state.state.load(Ordering::Acquire);
        if state != NOT_STARTED {
            return state;
        }
        let new_state = if (self.now)() >= self.deadline { EXPIRED } else { STARTED };
        self.send_state.state.store(new_state, Ordering::Release);
        new_state
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = DeadlinePassedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, DeadlinePassedError>>> {
        if self.start() == EXPIRED {
            return Poll::Ready(Some(Err(DeadlinePassedError)));
        }
        Poll::Ready(self.remaining.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.start() != EXPIRED && self.remaining.is_none()
    }

    /// Returns an unknown size after the deadline, so that hyper polls the body and gets the error.
    /// For a known size of zero, hyper would write the head without polling the body.
    fn size_hint(&self) -> SizeHint {
        if self.send_state.state.load(Ordering::Acquire) == EXPIRED {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.remaining.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
