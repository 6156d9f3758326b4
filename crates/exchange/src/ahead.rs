//! Reads a caller's connection ahead of the request that is being answered.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, BytesMut};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::heads_ahead::HeadsAhead;
use crate::presence::CallerConnection;

/// Bytes read ahead at most; a caller that sends more waits until its first requests are answered.
const AHEAD_MAX_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 8 * 1024;

/// The reading side of a connection, shared by the HTTP library, which takes bytes when it is ready
/// for them, and [`ReadAhead::drive`], which fetches them as they arrive.
///
/// The library reads nothing while it waits for an answer and holds bytes of a further request.
/// Without reading ahead, requests that a caller sends one behind the other would each wait for the
/// answer before, and a caller that has left would not be noticed.
#[derive(Debug, Clone)]
pub(crate) struct ReadAhead {
    shared: Arc<Mutex<Reading>>,
}

/// What has been read of a connection and not been taken yet.
#[derive(Debug)]
pub(crate) struct Reading {
    socket: OwnedReadHalf,
    held: BytesMut,
    ended: bool,
    /// The library's task, when it waits for bytes.
    waiting: Option<Waker>,
    heads: HeadsAhead,
}

impl ReadAhead {
    /// Splits a connection into the stream for the library and the handle that reads ahead.
    pub(crate) fn new(stream: TcpStream) -> (AheadStream, Self) {
        let (socket, writing) = stream.into_split();
        let reading = Reading {
            socket,
            held: BytesMut::new(),
            ended: false,
            waiting: None,
            heads: HeadsAhead::new(),
        };
        let ahead = Self { shared: Arc::new(Mutex::new(reading)) };
        (AheadStream { ahead: ahead.clone(), writing }, ahead)
    }

    /// Reads until the caller ends the connection; calls `found` for the number and the head of each
    /// request without a body, counted from 0.
    pub(crate) async fn drive(&self, mut found: impl FnMut(u64, http::request::Parts)) {
        loop {
            let ended = std::future::poll_fn(|cx| self.lock().poll_fill(cx)).await;
            let heads = self.lock().heads.take();
            for (number, head) in heads {
                found(number, head);
            }
            if ended {
                return;
            }
        }
    }

    /// Whether bytes have arrived that the library has not taken.
    pub(crate) fn holds_bytes(&self) -> bool {
        !self.lock().held.is_empty()
    }

    /// Tells the requests on this connection whether their caller is still there.
    pub(crate) fn presence(&self) -> CallerConnection {
        CallerConnection::new(Arc::downgrade(&self.shared))
    }

    fn lock(&self) -> MutexGuard<'_, Reading> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reading {
    /// Whether the connection has ended behind what has been read. Unread bytes hide an end.
    pub(crate) fn has_ended(&self) -> bool {
        if self.ended {
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

    /// Fetches what has arrived; ready with `true` at the end of the connection.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if self.ended {
            return Poll::Ready(true);
        }
        if self.held.len() >= AHEAD_MAX_BYTES {
            // The library takes bytes in the same task, which then polls this again.
            return Poll::Pending;
        }
        let mut piece = [0; READ_BYTES];
        let mut buffer = ReadBuf::new(&mut piece);
        let read = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
        let bytes = buffer.filled();
        self.ended = read.is_err() || bytes.is_empty();
        self.held.extend_from_slice(bytes);
        self.heads.push(bytes);
        if let Some(waiting) = self.waiting.take() {
            waiting.wake();
        }
        Poll::Ready(self.ended)
    }
}

/// The connection as the HTTP library sees it.
#[derive(Debug)]
pub(crate) struct AheadStream {
    ahead: ReadAhead,
    writing: OwnedWriteHalf,
}

impl AsyncRead for AheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut reading = self.ahead.lock();
        if reading.held.is_empty() && !reading.ended {
            reading.waiting = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let size = reading.held.len().min(buf.remaining());
        buf.put_slice(&reading.held[..size]);
        reading.held.advance(size);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AheadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writing).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writing).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writing).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writing).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.writing.is_write_vectored()
    }
}
