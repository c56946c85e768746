//! Bounds the bytes that an HTTP/1 client reads before the head of an answer is complete.
//!
//! The HTTP library skips interim answers (1xx) without a bound, and in one go while bytes arrive, so that a server that
//! sends them without end would keep a thread to itself.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use hyper::client::conn::http1;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes read before the head of an answer is complete: interim answers, the head and the bytes of the body that are
/// read ahead.
const MAX_BYTES_TO_HEAD: u64 = 2 * MAX_HEAD_BYTES as u64;

/// Bytes read at once; the library would fill any buffer that it has.
const MAX_READ: u64 = 16 << 10;

/// A builder of connections whose answers have heads of 64 KiB at most.
pub fn builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    builder
}

/// Sets and lifts the bound of a [`Limited`] connection.
#[derive(Clone, Debug)]
pub struct HeadLimit(Arc<AtomicU64>);

impl HeadLimit {
    /// Begins to wait for the head of an answer; there is a bound until [`HeadLimit::end`] is called.
    pub fn begin(&self) {
        self.0.store(MAX_BYTES_TO_HEAD, Ordering::Relaxed);
    }

    /// Records that the head is complete.
    pub fn end(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }
}

/// A connection that fails when too many bytes arrive before the head of an answer is complete.
#[derive(Debug)]
pub struct Limited<T> {
    inner: Take<T>,
    left: HeadLimit,
}

impl<T: AsyncRead> Limited<T> {
    /// Wraps a connection; it has no bound until [`HeadLimit::begin`] is called.
    pub fn new(stream: T) -> Self {
        Self {
            inner: stream.take(0),
            left: HeadLimit(Arc::new(AtomicU64::new(u64::MAX))),
        }
    }

    /// The handle that sets and lifts the bound of this connection.
    pub fn limit(&self) -> HeadLimit {
        self.left.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Limited<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let left = this.left.0.load(Ordering::Relaxed);
        if left == 0 {
            let message = format!("no end of the answer's head within {MAX_BYTES_TO_HEAD} bytes");
            return Poll::Ready(Err(io::Error::other(message)));
        }
        this.inner.set_limit(left.min(MAX_READ));
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.inner).poll_read(cx, buf))?;
        if left < u64::MAX {
            let count = (buf.filled().len() - before) as u64;
            // The bound may have been set anew meanwhile, which holds.
            let _ = this.left.0.compare_exchange(
                left,
                left - count,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Limited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.inner.get_mut()).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.inner.get_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.inner.get_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.get_ref().is_write_vectored()
    }
}
