//! Tracks which bytes of an answer the caller's connection has taken.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, SizeHint};

use crate::activity::Activity;
use crate::serve_control::CountGuard;
use crate::transfer_state::TransferState;

/// An answer that is being written, shared by its body and its unwritten chunks.
#[derive(Debug)]
struct Delivery {
    activity: Arc<Activity>,
    transfer: Option<Arc<TransferState>>,
    _writing: CountGuard,
    /// Whether the activity counts this answer as an HTTP/2 stream with bytes ready.
    is_ready_stream: AtomicBool,
}

impl Delivery {
    fn has_untaken_bytes(&self) -> bool {
        self.transfer.as_ref().is_some_and(|transfer| !transfer.has_all_taken())
    }

    fn set_ready_stream(&self, is_ready: bool) {
        if self.is_ready_stream.swap(is_ready, Ordering::Relaxed) == is_ready {
            return;
        }
        if is_ready {
            self.activity.add_ready_stream();
        } else {
            self.activity.remove_ready_stream();
        }
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.set_ready_stream(false);
        self.activity.end_delivery();
    }
}

/// A body whose chunks record when the connection takes them.
#[derive(Debug)]
pub(crate) struct DeliveredBody {
    inner: BoxBody<Bytes, io::Error>,
    delivery: Arc<Delivery>,
    is_http2: bool,
}

impl DeliveredBody {
    pub(crate) fn new(
        inner: BoxBody<Bytes, io::Error>,
        activity: Arc<Activity>,
        transfer: Option<Arc<TransferState>>,
        writing: CountGuard,
        is_http2: bool,
    ) -> Self {
        activity.start_delivery();
        let is_ready_stream = AtomicBool::new(false);
        let delivery = Delivery { activity, transfer, _writing: writing, is_ready_stream };
        delivery.set_ready_stream(is_http2);
        Self { inner, delivery: Arc::new(delivery), is_http2 }
    }
}

impl Body for DeliveredBody {
    type Data = DeliveredChunk;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<DeliveredChunk>>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        // While a body waits for its pacer, no bytes wait for the caller.
        let has_bytes = polled.is_ready() || self.delivery.has_untaken_bytes();
        self.delivery.set_ready_stream(self.is_http2 && has_bytes);
        let Some(frame) = ready!(polled) else { return Poll::Ready(None) };
        let delivery = &self.delivery;
        Poll::Ready(Some(
            frame.map(|frame| {
                frame.map_data(|bytes| DeliveredChunk::new(bytes, Arc::clone(delivery)))
            }),
        ))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Bytes of an answer that the HTTP library holds until the connection takes them.
#[derive(Debug)]
pub(crate) struct DeliveredChunk {
    bytes: Bytes,
    delivery: Arc<Delivery>,
}

impl DeliveredChunk {
    fn new(bytes: Bytes, delivery: Arc<Delivery>) -> Self {
        if let Some(transfer) = &delivery.transfer {
            transfer.record_handed(bytes.len() as u64);
        }
        Self { bytes, delivery }
    }
}

impl Buf for DeliveredChunk {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn chunks_vectored<'a>(&'a self, dst: &mut [IoSlice<'a>]) -> usize {
        self.bytes.chunks_vectored(dst)
    }

    fn advance(&mut self, size: usize) {
        self.bytes.advance(size);
        if self.bytes.is_empty() {
            // Releases the body's share of the budget before the end of its transfer is reported.
            self.bytes = Bytes::new();
        }
        self.delivery.activity.record_taken(size as u64);
        if let Some(transfer) = &self.delivery.transfer {
            transfer.record_taken(size as u64);
        }
    }
}
