//! A TCP and UDP relay that can drop or hold back traffic without closing the connections, like a
//! network partition.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

/// Selects what a relay does with the data that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards data in both directions; UDP only towards the destination.
    Forward,
    /// Accepts and keeps connections but forwards nothing. TCP data is held until forwarding
    /// resumes; UDP datagrams are dropped.
    Blackhole,
}

/// Forwards traffic to one destination, according to its mode.
#[derive(Debug)]
pub struct Relay {
    /// Loopback address on which the relay listens.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
}

/// State that all connections of a relay watch.
#[derive(Debug, Clone, Copy)]
struct State {
    mode: RelayMode,
    /// Number of the newest connection; 0 before the first.
    newest_connection: u64,
    /// Connections with a lower number never forward again.
    first_forwarding: u64,
}

const INITIAL_STATE: State = State {
    mode: RelayMode::Forward,
    newest_connection: 0,
    first_forwarding: 0,
};

impl Relay {
    /// Spawns a TCP relay to `destination` on a free loopback port.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if no port can be bound.
    pub async fn tcp(destination: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (state, _) = watch::channel(INITIAL_STATE);
        tokio::spawn(accept(listener, destination, state.clone()));
        Ok(Self { addr, state })
    }

    /// Spawns a UDP relay to `destination` on a free loopback port; replies aren't relayed.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if no port can be bound.
    pub async fn udp(destination: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (state, state_rx) = watch::channel(INITIAL_STATE);
        tokio::spawn(forward_datagrams(socket, destination, state_rx));
        Ok(Self { addr, state })
    }

    /// Sets the mode for open and future connections.
    ///
    /// Connections stopped by [`Self::blackhole_open_connections`] don't forward again.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Permanently stops forwarding on the open connections without closing them; new ones aren't
    /// affected.
    pub fn blackhole_open_connections(&self) {
        self.state
            .send_modify(|state| state.first_forwarding = state.newest_connection + 1);
    }
}

/// Accepts connections and forwards each to `destination` in both directions.
async fn accept(listener: TcpListener, destination: SocketAddr, state: watch::Sender<State>) {
    let mut number = 0;
    while let Ok((client, _)) = listener.accept().await {
        number += 1;
        state.send_modify(|state| state.newest_connection = number);
        let state_rx = state.subscribe();
        let Ok(server) = TcpStream::connect(destination).await else {
            continue;
        };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(forward(number, client_read, server_write, state_rx.clone()));
        tokio::spawn(forward(number, server_read, client_write, state_rx.clone()));
    }
}

/// Copies one direction of a connection, waiting before each write until forwarding is allowed.
async fn forward(
    number: u64,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state_rx: watch::Receiver<State>,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let Ok(len) = from.read(&mut buf).await else {
            return;
        };
        if state_rx
            .wait_for(|state| state.mode == RelayMode::Forward && number >= state.first_forwarding)
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

async fn forward_datagrams(
    socket: UdpSocket,
    destination: SocketAddr,
    state_rx: watch::Receiver<State>,
) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(len) = socket.recv(&mut buf).await {
        if state_rx.borrow().mode == RelayMode::Forward {
            let _ = socket.send_to(&buf[..len], destination).await;
        }
    }
}
