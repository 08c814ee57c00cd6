//! Listener for other instances, which call this one or have it carry connections to targets.

use std::io;

use serde::Serialize;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time::timeout,
};
use wire::{Secret, stream};

use crate::{
    relay::{Encoding, RelayServer, RelayedTarget},
    rpc::{CALL_TIMEOUT, Call, IncomingCall, Nonce, Opening},
};

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
