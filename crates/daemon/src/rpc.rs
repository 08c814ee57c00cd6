//! Remote calls between instances over TCP: claiming and settling actions, and fetching
//! configuration objects and tables.

use std::{io, net::SocketAddr, time::Duration};

use base::{Incarnation, TargetId};
use coord::TableSnapshot;
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, SavedAnswer};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time::timeout,
};
use wire::{Secret, stream};

use crate::relay::{Encoding, RelayServer, RelayedTarget};

/// Requests something from another instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// Claims an action whose home, the instance that stores its record, is the called instance.
    Claim {
        /// Incarnation of the home that the action's key names.
        incarnation: Incarnation,
        /// The action.
        key: ActionKey,
        /// Request that claims it.
        claimer: Claimer,
        /// Digest of the request.
        fingerprint: u64,
    },
    /// Reports the outcome of a claimed action to its home.
    Settle {
        /// The action.
        key: ActionKey,
        /// Request that claimed it.
        claimer: Claimer,
        /// Outcome of the action.
        event: ActionEvent,
        /// Response to replay to repeats of the request; `None` if none was received.
        answer: Option<SavedAnswer>,
    },
    /// Fetches the configuration with this digest.
    Object(String),
    /// Fetches the followed table with this index.
    Table(u32),
}

/// Answers a [`Call`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// Answers a claim.
    Claim(ClaimOutcome),
    /// Confirms that the outcome is recorded.
    Settled,
    /// Carries the configuration's text, or `None` if the instance doesn't have it.
    Object(Option<String>),
    /// Carries the table, or `None` if the instance hasn't read it.
    Table(Option<TableSnapshot>),
}

/// Opens a connection between two instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Opening {
    /// Calls the other instance, which answers with a [`Reply`] and closes the connection.
    Call(Call),
    /// Asks for a connection to this target. The other instance answers whether it reached the
    /// target; if so, the connection carries the target's bytes from then on. Only builds before
    /// [`Opening::MarkedRelay`] ask for it.
    Relay(TargetId),
    /// Asks as [`Opening::Relay`] does; the target's bytes come in chunks and their end is marked.
    MarkedRelay(TargetId),
}

/// Carries a received call to the task that answers it.
#[derive(Debug)]
pub struct IncomingCall {
    /// The call.
    pub call: Call,
    /// Channel for the reply.
    pub reply: oneshot::Sender<Reply>,
}

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const NONCE_BYTES: usize = 16;

type Nonce = [u8; NONCE_BYTES];

/// Accepts calls until the receiver of `tx` is dropped; `relays` answers those for connections to
/// targets.
pub async fn serve(
    listener: TcpListener,
    secret: Secret,
    tx: mpsc::Sender<IncomingCall>,
    relays: RelayServer,
) {
    while !tx.is_closed() {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(handle_connection(
                stream,
                secret.clone(),
                tx.clone(),
                relays.clone(),
            ));
        }
    }
}

/// Calls the instance at `addr`; returns `None` if no authentic reply arrives before the timeout.
pub async fn call(secret: &Secret, addr: SocketAddr, call: &Call) -> Option<Reply> {
    let opening = Opening::Call(call.clone());
    let exchange = exchange(secret, addr, &opening);
    let (reply, _) = timeout(CALL_TIMEOUT, exchange).await.ok()?.ok()?;
    Some(reply)
}

/// Fetches the configuration with this digest from the instance at `addr`.
///
/// The text is not checked against the digest.
pub async fn fetch_object(secret: &Secret, addr: SocketAddr, digest: &str) -> Option<String> {
    match call(secret, addr, &Call::Object(digest.to_owned())).await? {
        Reply::Object(text) => text,
        Reply::Claim(_) | Reply::Settled | Reply::Table(_) => None,
    }
}

/// Fetches the followed table with this index from the instance at `addr`.
pub async fn fetch_table(secret: &Secret, addr: SocketAddr, index: u32) -> Option<TableSnapshot> {
    match call(secret, addr, &Call::Table(index)).await? {
        Reply::Table(snapshot) => snapshot,
        Reply::Claim(_) | Reply::Settled | Reply::Object(_) => None,
    }
}

/// Opens a connection to the instance at `addr` and returns its authentic reply with the stream
/// that it came on.
pub(crate) async fn exchange<T>(
    secret: &Secret,
    addr: SocketAddr,
    opening: &Opening,
) -> io::Result<(T, TcpStream)>
where
    T: DeserializeOwned,
{
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut peer_nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_nonce).await?;
    let own_nonce: Nonce = rand::random();
    let frame = secret
        .seal_with_nonce(&peer_nonce, &(own_nonce, opening))
        .map_err(io::Error::other)?;
    stream::write(&mut stream, &frame).await?;
    let frame = stream::read(&mut stream)
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let reply = secret
        .open_with_nonce(&own_nonce, &frame)
        .map_err(io::Error::other)?;
    Ok((reply, stream))
}

async fn handle_connection(
    mut stream: TcpStream,
    secret: Secret,
    tx: mpsc::Sender<IncomingCall>,
    relays: RelayServer,
) -> io::Result<()> {
    let Some((peer_nonce, opening)) =
        timeout(CALL_TIMEOUT, receive(&mut stream, &secret)).await??
    else {
        return Ok(());
    };
    match opening {
        Opening::Call(call) => {
            let answered = answer_call(&mut stream, &secret, &peer_nonce, call, &tx);
            timeout(CALL_TIMEOUT, answered).await?
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

async fn answer_call(
    stream: &mut TcpStream,
    secret: &Secret,
    peer_nonce: &Nonce,
    call: Call,
    tx: &mpsc::Sender<IncomingCall>,
) -> io::Result<()> {
    let (reply, answer) = oneshot::channel();
    let _ = tx.send(IncomingCall { call, reply }).await;
    let reply = answer.await.map_err(io::Error::other)?;
    write_reply(stream, secret, peer_nonce, &reply).await
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
    stream::write(stream, &frame).await
}

/// Reads what a connection is opened for, and the nonce with which the reply is to be sealed.
async fn receive(stream: &mut TcpStream, secret: &Secret) -> io::Result<Option<(Nonce, Opening)>> {
    stream.set_nodelay(true)?;
    let own_nonce: Nonce = rand::random();
    stream.write_all(&own_nonce).await?;
    let Some(frame) = stream::read(stream).await? else {
        return Ok(None);
    };
    let opened = secret.open_with_nonce(&own_nonce, &frame);
    opened.map(Some).map_err(io::Error::other)
}
