//! Whether anything of a request has been written to its connection.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const UNWRITTEN: u8 = 0;
/// Something has been written, or is being written.
const WRITTEN: u8 = 1;
const CLOSED: u8 = 2;

/// Records whether anything has been written to a stream, and can forbid that anything will be; all clones
/// share the record.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteLatch(Arc<AtomicU8>);

impl WriteLatch {
    /// Forgets what was written before.
    pub(crate) fn reset(&self) {
        self.0.store(UNWRITTEN, Ordering::SeqCst);
    }

    /// Forbids all writes if nothing has been written, and returns whether that is so; afterwards it is
    /// certain that nothing ever will be.
    pub(crate) fn close(&self) -> bool {
        self.change(UNWRITTEN, CLOSED)
    }

    /// Carries a write out unless writes are forbidden.
    fn write<F>(&self, write: F) -> Poll<io::Result<usize>>
    where
        F: FnOnce() -> Poll<io::Result<usize>>,
    {
        let is_first = self.change(UNWRITTEN, WRITTEN);
        if !is_first && self.0.load(Ordering::SeqCst) == CLOSED {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let result = write();
        let has_written = matches!(result, Poll::Ready(Ok(len)) if len > 0);
        if is_first && !has_written {
            self.change(WRITTEN, UNWRITTEN);
        }
        result
    }

    fn change(&self, from: u8, to: u8) -> bool {
        let changed = self
            .0
            .compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst);
        changed.is_ok()
    }
}

/// Writes to a stream for as long as its latch allows it.
#[derive(Debug)]
pub(crate) struct LatchedStream<S> {
    inner: S,
    latch: WriteLatch,
}

impl<S> LatchedStream<S> {
    /// Returns a stream whose writes `latch` records and can forbid.
    pub(crate) fn new(inner: S, latch: WriteLatch) -> Self {
        Self { inner, latch }
    }
}

impl<S> AsyncRead for LatchedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S> AsyncWrite for LatchedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { inner, latch } = self.get_mut();
        latch.write(|| Pin::new(inner).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { inner, latch } = self.get_mut();
        latch.write(|| Pin::new(inner).poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
