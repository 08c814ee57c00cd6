//! A stream whose reader is cut off after a number of bytes.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::target_stream::TargetStream;

/// Sets how many bytes may still be read from a [`MeteredStream`].
#[derive(Debug, Clone)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

/// Reads from a stream until its allowance is used up, and fails then.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    inner: TargetStream,
    allowance: Allowance,
}

impl Allowance {
    /// Lets this many bytes be read from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Lets any number of bytes be read from now on.
    pub(crate) fn lift(&self) {
        self.set(usize::MAX);
    }

    /// Takes bytes off and returns whether there were as many.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.set(left.saturating_sub(bytes));
        }
        bytes <= left
    }
}

impl MeteredStream {
    /// Returns a stream without a bound, and the allowance that sets one.
    pub(crate) fn new(inner: TargetStream) -> (Self, Allowance) {
        let allowance = Allowance(Arc::new(AtomicUsize::new(usize::MAX)));
        let stream = Self {
            inner,
            allowance: allowance.clone(),
        };
        (stream, allowance)
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if self.allowance.take(buf.filled().len() - before) {
            Poll::Ready(Ok(()))
        } else {
            Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
        }
    }
}

impl AsyncWrite for MeteredStream {
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
