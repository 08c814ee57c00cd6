//! Connections to targets that one instance opens through another one, and those that it can't read.

use std::{net::SocketAddr, sync::Arc};

use base::{Service, Target};
use daemon::{
    peer_server,
    relay::{self, RelayServer},
};
use entry::{
    dial::{RelayError, RelayRequest},
    metrics::Metrics,
    view::View,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use standin::config::service;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::Builder,
    sync::{mpsc, oneshot, watch},
};
use wire::{Secret, marked::MarkedStream, stream};

/// Serves connections for others to a target `t` at this address, and returns the channel on which
/// they are asked for with the address of the serving instance.
async fn start(
    target: SocketAddr,
    is_drained: bool,
) -> (mpsc::UnboundedSender<RelayRequest>, SocketAddr) {
    let addr = serve(target, is_drained).await;
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(relay::run(Secret::derive("a secret for tests only"), rx));
    (tx, addr)
}

async fn serve(target: SocketAddr, is_drained: bool) -> SocketAddr {
    serve_counting(target, is_drained, Metrics::new().unwrap()).await
}

async fn serve_counting(target: SocketAddr, is_drained: bool, metrics: Metrics) -> SocketAddr {
    let mut config = standin::config::config([("d", "r")]);
    let target = Target {
        addr: target,
        ..standin::config::target("d", None)
    };
    let service = Service {
        targets: [("t".into(), target)].into(),
        ..service(1, 1_000)
    };
    config.services.insert("s".into(), service);
    if is_drained {
        config.drains.targets_in_domains.insert("d".into());
    }
    let view = View {
        config: Some((1, Arc::new(config))),
        ..View::default()
    };
    let (_, view) = watch::channel(Arc::new(view));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let secret = Secret::derive("a secret for tests only");
    let (calls, calls_rx) = mpsc::channel(1);
    let (engine, _) = mpsc::unbounded_channel();
    let relays = RelayServer::new(view, engine);
    tokio::spawn(async move {
        let _calls = calls_rx;
        peer_server::serve(listener, secret, calls, relays, metrics).await;
    });
    addr
}

async fn open(
    tx: &mpsc::UnboundedSender<RelayRequest>,
    relay: SocketAddr,
    target: &str,
) -> Result<MarkedStream<TcpStream>, RelayError> {
    let (reply, answer) = oneshot::channel();
    let request = RelayRequest {
        relay,
        target: target.into(),
        reply,
    };
    tx.send(request).unwrap();
    answer.await.unwrap()
}

/// Bytes pass in both directions, and an end that closes closes the other one.
#[tokio::test]
async fn relay_carries_bytes_and_close() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (tx, relay) = start(target.local_addr().unwrap(), false).await;
    let mut near = open(&tx, relay, "t").await.unwrap();
    let (mut far, _) = target.accept().await.unwrap();
    near.write_all(b"question").await.unwrap();
    let mut buf = [0; 8];
    far.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"question");
    far.write_all(b"answer").await.unwrap();
    drop(far);
    let mut answer = Vec::new();
    near.read_to_end(&mut answer).await.unwrap();
    assert_eq!(answer, b"answer");

    let near = open(&tx, relay, "t").await.unwrap();
    let (mut far, _) = target.accept().await.unwrap();
    drop(near);
    assert_eq!(far.read(&mut buf).await.unwrap(), 0);
}

/// Guards against an answer that is cut off looking complete: a reset is passed on as a reset.
#[tokio::test]
async fn relay_passes_reset_on() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (tx, relay) = start(target.local_addr().unwrap(), false).await;
    let mut near = open(&tx, relay, "t").await.unwrap();
    let (mut far, _) = target.accept().await.unwrap();
    far.write_all(b"half an").await.unwrap();
    let mut buf = [0; 7];
    near.read_exact(&mut buf).await.unwrap();
    far.set_zero_linger().unwrap();
    drop(far);
    assert!(near.read(&mut buf).await.is_err());
}

/// MIXED: an answer that another instance carried looked complete when that one's process ended, as
/// its kernel closes its connections in order.
#[tokio::test]
async fn relay_that_ends_breaks_the_answer() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = target.local_addr().unwrap();
    let carrier = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let relay = carrier.spawn(serve(addr, false)).await.unwrap();
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(relay::run(Secret::derive("a secret for tests only"), rx));
    let mut near = open(&tx, relay, "t").await.unwrap();
    let (mut far, _) = target.accept().await.unwrap();
    far.write_all(b"half an").await.unwrap();
    let mut buf = [0; 7];
    near.read_exact(&mut buf).await.unwrap();
    carrier.shutdown_background();
    let mut rest = Vec::new();
    assert!(near.read_to_end(&mut rest).await.is_err(), "{rest:?}");
}

/// What the other instance can't reach, or may not send to, is distinguished from an instance that can't
/// help.
#[rstest]
#[case::unknown_target("other", false)]
#[case::drained_target("t", true)]
#[tokio::test]
async fn relay_refuses(#[case] name: &str, #[case] is_drained: bool) {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (tx, relay) = start(target.local_addr().unwrap(), is_drained).await;
    let refused = open(&tx, relay, name).await;
    assert_eq!(refused.unwrap_err(), RelayError::TargetUnreachable);
}

#[tokio::test]
async fn relay_is_unavailable() {
    // Bound without listening, so that no other socket gets its port.
    let unused = TcpSocket::new_v4().unwrap();
    unused.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let nobody = unused.local_addr().unwrap();
    let (tx, _) = start(nobody, false).await;
    let refused = open(&tx, nobody, "t").await;
    assert_eq!(refused.unwrap_err(), RelayError::RelayUnavailable);
}

/// Calls of a later build, cut off, with lengths beyond their end or made up: the authentic ones are
/// counted, none is answered, and the next connection is carried.
#[tokio::test]
async fn unread_calls_are_counted_and_change_nothing() {
    const CALLS: u64 = 600;
    /// Kinds of openings that no landed format has.
    const UNKNOWN_KINDS: std::ops::Range<u8> = 20..100;
    let mut rng = Pcg32::seed_from_u64(28);
    let secret = Secret::derive("a secret for tests only");
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let metrics = Metrics::new().unwrap();
    let addr = serve_counting(target.local_addr().unwrap(), false, metrics.clone()).await;
    let mut authentic = 0;
    for _ in 0..CALLS {
        let mut near = TcpStream::connect(addr).await.unwrap();
        let mut nonce = [0; 16];
        near.read_exact(&mut nonce).await.unwrap();
        let own_nonce: [u8; 16] = rng.random();
        let mut frame = match rng.random_range(0..3) {
            0 => {
                let kind: u8 = rng.random_range(UNKNOWN_KINDS);
                let fields: [u8; 8] = rng.random();
                secret.seal_with_nonce(&nonce, &(own_nonce, kind, fields))
            }
            1 => secret.seal_with_nonce(&nonce, &own_nonce),
            // A connection to a target whose name is longer than the rest.
            _ => secret.seal_with_nonce(&nonce, &(own_nonce, 2u8, 40u8, *b"t")),
        }
        .unwrap();
        if rng.random_bool(0.25) {
            let idx = rng.random_range(0..frame.len());
            frame[idx] ^= 1 << rng.random_range(0..8);
        } else {
            authentic += 1;
        }
        stream::write(&mut near, &frame).await.unwrap();
        let mut answer = Vec::new();
        // A connection that is reset is not answered either.
        let _ = near.read_to_end(&mut answer).await;
        assert_eq!(answer, b"");
    }
    let counted = metrics.gauges.with_label_values(&["calls_unread"]).get();
    assert_eq!(counted, authentic);
    assert!(counted > 300, "{counted}");
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(relay::run(secret, rx));
    assert!(open(&tx, addr, "t").await.is_ok());
}
