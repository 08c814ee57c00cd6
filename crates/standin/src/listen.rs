//! Salvo servers on a given or free TCP port.

use std::{io, net::SocketAddr};

use salvo::{Router, Server, conn::tcp::TcpAcceptor};
use tokio::{net::TcpListener, task::JoinHandle};

/// Binds `addr`, serves `router` on it in a new task, and returns the bound address and the task.
///
/// Port 0 takes a free port. The task serves until it is aborted.
///
/// # Errors
///
/// [`io::Error`] if the address can't be bound, for example because it is in use.
pub async fn listen(addr: SocketAddr, router: Router) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let acceptor = TcpAcceptor::try_from(listener)?;
    let task = tokio::spawn(Server::new(acceptor).disable_fuse().serve(router));
    Ok((addr, task))
}
