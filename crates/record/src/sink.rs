//! Bounded queue of log lines between tasks and the thread that writes them.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

/// Maximum number of lines queued for the next batch.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of batches queued for the writing thread.
const MAX_QUEUED_BATCHES: usize = 4;
/// Time for which lines are collected into a batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two reports of dropped or suppressed lines.
const LOSS_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Queues log lines without blocking; all clones share a queue and a writer.
#[derive(Debug, Clone)]
pub struct Sink {
    tx: mpsc::Sender<Vec<u8>>,
    counts: Arc<SinkCounts>,
}

/// Counts received, dropped and suppressed lines.
#[derive(Debug, Default)]
pub struct SinkCounts {
    received: AtomicU64,
    dropped: AtomicU64,
    suppressed: AtomicU64,
}

impl SinkCounts {
    /// Returns the number of lines received, including dropped ones.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of lines dropped because a queue was full or the writer had ended.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of lines suppressed by a rate limit before they reached the sink.
    pub fn suppressed(&self) -> u64 {
        self.suppressed.load(Ordering::Relaxed)
    }
}

impl Sink {
    /// Starts a task and a thread that batch lines and write them to `output`.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the thread can't be started.
    pub fn start<W>(output: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_LINES);
        let (batches_tx, batches_rx) = sync_channel(MAX_QUEUED_BATCHES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(output, &batches_rx))?;
        let counts = Arc::new(SinkCounts::default());
        tokio::spawn(collect_batches(rx, batches_tx, counts.clone()));
        Ok(Self { tx, counts })
    }

    /// Queues a value as a line of JSON.
    pub fn write_json<T>(&self, value: &T)
    where
        T: Serialize,
    {
        if let Ok(mut line) = serde_json::to_vec(value) {
            line.push(b'\n');
            self.write_lines(line);
        }
    }

    /// Queues bytes that must consist of complete lines; counted as one line.
    pub fn write_lines(&self, lines: Vec<u8>) {
        self.counts.received.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(lines).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts lines that the caller suppressed because of a rate limit.
    pub fn count_suppressed(&self, lines: u64) {
        self.counts.suppressed.fetch_add(lines, Ordering::Relaxed);
    }

    /// Returns the counters of this sink and its clones.
    pub fn counts(&self) -> &SinkCounts {
        &self.counts
    }

    /// Returns a writer that queues each write as one line, for log formatters.
    pub fn writer(&self) -> SinkWriter {
        SinkWriter(self.clone())
    }

    /// Waits long enough for lines received before to be handed to the writing thread.
    pub async fn flush(&self) {
        sleep(BATCH_INTERVAL * 2).await;
    }
}

/// Queues each write as one line.
#[derive(Debug)]
pub struct SinkWriter(Sink);

impl Write for SinkWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write_lines(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reports how many lines were dropped or suppressed.
#[derive(Debug, Serialize)]
struct LossReport {
    event: &'static str,
    lines: u64,
}

impl LossReport {
    fn push(&self, batch: &mut Vec<u8>) {
        batch.extend(serde_json::to_vec(self).unwrap_or_default());
        batch.push(b'\n');
    }
}

/// Joins lines into batches and drops a batch if the queue of the writing thread is full.
async fn collect_batches(
    mut rx: mpsc::Receiver<Vec<u8>>,
    batches_tx: SyncSender<Vec<u8>>,
    counts: Arc<SinkCounts>,
) {
    let (mut reported_dropped, mut reported_suppressed) = (0, 0);
    let mut reported_at: Option<Instant> = None;
    while let Some(first) = rx.recv().await {
        sleep(BATCH_INTERVAL).await;
        let mut batch = first;
        let mut lines = 1;
        while let Ok(line) = rx.try_recv() {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let (dropped, suppressed) = (counts.dropped(), counts.suppressed());
        let is_due = reported_at.is_none_or(|at| at.elapsed() >= LOSS_REPORT_INTERVAL);
        if is_due && dropped > reported_dropped {
            let lines = dropped - reported_dropped;
            let event = "lines_dropped";
            LossReport { event, lines }.push(&mut batch);
        }
        if is_due && suppressed > reported_suppressed {
            let lines = suppressed - reported_suppressed;
            let event = "lines_left_out";
            LossReport { event, lines }.push(&mut batch);
        }
        if batches_tx.try_send(batch).is_ok() {
            if is_due {
                reported_at = Some(Instant::now());
                (reported_dropped, reported_suppressed) = (dropped, suppressed);
            }
        } else {
            counts.dropped.fetch_add(lines, Ordering::Relaxed);
        }
    }
}

fn write_batches<W>(mut output: W, batches_rx: &Receiver<Vec<u8>>)
where
    W: Write,
{
    while let Ok(batch) = batches_rx.recv() {
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
