//! The bytes from and to a caller.

use std::{
    io,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll, ready},
};

use rustix::net::{Shutdown, shutdown};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{caller::Activity, filtered::ReadFilter, framing::Framing, open::Place};

/// Socket of a caller, whose activity is recorded; it can be looked at from outside.
#[derive(Debug)]
pub(crate) struct CallerStream {
    socket: Arc<TcpStream>,
    activity: Arc<Activity>,
    _place: Place,
}

impl CallerStream {
    pub(crate) fn new(socket: Arc<TcpStream>, activity: Arc<Activity>, place: Place) -> Self {
        Self {
            socket,
            activity,
            _place: place,
        }
    }

    /// Carries a write out, whose result shows whether the caller takes it.
    fn write<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            let ready = self.socket.poll_write_ready(cx);
            let is_blocked = ready.is_pending();
            self.activity
                .is_write_blocked
                .store(is_blocked, Ordering::Relaxed);
            ready!(ready)?;
            match write(&self.socket) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.activity.touch();
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read_buf(buf) {
                Ok(_) => {
                    self.activity.touch();
                    return Poll::Ready(Ok(()));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |socket| socket.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.socket, Shutdown::Write).map_err(io::Error::from))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Checks the framing of requests, and records whether all that has been read belongs to complete ones.
#[derive(Debug)]
pub(crate) struct RecordedFraming {
    framing: Framing,
    activity: Arc<Activity>,
}

impl RecordedFraming {
    pub(crate) fn new(activity: Arc<Activity>) -> Self {
        Self {
            framing: Framing::default(),
            activity,
        }
    }
}

impl ReadFilter for RecordedFraming {
    fn filter(&mut self, bytes: &mut [u8]) -> io::Result<()> {
        let result = self.framing.filter(bytes);
        self.activity
            .set_whole_requests(self.framing.whole_requests());
        result
    }
}
