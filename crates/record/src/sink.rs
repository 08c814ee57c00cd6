//! The bounded way from tasks to the thread that writes.

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

/// Lines that wait for the next batch at most.
const MOST_LINES: usize = 4_096;
/// Batches that wait for the writing thread at most.
const MOST_BATCHES: usize = 4;
/// Time over which lines are collected into a batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two lines that tell of missing ones.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Takes lines; a clone feeds the same writer.
#[derive(Debug, Clone)]
pub struct Sink {
    tx: mpsc::Sender<Vec<u8>>,
    counts: Arc<SinkCounts>,
}

/// Counts what became of lines.
#[derive(Debug, Default)]
pub struct SinkCounts {
    received: AtomicU64,
    dropped: AtomicU64,
    suppressed: AtomicU64,
}

impl SinkCounts {
    /// Returns the lines received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the lines lost because the reader or the writer was too slow.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the lines that were not written because the volume was used up.
    pub fn suppressed(&self) -> u64 {
        self.suppressed.load(Ordering::Relaxed)
    }
}

impl Sink {
    /// Starts a task and a thread that write lines to `output`.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where the thread can't be started.
    pub fn start<W>(output: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = mpsc::channel(MOST_LINES);
        let (batches, to_write) = sync_channel(MOST_BATCHES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(output, &to_write))?;
        let counts = Arc::new(SinkCounts::default());
        tokio::spawn(collect(rx, batches, counts.clone()));
        Ok(Self { tx, counts })
    }

    /// Takes one value as a JSON line.
    pub fn write_json<T>(&self, value: &T)
    where
        T: Serialize,
    {
        if let Ok(mut line) = serde_json::to_vec(value) {
            line.push(b'\n');
            self.write_lines(line);
        }
    }

    /// Takes whole lines, with their ends.
    pub fn write_lines(&self, lines: Vec<u8>) {
        self.counts.received.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(lines).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts lines that their writer left out because its volume was used up.
    pub fn count_suppressed(&self, lines: u64) {
        self.counts.suppressed.fetch_add(lines, Ordering::Relaxed);
    }

    /// Returns the counts.
    pub fn counts(&self) -> &SinkCounts {
        &self.counts
    }

    /// Returns a writer whose every write is one line, for formatters.
    pub fn writer(&self) -> SinkWriter {
        SinkWriter(self.clone())
    }

    /// Waits until what was received before has been handed to the writing thread.
    pub async fn flush(&self) {
        sleep(BATCH_INTERVAL * 2).await;
    }
}

/// Takes each write as one line.
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

/// Tells how many lines are missing.
#[derive(Debug, Serialize)]
struct Missing {
    event: &'static str,
    lines: u64,
}

impl Missing {
    fn push(&self, batch: &mut Vec<u8>) {
        batch.extend(serde_json::to_vec(self).unwrap_or_default());
        batch.push(b'\n');
    }
}

/// Joins lines into batches; a batch for which the thread has no room is counted as dropped.
async fn collect(
    mut rx: mpsc::Receiver<Vec<u8>>,
    batches: SyncSender<Vec<u8>>,
    counts: Arc<SinkCounts>,
) {
    let (mut told_dropped, mut told_suppressed) = (0, 0);
    let mut told_at: Option<Instant> = None;
    while let Some(first) = rx.recv().await {
        sleep(BATCH_INTERVAL).await;
        let mut batch = first;
        let mut lines = 1;
        while let Ok(line) = rx.try_recv() {
            batch.extend_from_slice(&line);
            lines += 1;
        }
        let (dropped, suppressed) = (counts.dropped(), counts.suppressed());
        let is_due = told_at.is_none_or(|at| at.elapsed() >= TELL_INTERVAL);
        if is_due && dropped > told_dropped {
            let lines = dropped - told_dropped;
            let event = "lines_dropped";
            Missing { event, lines }.push(&mut batch);
        }
        if is_due && suppressed > told_suppressed {
            let lines = suppressed - told_suppressed;
            let event = "lines_left_out";
            Missing { event, lines }.push(&mut batch);
        }
        if batches.try_send(batch).is_ok() {
            if is_due {
                told_at = Some(Instant::now());
                (told_dropped, told_suppressed) = (dropped, suppressed);
            }
        } else {
            counts.dropped.fetch_add(lines, Ordering::Relaxed);
        }
    }
}

fn write_all<W>(mut output: W, batches: &Receiver<Vec<u8>>)
where
    W: Write,
{
    while let Ok(batch) = batches.recv() {
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
