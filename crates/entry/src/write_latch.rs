//! Whether anything of a request has been written to its connection, and may be.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::watch,
};

use crate::{permit::SendPermit, relay::Relay, view::Clock};

const UNWRITTEN: u8 = 0;
/// Something has been written, or is being written.
const WRITTEN: u8 = 1;
const CLOSED: u8 = 2;
/// Nothing has been written, as the request's permit was over.
const WITHHELD: u8 = 3;

/// Records whether anything has been written to a stream, and can forbid that anything will be; all clones
/// share the record.
#[derive(Debug, Clone)]
pub(crate) struct WriteLatch {
    state: Arc<AtomicU8>,
    /// What the first write needs, until it is carried out.
    terms: Arc<watch::Sender<Option<WriteTerms>>>,
}

/// Permits the first write of a request, over a connection that another instance carries if there is one.
#[derive(Debug)]
pub(crate) struct WriteTerms {
    pub(crate) permit: SendPermit,
    pub(crate) relay: Option<Relay>,
    pub(crate) clock: Clock,
}

impl WriteTerms {
    /// Returns whether the request may be sent now.
    pub(crate) fn hold(&self) -> bool {
        self.permit.covers(self.relay.as_ref()) && self.permit.is_valid(self.clock.now())
    }
}

impl Default for WriteLatch {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            terms: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl WriteLatch {
    /// Forgets what was written before; the first write is carried out only if `terms` hold by then.
    pub(crate) fn reset(&self, terms: WriteTerms) {
        self.terms.send_replace(Some(terms));
        self.state.store(UNWRITTEN, Ordering::SeqCst);
    }

    /// Returns whether nothing was written because the terms of the first write didn't hold; nothing will be then.
    pub(crate) fn is_withheld(&self) -> bool {
        self.state.load(Ordering::SeqCst) == WITHHELD
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
        if is_first && !self.may_begin() {
            self.change(WRITTEN, WITHHELD);
        }
        if matches!(self.state.load(Ordering::SeqCst), CLOSED | WITHHELD) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let result = write();
        let has_written = matches!(result, Poll::Ready(Ok(len)) if len > 0);
        if is_first && has_written {
            self.terms.send_replace(None);
        } else if is_first {
            self.change(WRITTEN, UNWRITTEN);
        }
        result
    }

    fn may_begin(&self) -> bool {
        self.terms.borrow().as_ref().is_none_or(WriteTerms::hold)
    }

    fn change(&self, from: u8, to: u8) -> bool {
        let changed = self
            .state
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
