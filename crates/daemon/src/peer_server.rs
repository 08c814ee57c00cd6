//! Listener for other instances, which call this one or have it carry connections to targets.

use std::{io, sync::Arc, time::Duration};

use entry::metrics::Metrics;
use platform::Progress;
use serde::Serialize;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    time::{sleep, timeout},
};
use wire::{Secret, WireError, stream};

use crate::{
    format::OWN_FORMAT,
    relay::{Encoding, RelayServer, RelayedTarget},
    rpc::{CALL_TIMEOUT, Call, IncomingCall, Nonce, Opening, Reply},
};

/// Time until the next try to accept a connection after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Fact that counts calls of other builds which can't be read.
const UNREAD_GAUGE: &str = "calls_unread";

/// Maximum number of whole tables, or large numbers of their parts, that are sent to other instances at
/// the same time.
const MAX_TABLES_SENT: usize = 2;
/// Number of parts that are sent whatever else is being sent.
const FEW_PARTS: usize = 64;

/// Accepts calls until the receiver of `tx` is dropped; `relays` answers those for connections to
/// targets. Calls that can't be read are counted and not answered.
pub async fn serve(
    listener: TcpListener,
    secret: Secret,
    tx: mpsc::Sender<IncomingCall>,
    relays: RelayServer,
    metrics: Metrics,
) {
    let tables = Arc::new(Semaphore::new(MAX_TABLES_SENT));
    while !tx.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(handle_connection(
                    stream,
                    secret.clone(),
                    tx.clone(),
                    relays.clone(),
                    metrics.clone(),
                    tables.clone(),
                ));
            }
            // Without a descriptor, each further try fails at once.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn handle_connection(
    mut stream: TcpStream,
    secret: Secret,
    tx: mpsc::Sender<IncomingCall>,
    relays: RelayServer,
    metrics: Metrics,
    tables: Arc<Semaphore>,
) -> io::Result<()> {
    let progress = Progress::start();
    let received = receive(&mut stream, &secret, &progress);
    let Some(received) = progress.unless_quiet(CALL_TIMEOUT, received).await else {
        return Err(io::ErrorKind::TimedOut.into());
    };
    let Some(received) = received? else {
        return Ok(());
    };
    let (peer_nonce, opening) = match received {
        Ok(received) => received,
        Err(WireError::Unread) => {
            count_unread(&metrics, &stream);
            return Ok(());
        }
        Err(err) => return Err(io::Error::other(err)),
    };
    match opening {
        Opening::Call(call) => {
            let Some(_reservation) = reserve_transfer(&call, &tables) else {
                return write_reply(&mut stream, &secret, &peer_nonce, &refusal(&call)).await;
            };
            let reply = timeout(CALL_TIMEOUT, answer_call(call, &tx)).await??;
            write_reply(&mut stream, &secret, &peer_nonce, &reply).await
        }
        Opening::Relay(target) => {
            let opened = relays.open(&target).await;
            relay(stream, &secret, &peer_nonce, opened, Encoding::Plain).await
        }
        Opening::MarkedRelay(target) => {
            let opened = relays.open(&target).await;
            relay(stream, &secret, &peer_nonce, opened, Encoding::Marked).await
        }
    }
}

/// Answers whether a target could be reached for another instance, and carries the connection if so;
/// closes it without an answer if too many are carried already.
async fn relay(
    mut stream: TcpStream,
    secret: &Secret,
    peer_nonce: &Nonce,
    opened: Option<RelayedTarget>,
    encoding: Encoding,
) -> io::Result<()> {
    let Some(relayed) = opened else {
        return Ok(());
    };
    write_reply(&mut stream, secret, peer_nonce, &relayed.is_open()).await?;
    relayed.carry(stream, encoding).await;
    Ok(())
}

/// Reserves one of the places of tables that are being sent while a call for a table is answered; `None` if all
/// are taken: the caller asks another instance after its retry delay.
fn reserve_transfer(call: &Call, tables: &Arc<Semaphore>) -> Option<Reservation> {
    match call {
        Call::Parts { ids, .. } if ids.len() <= FEW_PARTS => Some(Reservation::NotNeeded),
        Call::Table(_) | Call::PackedTable(_) | Call::Parts { .. } => {
            let permit = tables.clone().try_acquire_owned().ok()?;
            Some(Reservation::Table { _permit: permit })
        }
        Call::Claim { .. } | Call::Settle { .. } | Call::Object(_) | Call::TableList { .. } => {
            Some(Reservation::NotNeeded)
        }
    }
}

/// Returns the reply to a call for which there is no place.
fn refusal(call: &Call) -> Reply {
    match call {
        Call::Parts { .. } => Reply::Parts(None),
        Call::PackedTable(_) => Reply::PackedTable(None),
        _ => Reply::Table(None),
    }
}

/// What a call needs to be answered, until it is dropped.
enum Reservation {
    NotNeeded,
    Table { _permit: OwnedSemaphorePermit },
}

async fn answer_call(call: Call, tx: &mpsc::Sender<IncomingCall>) -> io::Result<Reply> {
    let (reply, answer) = oneshot::channel();
    let _ = tx.send(IncomingCall { call, reply }).await;
    answer.await.map_err(io::Error::other)
}

async fn write_reply<T>(
    stream: &mut TcpStream,
    secret: &Secret,
    peer_nonce: &Nonce,
    reply: &T,
) -> io::Result<()>
where
    T: Serialize,
{
    let frame = secret
        .seal_with_nonce(peer_nonce, reply)
        .map_err(io::Error::other)?;
    stream::write_unless_stuck(stream, &frame, CALL_TIMEOUT, || {}).await
}

/// Reads what a connection is opened for, and the nonce with which the reply is to be sealed.
async fn receive(
    stream: &mut TcpStream,
    secret: &Secret,
    progress: &Progress,
) -> io::Result<Option<Result<(Nonce, Opening), WireError>>> {
    stream.set_nodelay(true)?;
    let own_nonce: Nonce = rand::random();
    stream.write_all(&own_nonce).await?;
    let read = stream::read_reporting(stream, |_| {}, |bytes| progress.add(bytes));
    let Some(frame) = read.await? else {
        return Ok(None);
    };
    Ok(Some(secret.open_with_nonce(&own_nonce, &frame)))
}

/// Counts a call that can't be read; only the first one is logged, since callers are not known by name.
fn count_unread(metrics: &Metrics, stream: &TcpStream) {
    let count = metrics.gauges.with_label_values(&[UNREAD_GAUGE]);
    count.inc();
    if count.get() == 1 {
        let from = stream.peer_addr().ok().map(|addr| addr.ip().to_string());
        tracing::warn!(event = "call_unread", from, own_format = OWN_FORMAT);
    }
}
