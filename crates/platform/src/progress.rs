//! Progress of the answer to a call.

use std::{pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::PlatformError;

/// Lowest rate of a transfer: a slower one is treated like a silent one.
const MIN_BYTES_PER_S: u32 = 8 * 1024;
/// Time for which a transfer may fall behind the lowest rate.
const MAX_BEHIND: Duration = Duration::from_millis(1_500);

/// Number of waits in which the time without a byte is spent, so that a standstill within it is noticed.
const WAITS_PER_QUIET_TIME: u32 = 4;
/// Time by which a wait ends late at least if the own process stood still meanwhile.
const MIN_LATENESS: Duration = Duration::from_millis(100);
/// Time after a standstill in which what waits in the own sockets is read.
const READ_TIME: Duration = Duration::from_millis(200);
/// Multiple of the time without a byte after which a call ends also if each wait ends late.
const MAX_QUIET_TIMES: u32 = 2;

/// Reports the bytes of an answer as they arrive.
///
/// # Examples
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use platform::Progress;
///
/// let progress = Progress::start();
/// let received = progress.received();
/// progress.add(1_460);
/// assert_eq!(received.borrow().bytes, 1_460);
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct Progress {
    tx: watch::Sender<Received>,
}

/// Describes what has arrived of an answer so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// Bytes of its body.
    pub bytes: u64,
    /// Time of the first ones.
    pub begun_at: Option<Instant>,
    /// Time of the last bytes in either direction, or of the call.
    pub last_byte_at: Instant,
    /// Time for which the first bytes had waited for the own process by then at most, if that is known.
    pub read_late: Option<Duration>,
    /// Reading of the platform's steady clock when the answer was made, if it reports one.
    pub made_at: Option<Duration>,
    /// Length of the body in bytes, if announced.
    expected: Option<u64>,
    /// Time from which on the transfer is below the lowest rate unless more arrives; `None` before the first
    /// byte.
    slow_at: Option<Instant>,
}

impl Received {
    /// Returns whether the answer has begun to arrive, and goes on below the lowest rate of a transfer.
    pub fn is_slow(&self) -> bool {
        self.slow_at.is_some_and(|at| at <= Instant::now())
    }

    /// Returns whether the answer has begun to arrive, and isn't complete within `limit` from then on: the time is
    /// over, or the rest takes longer at the rate so far, which counts from a third of that time on.
    pub fn is_late(&self, limit: Duration) -> bool {
        let Some(begun_at) = self.begun_at else {
            return false;
        };
        let elapsed = begun_at.elapsed();
        let done = self
            .expected
            .map_or(0.0, |expected| self.bytes as f64 / expected.max(1) as f64);
        let is_known = done > 0.0 && elapsed >= limit / 3;
        elapsed >= limit || (is_known && elapsed.as_secs_f64() > limit.as_secs_f64() * done)
    }

    /// Returns how many bytes are still to come, as far as they have been announced.
    pub fn left(&self) -> Option<u64> {
        self.expected
            .map(|expected| expected.saturating_sub(self.bytes))
    }

    /// Returns whether less than half of an answer of a known length has arrived, and enough is left to take a
    /// second at the lowest rate of a transfer.
    pub fn has_much_left(&self) -> bool {
        self.left().unwrap_or(0) > self.bytes.max(u64::from(MIN_BYTES_PER_S))
    }

    /// Returns the time since the last byte in either direction, or since the call.
    pub fn quiet_time(&self) -> Duration {
        self.last_byte_at.elapsed()
    }
}

impl Progress {
    /// Starts a call of which nothing has arrived.
    pub fn start() -> Self {
        let received = Received {
            bytes: 0,
            begun_at: None,
            read_late: None,
            last_byte_at: Instant::now(),
            made_at: None,
            expected: None,
            slow_at: None,
        };
        Self {
            tx: watch::Sender::new(received),
        }
    }

    /// Records that `bytes` more have been announced.
    pub fn expect(&self, bytes: u64) {
        self.tx
            .send_modify(|received| received.expected = Some(received.bytes + bytes));
    }

    /// Records that `bytes` more have arrived.
    pub fn add(&self, bytes: usize) {
        self.tx.send_modify(|received| {
            let now = Instant::now();
            received.bytes += bytes as u64;
            received.begun_at.get_or_insert(now);
            received.last_byte_at = now;
            let gained = Duration::from_secs(bytes as u64) / MIN_BYTES_PER_S;
            let limit = now + MAX_BEHIND;
            let slow_at = received.slow_at.map_or(limit, |at| at + gained);
            received.slow_at = Some(slow_at.min(limit));
        });
    }

    /// Records the reading of the platform's steady clock when the answer was made; of an answer of several
    /// parts, the first part's counts.
    pub fn on_clock(&self, reading: Duration) {
        self.tx.send_modify(|received| {
            received.made_at.get_or_insert(reading);
        });
    }

    /// Records for how long the first bytes had waited for the own process.
    pub fn on_read_late(&self, time: Duration) {
        self.tx.send_modify(|received| {
            received.read_late.get_or_insert(time);
        });
    }

    /// Records that a part of the call itself has been sent.
    pub fn on_sent(&self) {
        self.tx
            .send_modify(|received| received.last_byte_at = Instant::now());
    }

    /// Awaits an answer, and returns `None` once no byte has been sent or received for `max_quiet`, without the time
    /// for which the own process stood still.
    ///
    /// A transfer that goes on is not given up however long it takes: asked for again, it would
    /// begin again and share the link with what is still under way.
    pub async fn unless_quiet<F>(&self, max_quiet: Duration, answer: F) -> Option<F::Output>
    where
        F: Future,
    {
        let received = self.received();
        let mut answer = pin!(answer);
        let mut heard_at = received.borrow().last_byte_at;
        let (mut quiet, mut is_late) = (Duration::ZERO, false);
        loop {
            let wait = max_quiet.saturating_sub(quiet);
            let wait = wait.min(max_quiet / WAITS_PER_QUIET_TIME);
            let wait = if is_late { wait.max(READ_TIME) } else { wait };
            let due = Instant::now() + wait;
            tokio::select! {
                biased;
                output = &mut answer => return Some(output),
                () = sleep_until(due) => {}
            }
            is_late = due.elapsed() >= MIN_LATENESS;
            let last_byte_at = received.borrow().last_byte_at;
            quiet = if last_byte_at == heard_at {
                quiet + wait
            } else {
                due.saturating_duration_since(last_byte_at)
            };
            heard_at = last_byte_at;
            if quiet >= max_quiet && (!is_late || quiet >= max_quiet * MAX_QUIET_TIMES) {
                return None;
            }
        }
    }

    /// Returns a receiver of what has arrived.
    pub fn received(&self) -> watch::Receiver<Received> {
        self.tx.subscribe()
    }
}

/// Receives the body of an answer and reports to `progress` what has arrived.
///
/// # Errors
///
/// [`PlatformError::Unavailable`] if the body ends early or has more than `max_bytes`.
pub async fn receive_body(
    mut body: Incoming,
    max_bytes: usize,
    progress: &Progress,
) -> Result<Bytes, PlatformError> {
    if let Some(bytes) = body.size_hint().exact() {
        progress.expect(bytes);
    }
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| PlatformError::Unavailable)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        progress.add(data.len());
        if received.len() + data.len() > max_bytes {
            return Err(PlatformError::Unavailable);
        }
        received.extend_from_slice(&data);
    }
    Ok(received.freeze())
}
