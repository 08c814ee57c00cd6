//! Remote calls between instances over TCP: claiming and settling actions, and fetching
//! configuration objects and tables.

use std::{io, net::SocketAddr, time::Duration};

use base::{Incarnation, TargetId, Version};
use coord::{TableSnapshot, parts::PartId};
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, SavedAnswer};
use platform::Progress;
use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use tokio::{io::AsyncReadExt, net::TcpStream, sync::oneshot};
use wire::{Packed, Secret, stream};

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
    /// Fetches the list of the parts of a followed table.
    TableList {
        /// Index of the table.
        index: u32,
        /// Groups of parts that the caller knows.
        known: Vec<PartId>,
    },
    /// Fetches parts of a followed table.
    Parts {
        /// Index of the table.
        index: u32,
        /// The parts.
        ids: Vec<PartId>,
    },
    /// Fetches the followed table with this index compressed.
    PackedTable(u32),
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
    /// Carries the table, or `None` if the instance hasn't read it; up to a format that knows no eras.
    Table(#[serde(deserialize_with = "read_without_era")] Option<TableSnapshot>),
    /// Carries a [`TableList`](coord::parts::TableList), or `None` if the instance hasn't read the table.
    TableList(Option<Packed>),
    /// Carries the parts with their contents, or `None` if the instance doesn't have all of them.
    Parts(Option<Packed>),
    /// Carries the table as [`Reply::Table`] does.
    PackedTable(Option<Packed>),
}

fn read_without_era<'de, D>(deserializer: D) -> Result<Option<TableSnapshot>, D::Error>
where
    D: Deserializer<'de>,
{
    let table = Option::<TableSnapshot<Version>>::deserialize(deserializer)?;
    Ok(table.map(|table| table.in_era(0)))
}

/// Opens a connection between two instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Opening {
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

/// Maximum size of the parts that one reply carries, in bytes.
pub(crate) const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Time without a byte in which a call counts as unanswered.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const NONCE_BYTES: usize = 16;

/// Number that each end draws for a connection, with which the other one seals its frame.
pub(crate) type Nonce = [u8; NONCE_BYTES];

/// Calls the instance at `addr`; returns `None` if no authentic reply arrives, or none of its
/// bytes for 1.5 seconds.
pub async fn call(secret: &Secret, addr: SocketAddr, call: &Call) -> Option<Reply> {
    call_reporting(secret, addr, call, &Progress::start()).await
}

/// Calls as [`call`] does, and reports to `progress` what has arrived of the reply.
pub(crate) async fn call_reporting(
    secret: &Secret,
    addr: SocketAddr,
    call: &Call,
    progress: &Progress,
) -> Option<Reply> {
    let opening = Opening::Call(call.clone());
    let exchange = exchange(secret, addr, &opening, progress);
    let (reply, _) = progress.unless_quiet(CALL_TIMEOUT, exchange).await?.ok()?;
    Some(reply)
}

/// Fetches the configuration with this digest from the instance at `addr`, and reports to `progress`
/// what has arrived of it.
///
/// The text is not checked against the digest.
pub async fn fetch_object(
    secret: &Secret,
    addr: SocketAddr,
    digest: &str,
    progress: &Progress,
) -> Option<String> {
    match call_reporting(secret, addr, &Call::Object(digest.to_owned()), progress).await? {
        Reply::Object(text) => text,
        _ => None,
    }
}

/// Fetches the followed table with this index from the instance at `addr`, and reports to `progress`
/// what has arrived of it.
pub async fn fetch_table(
    secret: &Secret,
    addr: SocketAddr,
    index: u32,
    progress: &Progress,
) -> Option<TableSnapshot> {
    match call_reporting(secret, addr, &Call::Table(index), progress).await? {
        Reply::Table(snapshot) => snapshot,
        _ => None,
    }
}

/// Opens a connection to the instance at `addr` and returns its authentic reply with the stream
/// that it came on.
pub(crate) async fn exchange<T>(
    secret: &Secret,
    addr: SocketAddr,
    opening: &Opening,
    progress: &Progress,
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
    stream::write_unless_stuck(&mut stream, &frame, CALL_TIMEOUT, || progress.on_sent()).await?;
    let announce = |len| progress.expect(u64::from(len));
    let frame = stream::read_reporting(&mut stream, announce, |bytes| progress.add(bytes))
        .await?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let reply = secret
        .open_with_nonce(&own_nonce, &frame)
        .map_err(io::Error::other)?;
    Ok((reply, stream))
}
