//! A relay for TCP and UDP whose traffic a test can stop without either end being told.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

/// Lists what a relay does with traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes it on.
    Forward,
    /// Keeps the connections and passes nothing on.
    Blackhole,
}

/// Passes traffic on to one address until told to stop.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub addr: SocketAddr,
    tx: watch::Sender<State>,
}

/// What all connections of a relay follow.
#[derive(Debug, Clone, Copy)]
struct State {
    mode: RelayMode,
    /// Number of the last connection.
    last: u64,
    /// Connections with a lower number have gone silent for good.
    first_live: u64,
}

const OPEN: State = State {
    mode: RelayMode::Forward,
    last: 0,
    first_live: 0,
};

impl Relay {
    /// Starts a TCP relay to `to` on a free port.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where no port can be had.
    pub async fn tcp(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (tx, _) = watch::channel(OPEN);
        tokio::spawn(accept(listener, to, tx.clone()));
        Ok(Self { addr, tx })
    }

    /// Starts a one-way UDP relay to `to` on a free port.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where no port can be had.
    pub async fn udp(to: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (tx, rx) = watch::channel(OPEN);
        tokio::spawn(pass_datagrams(socket, to, rx));
        Ok(Self { addr, tx })
    }

    /// Sets what the relay does with traffic.
    pub fn set_mode(&self, mode: RelayMode) {
        self.tx.send_modify(|state| state.mode = mode);
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn blackhole_open_connections(&self) {
        self.tx
            .send_modify(|state| state.first_live = state.last + 1);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, tx: watch::Sender<State>) {
    let mut number = 0;
    while let Ok((near, _)) = listener.accept().await {
        number += 1;
        tx.send_modify(|state| state.last = number);
        let rx = tx.subscribe();
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(pass(number, near_read, far_write, rx.clone()));
        tokio::spawn(pass(number, far_read, near_write, rx.clone()));
    }
}

async fn pass(
    number: u64,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut rx: watch::Receiver<State>,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let Ok(len) = from.read(&mut buf).await else {
            return;
        };
        if rx
            .wait_for(|state| state.mode == RelayMode::Forward && number >= state.first_live)
            .await
            .is_err()
        {
            return;
        }
        if len == 0 || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn pass_datagrams(socket: UdpSocket, to: SocketAddr, rx: watch::Receiver<State>) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(len) = socket.recv(&mut buf).await {
        if rx.borrow().mode == RelayMode::Forward {
            let _ = socket.send_to(&buf[..len], to).await;
        }
    }
}
