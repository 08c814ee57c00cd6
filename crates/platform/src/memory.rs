//! In-process platform for the development mode and tests.

use tokio::sync::mpsc;

use crate::{CALL_QUEUE_CAPACITY, Platform, Request, Store};

/// Starts a task that keeps the platform's state in memory, and returns a handle to it.
pub fn spawn() -> Platform {
    let (tx, mut rx) = mpsc::channel::<Request>(CALL_QUEUE_CAPACITY);
    tokio::spawn(async move {
        let mut store = Store::default();
        while let Some(req) = rx.recv().await {
            let _ = req.reply.send(store.apply(req.call));
        }
    });
    Platform::new(tx)
}
