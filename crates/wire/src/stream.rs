//! Sealed frames over TCP, each preceded by its length.

use std::{io, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};

/// Maximum size of a frame that is sent over TCP, in bytes.
pub const MAX_STREAM_FRAME_BYTES: u32 = 16 * 1024 * 1024;

/// Writes one frame and flushes the writer.
///
/// # Errors
///
/// [`io::Error`] if the frame is too large or the connection fails.
pub async fn write<W>(writer: &mut W, frame: &[u8]) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    writer.write_u32(frame_len(frame)?).await?;
    writer.write_all(frame).await?;
    writer.flush().await
}

/// Writes one frame as [`write()`] does, however long it takes as long as the receiver goes on taking it;
/// calls `report` whenever it has taken a part.
///
/// # Errors
///
/// [`io::ErrorKind::TimedOut`] if the receiver has taken nothing for `max_pause`; else as for [`write()`].
pub async fn write_unless_stuck<W, F>(
    writer: &mut W,
    frame: &[u8],
    max_pause: Duration,
    mut report: F,
) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
    F: FnMut(),
{
    timeout(max_pause, writer.write_u32(frame_len(frame)?)).await??;
    let mut left = frame;
    while !left.is_empty() {
        let count = timeout(max_pause, writer.write(left)).await??;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        report();
        left = &left[count..];
    }
    timeout(max_pause, writer.flush()).await?
}

/// Returns the length that goes before a frame.
fn frame_len(frame: &[u8]) -> io::Result<u32> {
    let len = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    if len > MAX_STREAM_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    Ok(len)
}

/// Reads one frame, or `None` if the connection was closed between frames.
///
/// # Errors
///
/// [`io::Error`] if the frame is too large or the connection fails or is closed within it.
pub async fn read<R>(reader: &mut R) -> io::Result<Option<Vec<u8>>>
where
    R: AsyncRead + Unpin,
{
    read_reporting(reader, |_| {}, |_| {}).await
}

/// Reads one frame as [`read`] does, and calls `announce` with its length, then `report` with each number of bytes
/// of it that has arrived.
///
/// # Errors
///
/// As for [`read`].
pub async fn read_reporting<R, A, F>(
    reader: &mut R,
    announce: A,
    mut report: F,
) -> io::Result<Option<Vec<u8>>>
where
    R: AsyncRead + Unpin,
    A: FnOnce(u32),
    F: FnMut(usize),
{
    let len = match reader.read_u32().await {
        Ok(len) => len,
        Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(err) => return Err(err),
    };
    if len > MAX_STREAM_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    announce(len);
    let mut frame = Vec::new();
    let mut limited = reader.take(u64::from(len));
    loop {
        let count = limited.read_buf(&mut frame).await?;
        if count == 0 {
            break;
        }
        report(count);
    }
    if frame.len() == len as usize {
        Ok(Some(frame))
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}
