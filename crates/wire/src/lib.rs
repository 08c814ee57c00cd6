//! Authenticated postcard frames between instances over UDP and TCP.
//!
//! [`Sessions`] seals and opens frames without any I/O. [`stream`] transfers sealed frames over
//! TCP, for messages that don't fit into a datagram. [`marked`] carries bytes of others.

mod frame;
pub mod marked;
mod packed;
mod session;
pub mod stream;
mod window;

pub use frame::{MAX_DATAGRAM_BYTES, Secret, WireError};
pub use packed::{Packed, UnpackError};
pub use session::{OpenedFrame, Sessions};
pub use window::ReplayWindow;
