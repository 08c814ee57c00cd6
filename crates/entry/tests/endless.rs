//! Targets whose answers never end: an instance holds a bounded part of them and closes the
//! connection.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use dispatch::Outcome;
use entry::view::Clock;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::support::{forwarder, send};

const MIB: usize = 1024 * 1024;
/// Bytes that all answers together may occupy.
const MAX_HELD_BYTES: usize = 64 * MIB;
/// Bytes of a connection that the kernel may buffer in addition to the instance.
const KERNEL_BYTES: usize = 8 * MIB;
/// Bytes after which a target gives up; well over any bound.
const GIVE_UP_BYTES: usize = 256 * MIB;

/// Counts what a target has sent on its open connections.
#[derive(Debug, Default)]
struct SentBytes {
    open: AtomicUsize,
    /// Maximum of `open` so far.
    peak: AtomicUsize,
    /// Maximum of what was sent on one connection.
    largest: AtomicUsize,
}

impl SentBytes {
    fn add(&self, bytes: usize) {
        let open = self.open.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.peak.fetch_max(open, Ordering::Relaxed);
    }

    fn close(&self, sent: usize) {
        self.open.fetch_sub(sent, Ordering::Relaxed);
        self.largest.fetch_max(sent, Ordering::Relaxed);
    }
}

/// Starts a target that answers each request with `head` and then repeats `part` until the connection
/// is closed, and returns what it sends.
async fn start_endless(head: &'static str, part: Vec<u8>) -> (SocketAddr, Arc<SentBytes>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counts = Arc::new(SentBytes::default());
    let (part, shared) = (Arc::new(part), counts.clone());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (counts, part) = (shared.clone(), part.clone());
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await;
                let mut sent = 0;
                if stream.write_all(head.as_bytes()).await.is_ok() {
                    while sent < GIVE_UP_BYTES && stream.write_all(&part).await.is_ok() {
                        sent += part.len();
                        counts.add(part.len());
                    }
                }
                counts.close(sent);
            });
        }
    });
    (addr, counts)
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\n";

fn chunk() -> Vec<u8> {
    let mut chunk = b"10000\r\n".to_vec();
    chunk.extend_from_slice(&[b'x'; 0x1_0000]);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Guards against answers that fill the memory: with several endless ones at once, all together get
/// no more than the bound, the connections are closed well before the deadline, and none is taken
/// for an answer.
#[rstest]
#[case::chunks(CHUNKED, chunk())]
#[case::no_length(UNFRAMED, vec![b'x'; 0x1_0000])]
#[case::head("HTTP/1.1 200 OK\r\n", b"x-more: and more\r\n".repeat(64))]
#[case::interim_heads("", b"HTTP/1.1 100 Continue\r\n\r\n".repeat(64))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answer_is_bounded(#[case] head: &'static str, #[case] part: Vec<u8>) {
    const REQUESTS: usize = 6;
    let clock = Clock::start();
    let forwarder = forwarder(clock);
    let (addr, sent) = start_endless(head, part).await;
    let started = Instant::now();
    let mut attempts = JoinSet::new();
    for _ in 0..REQUESTS {
        let forwarder = forwarder.clone();
        attempts.spawn(async move { send(&forwarder, clock, addr).await });
    }
    while let Some(result) = attempts.join_next().await {
        assert_eq!(result.unwrap().outcome, Outcome::Lost);
    }
    assert!(started.elapsed() < Duration::from_secs(10));
    // Lets the target notice that its connections are closed.
    sleep(Duration::from_millis(200)).await;
    let peak = sent.peak.load(Ordering::Relaxed);
    let max = MAX_HELD_BYTES + REQUESTS * KERNEL_BYTES;
    assert!(peak <= max, "{} MiB of {} MiB", peak / MIB, max / MIB);
    // No answer gets more than it leaves to the others.
    let largest = sent.largest.load(Ordering::Relaxed);
    let max = MAX_HELD_BYTES / 2 + KERNEL_BYTES;
    assert!(largest <= max, "{} MiB of {} MiB", largest / MIB, max / MIB);
}

/// An answer of usual size comes through while others never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_passes_beside_endless_ones() {
    let clock = Clock::start();
    let forwarder = forwarder(clock);
    let (endless, _sent) = start_endless(CHUNKED, chunk()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {MIB}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; MIB]).await;
        }
    });
    let mut attempts = JoinSet::new();
    for _ in 0..12 {
        let forwarder = forwarder.clone();
        attempts.spawn(async move { send(&forwarder, clock, endless).await });
    }
    for _ in 0..10 {
        let result = send(&forwarder, clock, addr).await;
        assert!(matches!(result.outcome, Outcome::Answered(_)), "{result:?}");
        assert_eq!(result.response.unwrap().body.len(), MIB);
    }
}
