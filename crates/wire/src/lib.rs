//! Authenticated postcard frames between instances over UDP and TCP.
//!
//! [`Sessions`] seals and opens frames without doing any input or output; [`stream`] carries
//! sealed frames over TCP for what does not fit into a datagram.

mod frame;
mod session;
pub mod stream;
mod window;

pub use frame::{MAX_DATAGRAM_BYTES, Secret, WireError};
pub use session::{OpenedFrame, Sessions};
pub use window::ReplayWindow;
