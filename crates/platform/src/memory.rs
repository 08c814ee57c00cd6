//! In-process platform for the development mode and tests.

use tokio::sync::mpsc;

use crate::{CALL_QUEUE_CAPACITY, Message, Platform, Store};

/// Starts a task that keeps the platform's state in memory, and returns a handle to it.
pub fn spawn() -> Platform {
    let (tx, mut rx) = mpsc::channel(CALL_QUEUE_CAPACITY);
    tokio::spawn(async move {
        let mut store = Store::default();
        while let Some(message) = rx.recv().await {
            if let Message::Call(call, _, reply) = message {
                let _ = reply.send(store.apply(call));
            }
        }
    });
    Platform::new(tx)
}
