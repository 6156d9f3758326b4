//! The body of a request to a target, whose bytes are tracked until the connection has taken them.

use std::convert::Infallible;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// Number of bytes of a request's body that its connection has not taken yet; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnsentBytes(Arc<AtomicU64>);

impl UnsentBytes {
    /// Returns whether the connection has taken the whole body.
    pub(crate) fn is_all_sent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// A body whose chunks record when the connection takes them.
#[derive(Debug, Clone)]
pub(crate) struct SentBody {
    inner: Full<Bytes>,
    unsent: UnsentBytes,
}

impl SentBody {
    pub(crate) fn new(inner: Full<Bytes>) -> Self {
        let size_bytes = inner.size_hint().exact().unwrap_or(0);
        Self { inner, unsent: UnsentBytes(Arc::new(AtomicU64::new(size_bytes))) }
    }

    pub(crate) fn unsent(&self) -> UnsentBytes {
        self.unsent.clone()
    }
}

impl Body for SentBody {
    type Data = SentChunk;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<SentChunk>, Infallible>>> {
        let unsent = self.unsent();
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        polled.map_ok(|frame| frame.map_data(|bytes| SentChunk { bytes, unsent }))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Bytes that the HTTP library holds until the connection takes them.
#[derive(Debug)]
pub(crate) struct SentChunk {
    bytes: Bytes,
    unsent: UnsentBytes,
}

impl Buf for SentChunk {
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
        self.unsent.0.fetch_sub(size as u64, Ordering::Relaxed);
    }
}
