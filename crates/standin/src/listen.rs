//! Salvo listeners on a given or free port.

use std::{io, net::SocketAddr};

use salvo::{Router, Server, conn::tcp::TcpAcceptor};
use tokio::{net::TcpListener, task::JoinHandle};

/// Starts serving `router` and returns the address and the task, which serves until aborted.
///
/// # Errors
///
/// [`io::Error`] where the address is in use.
pub async fn listen(addr: SocketAddr, router: Router) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let socket = TcpListener::bind(addr).await?;
    let addr = socket.local_addr()?;
    let acceptor = TcpAcceptor::try_from(socket)?;
    let task = tokio::spawn(Server::new(acceptor).disable_fuse().serve(router));
    Ok((addr, task))
}
