//! Reads bytes from a caller's connection while an earlier request is still being answered.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, BytesMut};
use rustix::io::Errno;
use rustix::net::{RecvFlags, SendFlags, recv, send};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::activity::Activity;
use crate::caller_connection::CallerConnection;
use crate::connection_memory::{ConnectionMemory, ReadLevel, SMALL_BYTES};
use crate::head_scanner::HeadScanner;
use crate::head_timer::MessageReads;

/// Limit on bytes read ahead; a caller that sends more waits until earlier requests are answered.
const READ_AHEAD_MAX_BYTES: usize = 16 * 1024;
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// The read half of a connection: [`ReadAhead::drive`] buffers bytes as they arrive, and the HTTP
/// library consumes them when it is ready.
///
/// The HTTP library stops reading while it waits for an answer and has bytes of a further request
/// buffered. Without reading ahead, each pipelined request would wait for the previous answer, and
/// the disconnect of a caller would go unnoticed.
#[derive(Debug, Clone)]
pub(crate) struct ReadAhead {
    state: Arc<Mutex<ReadState>>,
}

/// The read half of a connection with the bytes that the HTTP library has not consumed yet.
#[derive(Debug)]
pub(crate) struct ReadState {
    socket: OwnedReadHalf,
    buffered: BytesMut,
    has_ended: bool,
    /// Wakes the HTTP library's task when it waits for bytes.
    waker: Option<Waker>,
    head_scanner: HeadScanner,
    message_reads: MessageReads,
    /// Bytes that the HTTP library has received since the last request ended.
    message_bytes: usize,
    activity: Arc<Activity>,
    memory: Arc<ConnectionMemory>,
}

impl ReadAhead {
    /// Splits a connection into the stream for the HTTP library and the handle that reads ahead.
    pub(crate) fn new(
        stream: TcpStream,
        activity: Arc<Activity>,
        memory: Arc<ConnectionMemory>,
    ) -> (ReadAheadStream, Self) {
        let (socket, write_half) = stream.into_split();
        let state = ReadState {
            socket,
            buffered: BytesMut::new(),
            has_ended: false,
            waker: None,
            head_scanner: HeadScanner::new(),
            message_reads: MessageReads::default(),
            message_bytes: 0,
            activity,
            memory,
        };
        let ahead = Self { state: Arc::new(Mutex::new(state)) };
        (ReadAheadStream { ahead: ahead.clone(), write_half }, ahead)
    }

    /// Reads until the caller closes the connection. Calls `on_head` with the head of each request
    /// without a body and with the request's index on the connection, starting at 0.
    pub(crate) async fn drive(&self, mut on_head: impl FnMut(u64, http::request::Parts)) {
        loop {
            let has_ended = std::future::poll_fn(|cx| self.lock().poll_fill(cx)).await;
            let found_heads = self.lock().head_scanner.take();
            for (index, head) in found_heads {
                on_head(index, head);
            }
            if has_ended {
                return;
            }
        }
    }

    /// Reads and drops bytes until the caller closes the connection, at most `size_max_bytes`.
    pub(crate) async fn discard(&self, size_max_bytes: u64) {
        let mut left_bytes = size_max_bytes;
        self.lock().release_buffers();
        loop {
            let size = std::future::poll_fn(|cx| self.lock().poll_discard(cx)).await as u64;
            if size == 0 || size > left_bytes {
                return;
            }
            left_bytes -= size;
        }
    }

    /// Returns whether received bytes have not been consumed by the HTTP library yet.
    pub(crate) fn has_buffered_bytes(&self) -> bool {
        !self.lock().buffered.is_empty()
    }

    /// Makes the end of the connection discard what the caller has not taken, which the kernel would
    /// hold in memory for minutes otherwise.
    pub(crate) fn reset_on_close(&self) {
        // On failure the connection is closed in the ordinary way.
        let _ = self.lock().socket.as_ref().set_zero_linger();
    }

    /// Returns the reads by which the HTTP library has received bytes of requests.
    pub(crate) fn message_reads(&self) -> MessageReads {
        self.lock().message_reads.clone()
    }

    /// Returns a handle by which requests can check whether their caller has disconnected.
    pub(crate) fn caller_connection(&self) -> CallerConnection {
        let activity = Arc::downgrade(&self.lock().activity);
        CallerConnection::new(Arc::downgrade(&self.state), activity)
    }

    /// Records that a request has ended, whose bytes the HTTP library releases.
    pub(crate) fn end_message(&self) {
        let mut state = self.lock();
        state.message_bytes = 0;
        state.report_memory();
    }

    fn lock(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReadState {
    /// Returns whether the caller has closed the connection. While the socket holds unread bytes,
    /// a close behind them goes undetected.
    pub(crate) fn is_closed(&self) -> bool {
        if self.has_ended {
            return true;
        }
        let mut byte = [0; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match recv(self.socket.as_ref(), &mut byte, flags) {
            Ok((_, size)) => size == 0,
            Err(Errno::AGAIN | Errno::INTR) => false,
            Err(_) => true,
        }
    }

    fn report_memory(&self) {
        let is_blocked = self.buffered.len() >= READ_AHEAD_MAX_BYTES;
        let held_bytes =
            self.buffered.len().max(self.message_bytes).max(self.head_scanner.held_bytes());
        let level = match held_bytes {
            _ if is_blocked => ReadLevel::Blocked,
            0..=SMALL_BYTES => ReadLevel::Small,
            _ => ReadLevel::Extended,
        };
        self.activity.set_read_blocked(is_blocked);
        self.memory.set_read_level(level);
    }

    /// Drops all bytes that are held.
    fn release_buffers(&mut self) {
        self.buffered = BytesMut::new();
        self.message_bytes = 0;
        self.head_scanner = HeadScanner::new();
        self.report_memory();
    }

    /// Drops received bytes; ready with their number, 0 once the connection has ended.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        if self.has_ended {
            return Poll::Ready(0);
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut buffer = ReadBuf::new(&mut chunk);
        let read = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        self.has_ended = read.is_err() || buffer.filled().is_empty();
        Poll::Ready(buffer.filled().len())
    }

    /// Buffers received bytes; ready with `true` once the connection has ended.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if self.has_ended {
            return Poll::Ready(true);
        }
        if self.buffered.len() >= READ_AHEAD_MAX_BYTES {
            // The HTTP library consumes bytes in the same task, which then polls this again.
            return Poll::Pending;
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut buffer = ReadBuf::new(&mut chunk);
        let read = Pin::new(&mut self.socket).poll_read(cx, &mut buffer);
        if read.is_pending() && self.buffered.is_empty() {
            self.activity.record_handled();
        }
        let read = ready!(read);
        let bytes = buffer.filled();
        self.has_ended = read.is_err() || bytes.is_empty();
        self.activity.record_received();
        self.buffered.extend_from_slice(bytes);
        self.head_scanner.push(bytes);
        self.report_memory();
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
        Poll::Ready(self.has_ended)
    }
}

/// The stream given to the HTTP library; its reads come from the buffer of [`ReadAhead`].
#[derive(Debug)]
pub(crate) struct ReadAheadStream {
    ahead: ReadAhead,
    write_half: OwnedWriteHalf,
}

impl ReadAheadStream {
    /// Writes what the kernel accepts now, although it may not have reported the socket as writable.
    pub(crate) fn send_now(&self, buf: &[u8]) -> Poll<io::Result<usize>> {
        if buf.is_empty() {
            return Poll::Pending;
        }
        match send(self.write_half.as_ref(), buf, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
            Ok(size) => Poll::Ready(Ok(size)),
            Err(Errno::AGAIN | Errno::INTR) => Poll::Pending,
            Err(error) => Poll::Ready(Err(error.into())),
        }
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.ahead.lock();
        if state.buffered.is_empty() && !state.has_ended {
            state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let size = state.buffered.len().min(buf.remaining());
        buf.put_slice(&state.buffered[..size]);
        state.message_reads.record(&state.buffered[..size]);
        state.buffered.advance(size);
        if state.buffered.is_empty() {
            // An idle connection keeps no buffer.
            state.buffered = BytesMut::new();
            state.activity.record_handled();
        }
        state.message_bytes = state.message_bytes.saturating_add(size);
        state.report_memory();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write_half).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write_half).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write_half).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write_half).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write_half.is_write_vectored()
    }
}
