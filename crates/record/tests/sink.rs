//! Queues and rates of log lines are bounded, and a stalled reader delays no request.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use proof::writer::{BlockedWriter, ChannelWriter};
use record::{LineLimiter, Sink};
use rstest::rstest;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[tokio::test]
async fn sink_writes_whole_lines_in_order() {
    let output = SharedBuffer::default();
    let sink = Sink::start(output.clone()).unwrap();
    for idx in 0..100 {
        sink.write_json(&serde_json::json!({"event": "x", "idx": idx}));
    }
    let mut text = String::new();
    for _ in 0..100 {
        sink.flush().await;
        text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
        if text.lines().count() == 100 {
            break;
        }
    }
    for (idx, line) in text.lines().enumerate() {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["idx"], idx);
    }
    assert_eq!(text.lines().count(), 100);
}

#[tokio::test(start_paused = true)]
async fn sink_with_a_stopped_reader_drops_and_counts() {
    let (reader, stopped) = mpsc::channel();
    let sink = Sink::start(BlockedWriter(stopped)).unwrap();
    let started = tokio::time::Instant::now();
    for _ in 0..20 {
        for _ in 0..5_000 {
            sink.write_json(&"a line");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(started.elapsed(), Duration::from_secs(2));
    let counts = sink.counts();
    assert_eq!(counts.received(), 100_000);
    // 4,096 lines are queued, and as many are in each of four queued batches and in the batch that
    // is being written.
    assert!(counts.dropped() >= 100_000 - 6 * 4_096);
    drop(reader);
}

#[rstest]
#[case::below_limit(50, 0, 50, 0)]
#[case::burst_of_successes(2_000, 0, 50, 0)]
#[case::burst_of_both(2_000, 2_000, 50, 50)]
#[case::failures_alone(0, 2_000, 0, 100)]
fn limiter_suppresses_successes_first(
    #[case] successes: u32,
    #[case] failures: u32,
    #[case] written_successes: u32,
    #[case] written_failures: u32,
) {
    let mut limiter = LineLimiter::new(100.0);
    let now = Duration::from_secs(1);
    let count = |limiter: &mut LineLimiter, lines, is_failure| {
        (0..lines)
            .filter(|_| limiter.admit(now, is_failure))
            .count() as u32
    };
    assert_eq!(count(&mut limiter, successes, false), written_successes);
    assert_eq!(count(&mut limiter, failures, true), written_failures);
    let suppressed = successes + failures - written_successes - written_failures;
    assert_eq!(limiter.take_suppressed(), u64::from(suppressed));
}

#[tokio::test(start_paused = true)]
async fn sink_reports_suppressed_lines_once_a_second() {
    let (tx, rx) = mpsc::channel();
    let sink = Sink::start(ChannelWriter(tx)).unwrap();
    let mut text = String::new();
    for idx in 0..10 {
        sink.count_suppressed(7);
        sink.write_json(&idx);
        tokio::time::sleep(Duration::from_millis(150)).await;
        // The writing thread does not follow the paused clock, so wait for each batch.
        let batch = rx.recv_timeout(Duration::from_secs(10)).unwrap();
        text.push_str(&batch);
    }
    let reports: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("lines_left_out"))
        .collect();
    // Batches end from 0.1 to 1.45 seconds; the second report is in the first batch after 1.1.
    assert_eq!(
        reports,
        [
            r#"{"event":"lines_left_out","lines":7}"#,
            r#"{"event":"lines_left_out","lines":49}"#
        ]
    );
    assert_eq!(sink.counts().suppressed(), 70);
}
