//! A relay for TCP and UDP whose traffic a test can stop without either end being told.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

/// Lists what a relay does with traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// Passes it on.
    Open,
    /// Keeps the connections and passes nothing on.
    Silent,
}

/// Passes traffic on to one address until told to stop.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub addr: SocketAddr,
    tx: watch::Sender<Flow>,
}

impl Relay {
    /// Starts a TCP relay to `to` on a free port.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where no port can be had.
    pub async fn tcp(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (tx, rx) = watch::channel(Flow::Open);
        tokio::spawn(accept(listener, to, rx));
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
        let (tx, rx) = watch::channel(Flow::Open);
        tokio::spawn(pass_datagrams(socket, to, rx));
        Ok(Self { addr, tx })
    }

    /// Sets what the relay does with traffic.
    pub fn set(&self, flow: Flow) {
        self.tx.send_replace(flow);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, rx: watch::Receiver<Flow>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(pass(near_read, far_write, rx.clone()));
        tokio::spawn(pass(far_read, near_write, rx.clone()));
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut rx: watch::Receiver<Flow>) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let Ok(len) = from.read(&mut buf).await else {
            return;
        };
        if rx.wait_for(|flow| *flow == Flow::Open).await.is_err() {
            return;
        }
        if len == 0 || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

async fn pass_datagrams(socket: UdpSocket, to: SocketAddr, rx: watch::Receiver<Flow>) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(len) = socket.recv(&mut buf).await {
        if *rx.borrow() == Flow::Open {
            let _ = socket.send_to(&buf[..len], to).await;
        }
    }
}
