//! Bytes over TCP whose end is marked, so that it differs from a connection that broke off.
//!
//! The kernel closes the connections of a process that ends as if the process had closed them. So
//! the end of the connection doesn't show whether all bytes have come. Each chunk is preceded by
//! its length; a length of zero marks the end.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Maximum size of a chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;
const LENGTH_BYTES: usize = 4;

/// Writes one chunk of at most [`MAX_CHUNK_BYTES`].
///
/// # Errors
///
/// [`io::Error`] if the chunk is empty or too large, or the connection fails.
pub async fn write_chunk<W>(writer: &mut W, chunk: &[u8]) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let len = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
    if chunk.is_empty() || chunk.len() > MAX_CHUNK_BYTES {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    writer.write_u32(len).await?;
    writer.write_all(chunk).await
}

/// Writes the mark of the end.
///
/// # Errors
///
/// [`io::Error`] if the connection fails.
pub async fn write_end<W>(writer: &mut W) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    writer.write_u32(0).await
}

/// Reads bytes that were written by [`write_chunk`], and ends only at the mark of [`write_end`]; what
/// is written to it goes on unchanged.
///
/// A connection that ends without the mark fails with [`io::ErrorKind::UnexpectedEof`].
///
/// # Examples
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use tokio::io::AsyncReadExt;
/// use wire::marked::{MarkedStream, write_chunk, write_end};
///
/// let (mut near, far) = tokio::io::duplex(64);
/// write_chunk(&mut near, b"whole").await.unwrap();
/// write_end(&mut near).await.unwrap();
/// drop(near);
/// let mut text = String::new();
/// MarkedStream::new(far).read_to_string(&mut text).await.unwrap();
/// assert_eq!(text, "whole");
/// # });
/// ```
#[derive(Debug)]
pub struct MarkedStream<S> {
    inner: S,
    length: [u8; LENGTH_BYTES],
    length_read: usize,
    /// Number of bytes of the present chunk that have not come yet.
    chunk_left: usize,
    has_ended: bool,
}

impl<S> MarkedStream<S>
where
    S: AsyncRead + Unpin,
{
    /// Returns a stream that begins with the length of a chunk.
    pub fn new(inner: S) -> Self {
        Self {
            inner,
            length: [0; LENGTH_BYTES],
            length_read: 0,
            chunk_left: 0,
            has_ended: false,
        }
    }

    /// Reads the length of the next chunk, or the mark of the end.
    fn poll_length(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.length_read < LENGTH_BYTES {
            let mut buf = ReadBuf::new(&mut self.length[self.length_read..]);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf))?;
            let read = buf.filled().len();
            if read == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            self.length_read += read;
        }
        self.length_read = 0;
        self.chunk_left = u32::from_be_bytes(self.length) as usize;
        self.has_ended = self.chunk_left == 0;
        if self.chunk_left > MAX_CHUNK_BYTES {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncRead for MarkedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.chunk_left == 0 && !self.has_ended {
            ready!(self.poll_length(cx))?;
        }
        if self.has_ended || buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let len = self.chunk_left.min(buf.remaining());
        let mut chunk = ReadBuf::new(buf.initialize_unfilled_to(len));
        ready!(Pin::new(&mut self.inner).poll_read(cx, &mut chunk))?;
        let read = chunk.filled().len();
        if read == 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        buf.advance(read);
        self.chunk_left -= read;
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for MarkedStream<S>
where
    S: AsyncWrite + Unpin,
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
