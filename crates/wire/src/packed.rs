//! Compressed contents of bounded size.
//!
//! The method is LZ4, since an instance with a tenth of a core has to compress megabytes within the time of
//! a change.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Carries a compressed content.
///
/// # Examples
///
/// ```
/// use wire::Packed;
///
/// let packed = Packed::new("again and ".repeat(1_000).as_bytes());
/// assert!(packed.len() < 200);
/// assert_eq!(packed.unpack(10_000).unwrap().len(), 10_000);
/// assert!(packed.unpack(9_999).is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// Size of the content, in bytes.
    size: u32,
    bytes: Vec<u8>,
}

/// Lists the reasons for which a content can't be unpacked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum UnpackError {
    /// The content would be larger than the receiver takes, or than its bytes can hold.
    #[display("a packed content of {size} bytes is too large")]
    TooLarge {
        /// Its size by its own word.
        size: u32,
    },
    /// The bytes are no compressed content of this size.
    #[display("a packed content is malformed")]
    Malformed,
}

/// Maximum ratio between a content and its compressed bytes that the method allows.
const MAX_RATIO: usize = 255;
/// Bytes that a short content may have beyond that ratio.
const RATIO_MARGIN: usize = 64;

impl Packed {
    /// Compresses a content.
    pub fn new(content: &[u8]) -> Self {
        Self {
            size: content.len() as u32,
            bytes: lz4_flex::block::compress(content),
        }
    }

    /// Returns the size of the compressed bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no compressed bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the content.
    ///
    /// # Errors
    ///
    /// [`UnpackError`] if it is larger than `max` or malformed; no more than `max` bytes are held.
    pub fn unpack(&self, max: usize) -> Result<Vec<u8>, UnpackError> {
        let size = self.size as usize;
        if size > max || size > self.bytes.len() * MAX_RATIO + RATIO_MARGIN {
            return Err(UnpackError::TooLarge { size: self.size });
        }
        let mut content = vec![0; size];
        let unpacked = lz4_flex::block::decompress_into(&self.bytes, &mut content);
        match unpacked {
            Ok(count) if count == size => Ok(content),
            _ => Err(UnpackError::Malformed),
        }
    }
}
