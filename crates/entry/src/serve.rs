//! HTTP listeners, based on Salvo.

use std::{io, net::SocketAddr, time::Duration};

use salvo::{
    Router, Server,
    conn::{
        Accepted, Acceptor, Holding, StraightStream,
        tcp::{TcpAcceptor, TcpCoupler},
    },
    fuse::{ArcFusePolicy, FuseConfig},
    server::ServerHandle,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::{filtered::FilteredStream, framing::Framing};

/// Maximum size of a request's head; a configuration may set a lower limit.
pub const HEAD_LIMIT_BYTES: usize = 64 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
const MAX_CONNECTIONS: usize = 8_192;

/// Represents a running HTTP listener.
#[derive(Debug)]
pub struct Listener {
    /// Address that the listener is bound to.
    pub addr: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// Starts serving `router` on `addr`.
///
/// # Errors
///
/// [`io::Error`] if the address is in use or is not an address of this machine.
pub async fn listen(addr: SocketAddr, router: Router) -> io::Result<Listener> {
    let socket = TcpListener::bind(addr).await?;
    let addr = socket.local_addr()?;
    let acceptor = FramingAcceptor(TcpAcceptor::try_from(socket)?);
    let mut fuse = FuseConfig::default();
    fuse.http1_header_timeout = Some(HEADER_TIMEOUT);
    fuse.connection_idle_timeout = Some(IDLE_TIMEOUT);
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(MAX_CONNECTIONS);
    server.http1_mut().max_buf_size(HEAD_LIMIT_BYTES);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    Ok(Listener { addr, handle, task })
}

impl Listener {
    /// Stops accepting connections and waits for requests in flight to end, for at most `timeout`.
    pub async fn stop(self, timeout: Duration) {
        self.handle.stop_graceful(timeout);
        let _ = self.task.await;
    }
}

/// Accepts connections on which ambiguous requests are made invalid.
struct FramingAcceptor(TcpAcceptor);

impl Acceptor for FramingAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = FilteredStream<StraightStream<TcpStream>, Framing>;

    fn holdings(&self) -> &[Holding] {
        self.0.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.0.accept(fuse_policy).await?;
        let filter = |stream| FilteredStream::new(stream, Framing::default());
        Ok(accepted.map_into(|_| TcpCoupler::new(), filter))
    }
}
