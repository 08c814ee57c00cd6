//! A bound on the bytes of bodies that an instance holds at the same time.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Bounds the bytes of bodies for as long as these are in memory; all clones share the bound.
///
/// A body may grow as long as it holds no more than what is left for all. One that never ends gets
/// half, and leaves the other half to the rest; several of them leave each other equal parts. One
/// whose length is known takes its room before its first byte.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    max: usize,
    used: Arc<AtomicUsize>,
}

/// Lists the reasons for which a body is not received to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// The bodies in memory leave no room for it.
    NoRoom,
    /// Its connection failed.
    Failed,
}

/// A body that was received, and the room that it takes until its last copy is dropped.
#[derive(Debug)]
struct HeldBody {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Counts the bytes of one body until it is dropped.
#[derive(Debug)]
struct Reservation {
    held: HeldBytes,
    len: usize,
}

impl HeldBytes {
    /// Returns a bound of `max` bytes.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            used: Arc::default(),
        }
    }

    /// Receives a body of at most `limit` bytes; its bytes count until the last copy is dropped.
    pub(crate) async fn collect<B>(&self, body: B, limit: usize) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reservation = Reservation {
            held: self.clone(),
            len: 0,
        };
        let data = match body.size_hint().exact() {
            Some(len) => {
                let len = usize::try_from(len).unwrap_or(usize::MAX);
                if len > limit {
                    return Err(BodyError::TooLarge);
                }
                if !reservation.grow(len) {
                    return Err(BodyError::NoRoom);
                }
                receive_sized(body, len).await?
            }
            None => receive_unsized(body, limit, &mut reservation).await?,
        };
        if data.is_empty() {
            return Ok(data);
        }
        Ok(Bytes::from_owner(HeldBody {
            data,
            _reservation: reservation,
        }))
    }
}

/// Receives a body whose length is known and has been reserved.
async fn receive_sized<B>(mut body: B, len: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut received = BytesMut::with_capacity(len);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(|_| BodyError::Failed)?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    Ok(received.freeze())
}

/// Receives a body of unknown length, which takes room as it grows.
async fn receive_unsized<B>(
    mut body: B,
    limit: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut parts: Vec<Bytes> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Failed)?.into_data() else {
            continue;
        };
        if reservation.len + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if !reservation.grow(data.len()) {
            return Err(BodyError::NoRoom);
        }
        parts.push(data);
    }
    Ok(join(parts))
}

impl Reservation {
    /// Adds bytes to the body and returns whether there is room for them.
    fn grow(&mut self, len: usize) -> bool {
        let used = self.held.used.fetch_add(len, Ordering::Relaxed) + len;
        self.len += len;
        self.len <= self.held.max.saturating_sub(used)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.held.used.fetch_sub(self.len, Ordering::Relaxed);
    }
}

fn join(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop().unwrap_or_default();
    }
    let mut joined = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
    for part in &parts {
        joined.extend_from_slice(part);
    }
    joined.freeze()
}
