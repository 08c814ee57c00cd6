//! Calls between instances over TCP: claims of actions and objects.

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

/// Asks another instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// Claims an action whose home is the called instance.
    Claim {
        /// Life of the home that the action's key names.
        life: Incarnation,
        /// The action.
        key: ActionKey,
        /// Request that claims it.
        claimer: Claimer,
        /// Digest of the request.
        fingerprint: u64,
    },
    /// Tells the home what became of a claimed action.
    Settle {
        /// The action.
        key: ActionKey,
        /// Request that had claimed it.
        claimer: Claimer,
        /// What became of it.
        event: ActionEvent,
        /// The answer, where there is one.
        answer: Option<SavedAnswer>,
    },
    /// Asks for the configuration with this digest.
    Object(String),
    /// Asks for the followed table with this number.
    Table(u32),
}

/// Answers a [`Call`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// Answers a claim.
    Claim(ClaimOutcome),
    /// The settlement is recorded.
    Settled,
    /// The object's text, where the instance has it.
    Object(Option<String>),
    /// The table, where the instance has read it.
    Table(Option<TableSnapshot>),
}

/// Carries a call to the task that answers it.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub call: Call,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Reply>,
}

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const NONCE_BYTES: usize = 16;

/// Accepts calls until the receiver of `tx` is gone.
pub async fn serve(listener: TcpListener, secret: Secret, tx: mpsc::Sender<Incoming>) {
    while !tx.is_closed() {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(timeout(
                CALL_TIMEOUT,
                answer(stream, secret.clone(), tx.clone()),
            ));
        }
    }
}

/// Calls the instance at `addr`; `None` where no authentic reply came in time.
pub async fn call(secret: &Secret, addr: SocketAddr, call: &Call) -> Option<Reply> {
    let exchange = exchange(secret, addr, call);
    timeout(CALL_TIMEOUT, exchange).await.ok()?.ok()
}

/// Fetches the configuration with this digest from the instance at `addr`.
pub async fn fetch_object(secret: &Secret, addr: SocketAddr, digest: &str) -> Option<String> {
    match call(secret, addr, &Call::Object(digest.to_owned())).await? {
        Reply::Object(text) => text,
        Reply::Claim(_) | Reply::Settled | Reply::Table(_) => None,
    }
}

/// Fetches the followed table with this number from the instance at `addr`.
pub async fn fetch_table(secret: &Secret, addr: SocketAddr, number: u32) -> Option<TableSnapshot> {
    match call(secret, addr, &Call::Table(number)).await? {
        Reply::Table(image) => image,
        Reply::Claim(_) | Reply::Settled | Reply::Object(_) => None,
    }
}

async fn exchange(secret: &Secret, addr: SocketAddr, call: &Call) -> io::Result<Reply> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut theirs = [0; NONCE_BYTES];
    stream.read_exact(&mut theirs).await?;
    let ours: [u8; NONCE_BYTES] = rand::random();
    let frame = secret
        .seal_with_nonce(&theirs, &(ours, call))
        .map_err(io::Error::other)?;
    stream::write(&mut stream, &frame).await?;
    let frame = stream::read(&mut stream)
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    secret
        .open_with_nonce(&ours, &frame)
        .map_err(io::Error::other)
}

async fn answer(
    mut stream: TcpStream,
    secret: Secret,
    tx: mpsc::Sender<Incoming>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let ours: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&ours).await?;
    let Some(frame) = stream::read(&mut stream).await? else {
        return Ok(());
    };
    let (theirs, call): ([u8; NONCE_BYTES], Call) = secret
        .open_with_nonce(&ours, &frame)
        .map_err(io::Error::other)?;
    let (reply, answer) = oneshot::channel();
    let _ = tx.send(Incoming { call, reply }).await;
    let reply = answer.await.map_err(io::Error::other)?;
    let frame = secret
        .seal_with_nonce(&theirs, &reply)
        .map_err(io::Error::other)?;
    stream::write(&mut stream, &frame).await
}
