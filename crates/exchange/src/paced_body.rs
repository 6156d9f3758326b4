//! The body of an answer that is written in chunks.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio_util::sync::ReusableBoxFuture;

use crate::transfer_state::TransferState;
use crate::write_pacer::WritePacer;

/// Size of a chunk. A link of 10 Mbit/s carries it in 13 ms, which bounds the time for which small
/// answers wait behind a chunk.
const CHUNK_MAX_BYTES: usize = 16 * 1024;

/// A body each chunk of which is admitted by a pacer, once the connection has taken the previous
/// one. A caller that reads slowly therefore uses no part of the link that others could use.
pub(crate) struct PacedBody {
    remaining: Bytes,
    pacer: Arc<dyn WritePacer>,
    state: Arc<TransferState>,
    admission: ReusableBoxFuture<'static, ()>,
    is_waiting: bool,
}

impl PacedBody {
    pub(crate) fn new(body: Bytes, pacer: Arc<dyn WritePacer>, state: Arc<TransferState>) -> Self {
        let admission = ReusableBoxFuture::new(async {});
        Self { remaining: body, pacer, state, admission, is_waiting: false }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let chunk_bytes = self.remaining.len().min(CHUNK_MAX_BYTES);
        if !self.is_waiting {
            if !self.state.poll_all_taken(cx.waker()) {
                return Poll::Pending;
            }
            let pacer = Arc::clone(&self.pacer);
            self.admission.set(async move { pacer.acquire(chunk_bytes).await });
            self.is_waiting = true;
        }
        ready!(self.admission.poll(cx));
        self.is_waiting = false;
        Poll::Ready(Some(Ok(Frame::data(self.remaining.split_to(chunk_bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
