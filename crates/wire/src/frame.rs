//! Frames, which are postcard messages followed by an authentication tag (keyed BLAKE3).

use base::{Incarnation, InstanceId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum size of a frame that is sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

const TAG_BYTES: usize = 16;
const KEY_CONTEXT: &str = "godwitgauge 2026-12 frames between instances";

/// Authenticates frames with a key that is derived from the secret in the settings.
#[derive(Clone)]
pub struct Secret([u8; 32]);

/// Lists the reasons for which a frame can't be sent or is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum WireError {
    /// It is shorter than its authentication tag or can't be encoded or decoded.
    #[display("the frame is malformed")]
    Malformed,
    /// It is authentic, but its message can't be decoded: its sender may be of another build.
    #[display("the frame's message can't be read")]
    Unread,
    /// Its authentication tag does not match, so its sender does not have the same secret.
    #[display("the frame's authentication tag is invalid")]
    Unauthenticated,
    /// It has been received before, or is too old for the replay window.
    #[display("the frame is a duplicate or too old")]
    Replayed,
    /// It comes from an earlier incarnation of its sender.
    #[display("the frame comes from an earlier incarnation of its sender")]
    StaleIncarnation,
    /// It is addressed to another instance.
    #[display("the frame is addressed to another instance")]
    Misdirected,
}

/// Binds a message to its sender, its receiver and its place in their sequence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct FrameHead {
    pub(crate) from: InstanceId,
    pub(crate) from_incarnation: Incarnation,
    pub(crate) to: InstanceId,
    /// Incarnation of the receiver from which the sender last received a frame, or zero if it
    /// received none.
    pub(crate) to_incarnation: Incarnation,
    pub(crate) sequence: u64,
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Derives the key from the secret in the settings.
    pub fn derive(text: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, text.as_bytes()))
    }

    /// Encodes and authenticates a message for the receiver that chose the nonce.
    ///
    /// The nonce is authenticated but not part of the result.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] if the message can't be encoded.
    pub fn seal_with_nonce<T>(&self, nonce: &[u8; 16], message: &T) -> Result<Vec<u8>, WireError>
    where
        T: Serialize,
    {
        let mut buf = postcard::to_stdvec(message).map_err(|_| WireError::Malformed)?;
        let tag = self.nonce_tag(nonce, &buf);
        buf.extend_from_slice(&tag);
        Ok(buf)
    }

    /// Verifies and decodes a message that was sealed with this nonce.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the message must be dropped; [`WireError::Unread`] if it is authentic.
    pub fn open_with_nonce<T>(&self, nonce: &[u8; 16], buf: &[u8]) -> Result<T, WireError>
    where
        T: DeserializeOwned,
    {
        let at = buf
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(WireError::Malformed)?;
        let (content, tag) = buf.split_at(at);
        if !is_equal(&self.nonce_tag(nonce, content), tag) {
            return Err(WireError::Unauthenticated);
        }
        postcard::from_bytes(content).map_err(|_| WireError::Unread)
    }

    fn nonce_tag(&self, nonce: &[u8; 16], content: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(nonce);
        hasher.update(content);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    pub(crate) fn seal(&self, head: &FrameHead, message: &[u8]) -> Result<Vec<u8>, WireError> {
        let mut buf = postcard::to_stdvec(head).map_err(|_| WireError::Malformed)?;
        buf.extend_from_slice(message);
        let tag = blake3::keyed_hash(&self.0, &buf);
        buf.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        Ok(buf)
    }

    /// Returns the head of a verified frame and the encoded message behind it.
    pub(crate) fn open<'a>(&self, buf: &'a [u8]) -> Result<(FrameHead, &'a [u8]), WireError> {
        let at = buf
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(WireError::Malformed)?;
        let (content, tag) = buf.split_at(at);
        let expected = blake3::keyed_hash(&self.0, content);
        if !is_equal(&expected.as_bytes()[..TAG_BYTES], tag) {
            return Err(WireError::Unauthenticated);
        }
        postcard::take_from_bytes(content).map_err(|_| WireError::Malformed)
    }
}

/// Compares two tags in constant time, which [`blake3::Hash`] implements.
fn is_equal(left: &[u8], right: &[u8]) -> bool {
    let to_hash = |tag: &[u8]| {
        let mut bytes = [0; 32];
        bytes[..TAG_BYTES].copy_from_slice(tag);
        blake3::Hash::from_bytes(bytes)
    };
    to_hash(left) == to_hash(right)
}
