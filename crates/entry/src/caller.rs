//! One connection of a caller, as its listener and the handlers of its requests see it.

use std::{
    future::pending,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rustix::{
    io::Errno,
    net::{RecvFlags, recv},
};
use salvo::conn::ConnCtrl;
use tokio::{net::TcpStream, time::Instant};

/// Stands for a number of requests that is unknown.
const PARTIAL: u64 = u64::MAX;

/// Identifies the connection on which a request has come, and shows whether its caller still waits.
///
/// The listener adds it to the extensions of each request.
#[derive(Debug, Clone)]
pub struct Caller {
    pub(crate) socket: Weak<TcpStream>,
    pub(crate) activity: Arc<Activity>,
    pub(crate) ctrl: ConnCtrl,
    /// Whether the connection is one too many, so that its requests are refused.
    pub is_surplus: bool,
}

impl Caller {
    /// Returns whether the caller has closed its connection, by a look at the socket: the event that reports the close
    /// may still wait for its turn.
    ///
    /// A caller that has sent more than one request counts as there until the last of them is read.
    pub fn has_left(&self) -> bool {
        match self.look() {
            // Further requests may have been read, whose answers are waited for.
            Input::Closed => self.activity.has_read_one_request(),
            Input::Unread | Input::Nothing => false,
        }
    }

    /// Returns whether the caller has sent nothing behind the request in progress.
    pub(crate) fn awaits_one_answer(&self) -> bool {
        self.activity.has_read_one_request() && self.look() != Input::Unread
    }

    /// Returns what the next read on the connection would find.
    pub(crate) fn look(&self) -> Input {
        let Some(socket) = self.socket.upgrade() else {
            return Input::Closed;
        };
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match recv(&*socket, &mut [0; 1], flags) {
            Ok((_, 0)) => Input::Closed,
            Ok(_) => Input::Unread,
            Err(Errno::AGAIN | Errno::INTR) => Input::Nothing,
            Err(_) => Input::Closed,
        }
    }

    /// Closes the connection if the caller has left, which ends the request that waits for this.
    pub(crate) async fn close_if_left(&self) {
        if self.has_left() {
            self.ctrl.abort();
            pending::<()>().await;
        }
    }

    /// Notes that a request is in progress until the result is dropped.
    pub(crate) fn start_request(&self) -> RequestInProgress {
        self.activity.is_running.store(true, Ordering::Relaxed);
        self.activity.started.fetch_add(1, Ordering::Relaxed);
        RequestInProgress(self.activity.clone())
    }
}

/// Lists what the next read on a connection would find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Input {
    Nothing,
    Unread,
    /// The caller has closed or reset it.
    Closed,
}

/// Notes that a request is in progress on a connection.
#[derive(Debug)]
pub(crate) struct RequestInProgress(Arc<Activity>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.touch();
        self.0.is_running.store(false, Ordering::Relaxed);
    }
}

/// Records what happens on a connection.
#[derive(Debug)]
pub(crate) struct Activity {
    opened_at: Instant,
    /// Milliseconds from the opening to the last byte that was read or written.
    last_active_ms: AtomicU64,
    is_running: AtomicBool,
    pub(crate) is_write_blocked: AtomicBool,
    /// Requests that have been read to their end; [`PARTIAL`] while the end of another one has not been read.
    whole_requests: AtomicU64,
    /// Requests whose handler has started.
    started: AtomicU64,
}

impl Activity {
    pub(crate) fn start() -> Self {
        Self {
            opened_at: Instant::now(),
            last_active_ms: AtomicU64::new(0),
            is_running: AtomicBool::new(false),
            is_write_blocked: AtomicBool::new(false),
            whole_requests: AtomicU64::new(0),
            started: AtomicU64::new(0),
        }
    }

    pub(crate) fn set_whole_requests(&self, whole_requests: Option<u64>) {
        let number = whole_requests.unwrap_or(PARTIAL);
        self.whole_requests.store(number, Ordering::Relaxed);
    }

    /// Returns whether all that has been read belongs to the requests whose handlers have started.
    fn has_read_one_request(&self) -> bool {
        self.whole_requests.load(Ordering::Relaxed) == self.started.load(Ordering::Relaxed)
    }

    /// Returns whether a part of a request has been read, and not its end.
    pub(crate) fn has_partial_request(&self) -> bool {
        self.whole_requests.load(Ordering::Relaxed) == PARTIAL
    }

    pub(crate) fn touch(&self) {
        let passed = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_active_ms.store(passed, Ordering::Relaxed);
    }

    /// Returns since when the connection has been idle; `None` while a request is in progress.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let is_busy = self.is_running.load(Ordering::Relaxed)
            || self.is_write_blocked.load(Ordering::Relaxed);
        let last_active_ms = self.last_active_ms.load(Ordering::Relaxed);
        (!is_busy).then(|| self.opened_at + Duration::from_millis(last_active_ms))
    }
}
