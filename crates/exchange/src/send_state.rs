//! Detects whether a connection has started to write a request.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::task::AtomicWaker;
use hyper::body::{Body, Frame, SizeHint};
use shallotfork_types::Mono;
use thiserror::Error;

use crate::exchange::NowFn;

/// Size of the parts of a large body. Smaller bodies fit into the kernel's buffer.
const PART_BYTES: usize = 64 * 1024;

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
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: AtomicU8,
    /// Whether the last part of the body was handed to the connection.
    is_handed_over: AtomicBool,
    /// Whether the body is handed over in parts.
    is_divided: AtomicBool,
    /// Whether the connection still holds the part that it was given.
    holds_part: AtomicBool,
    /// Woken when the connection has released that part.
    released: AtomicWaker,
}

impl SendState {
    /// Returns whether a connection took the request, so that bytes of it may have been sent.
    pub(crate) fn has_started(&self) -> bool {
        self.shared.state.load(Ordering::Acquire) != NOT_STARTED
    }

    /// Returns whether the connection was given the whole body. Of a large one, it has then written
    /// all but the last byte.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.shared.is_handed_over.load(Ordering::Acquire)
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
        send_state.shared.is_handed_over.store(remaining.is_none(), Ordering::Release);
        Self { remaining, deadline, now, send_state }
    }

    fn start(&self) -> u8 {
        let state = self.send_state.shared.state.load(Ordering::Acquire);
        if state != NOT_STARTED {
            return state;
        }
        let new_state = if (self.now)() >= self.deadline { EXPIRED } else { STARTED };
        self.send_state.shared.state.store(new_state, Ordering::Release);
        new_state
    }
}

impl TrackedBody {
    /// Returns the next part of the body. Of a large one, each part is released before the next, and
    /// the last one is a single byte.
    fn next_part(&mut self) -> Option<Bytes> {
        let mut rest = self.remaining.take()?;
        let shared = &self.send_state.shared;
        let is_large = rest.len() > PART_BYTES || shared.is_divided.load(Ordering::Relaxed);
        if !is_large || rest.len() == 1 {
            shared.is_handed_over.store(true, Ordering::Release);
            return Some(rest);
        }
        shared.is_divided.store(true, Ordering::Relaxed);
        let part = rest.split_to(PART_BYTES.min(rest.len() - 1));
        self.remaining = Some(rest);
        shared.holds_part.store(true, Ordering::Release);
        Some(Bytes::from_owner(HeldPart { part, shared: Arc::clone(shared) }))
    }
}

/// A part of a body that the connection holds until it is written.
struct HeldPart {
    part: Bytes,
    shared: Arc<Shared>,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.part
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        self.shared.holds_part.store(false, Ordering::Release);
        self.shared.released.wake();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = DeadlinePassedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, DeadlinePassedError>>> {
        if self.start() == EXPIRED {
            return Poll::Ready(Some(Err(DeadlinePassedError)));
        }
        let shared = Arc::clone(&self.send_state.shared);
        shared.released.register(cx.waker());
        if shared.holds_part.load(Ordering::Acquire) {
            return Poll::Pending;
        }
        Poll::Ready(self.next_part().map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.start() != EXPIRED && self.remaining.is_none()
    }

    /// Returns an unknown size after the deadline, so that hyper polls the body and gets the error.
    /// For a known size of zero, hyper would write the head without polling the body.
    fn size_hint(&self) -> SizeHint {
        if self.send_state.shared.state.load(Ordering::Acquire) == EXPIRED {
            return SizeHint::default();
        }
        SizeHint::with_exact(self.remaining.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
