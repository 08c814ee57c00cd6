//! Frames: postcard, followed by a keyed BLAKE3 digest.

use base::{Incarnation, InstanceId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest frame that is sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

const TAG_BYTES: usize = 16;
const KEY_CONTEXT: &str = "godwitgauge 2026-12 frames between instances";

/// Authenticates frames; derived from the secret in the settings.
#[derive(Clone)]
pub struct Secret([u8; 32]);

/// Lists why a frame is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum WireError {
    /// It is shorter than its digest or can't be decoded.
    #[display("the frame is broken")]
    Malformed,
    /// Its digest does not match: it was not sent by an instance with the same secret.
    #[display("the frame is foreign")]
    Unauthenticated,
    /// It has been received before, or is older than the window.
    #[display("the frame is a replay")]
    Replayed,
    /// It comes from an ended life of its sender.
    #[display("the frame comes from an ended life")]
    StaleIncarnation,
    /// It is addressed to another instance.
    #[display("the frame is for another instance")]
    Misdirected,
}

/// Holds a frame as it is encoded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Frame<T> {
    pub(crate) from: InstanceId,
    pub(crate) from_life: Incarnation,
    pub(crate) to: InstanceId,
    /// Life of the receiver that the sender has heard from; zero where it has not.
    pub(crate) to_life: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) message: T,
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Derives the secret from the text in the settings.
    pub fn derive(text: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, text.as_bytes()))
    }

    /// Returns a message sealed together with the nonce that its receiver chose.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] where the message can't be encoded.
    pub fn seal_with_nonce<T>(&self, nonce: &[u8; 16], message: &T) -> Result<Vec<u8>, WireError>
    where
        T: Serialize,
    {
        let mut buf = postcard::to_stdvec(message).map_err(|_| WireError::Malformed)?;
        let tag = self.bound_tag(nonce, &buf);
        buf.extend_from_slice(&tag);
        Ok(buf)
    }

    /// Opens a message that was sealed together with this nonce.
    ///
    /// # Errors
    ///
    /// [`WireError`] where the message must be dropped.
    pub fn open_with_nonce<T>(&self, nonce: &[u8; 16], buf: &[u8]) -> Result<T, WireError>
    where
        T: DeserializeOwned,
    {
        let at = buf
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(WireError::Malformed)?;
        let (text, tag) = buf.split_at(at);
        if !is_equal(&self.bound_tag(nonce, text), tag) {
            return Err(WireError::Unauthenticated);
        }
        postcard::from_bytes(text).map_err(|_| WireError::Malformed)
    }

    fn bound_tag(&self, nonce: &[u8; 16], text: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(nonce);
        hasher.update(text);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    pub(crate) fn seal<T>(&self, frame: &Frame<T>) -> Result<Vec<u8>, WireError>
    where
        T: Serialize,
    {
        let mut buf = postcard::to_stdvec(frame).map_err(|_| WireError::Malformed)?;
        let tag = blake3::keyed_hash(&self.0, &buf);
        buf.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        Ok(buf)
    }

    pub(crate) fn open<T>(&self, buf: &[u8]) -> Result<Frame<T>, WireError>
    where
        T: DeserializeOwned,
    {
        let at = buf
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(WireError::Malformed)?;
        let (text, tag) = buf.split_at(at);
        let expected = blake3::keyed_hash(&self.0, text);
        if !is_equal(&expected.as_bytes()[..TAG_BYTES], tag) {
            return Err(WireError::Unauthenticated);
        }
        postcard::from_bytes(text).map_err(|_| WireError::Malformed)
    }
}

/// Compares in constant time, by the digests' own comparison.
fn is_equal(one: &[u8], two: &[u8]) -> bool {
    let widen = |part: &[u8]| {
        let mut wide = [0; 32];
        wide[..TAG_BYTES].copy_from_slice(part);
        blake3::Hash::from_bytes(wide)
    };
    widen(one) == widen(two)
}
