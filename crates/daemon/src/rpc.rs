//! Remote calls between instances over TCP: claiming and settling actions, and fetching
//! configuration objects and tables.

use std::{io, net::SocketAddr, time::Duration};

use base::Incarnation;
use coord::TableSnapshot;
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, SavedAnswer};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time::timeout,
};
use wire::{Secret, stream};

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

/// Accepts calls until the receiver of `tx` is dropped.
pub async fn serve(listener: TcpListener, secret: Secret, tx: mpsc::Sender<IncomingCall>) {
    while !tx.is_closed() {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(timeout(
                CALL_TIMEOUT,
                handle_connection(stream, secret.clone(), tx.clone()),
            ));
        }
    }
}

/// Calls the instance at `addr`; returns `None` if no authentic reply arrives before the timeout.
pub async fn call(secret: &Secret, addr: SocketAddr, call: &Call) -> Option<Reply> {
    let exchange = exchange(secret, addr, call);
    timeout(CALL_TIMEOUT, exchange).await.ok()?.ok()
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

async fn exchange(secret: &Secret, addr: SocketAddr, call: &Call) -> io::Result<Reply> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut peer_nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_nonce).await?;
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    let frame = secret
        .seal_with_nonce(&peer_nonce, &(own_nonce, call))
        .map_err(io::Error::other)?;
    stream::write(&mut stream, &frame).await?;
    let frame = stream::read(&mut stream)
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    secret
        .open_with_nonce(&own_nonce, &frame)
        .map_err(io::Error::other)
}

async fn handle_connection(
    mut stream: TcpStream,
    secret: Secret,
    tx: mpsc::Sender<IncomingCall>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&own_nonce).await?;
    let Some(frame) = stream::read(&mut stream).await? else {
        return Ok(());
    };
    let (peer_nonce, call): ([u8; NONCE_BYTES], Call) = secret
        .open_with_nonce(&own_nonce, &frame)
        .map_err(io::Error::other)?;
    let (reply, answer) = oneshot::channel();
    let _ = tx.send(IncomingCall { call, reply }).await;
    let reply = answer.await.map_err(io::Error::other)?;
    let frame = secret
        .seal_with_nonce(&peer_nonce, &reply)
        .map_err(io::Error::other)?;
    stream::write(&mut stream, &frame).await
}
