//! A stream whose bytes pass a filter as they are read.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Examines what is read from a [`FilteredStream`].
pub(crate) trait ReadFilter {
    /// Examines the next bytes, and may change them.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the reader gets neither these bytes nor any later ones.
    fn filter(&mut self, bytes: &mut [u8]) -> io::Result<()>;
}

/// Passes what is read from a stream through a filter, and writes to the stream directly.
#[derive(Debug)]
pub(crate) struct FilteredStream<S, F> {
    inner: S,
    filter: F,
}

impl<S, F> FilteredStream<S, F> {
    /// Returns a stream whose reader gets what `filter` lets pass.
    pub(crate) fn new(inner: S, filter: F) -> Self {
        Self { inner, filter }
    }
}

impl<S, F> AsyncRead for FilteredStream<S, F>
where
    S: AsyncRead + Unpin,
    F: ReadFilter + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        Poll::Ready(self.filter.filter(&mut buf.filled_mut()[before..]))
    }
}

impl<S, F> AsyncWrite for FilteredStream<S, F>
where
    S: AsyncWrite + Unpin,
    F: Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
