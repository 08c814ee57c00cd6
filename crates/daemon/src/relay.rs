//! Connections to targets that one instance opens and another one carries.
//!
//! An instance that has lost its path to the targets asks another one for a connection. It decides
//! everything about its requests itself; the other instance only passes bytes on.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use base::TargetId;
use entry::{
    descriptors::is_out_of_descriptors,
    dial::{RelayError, RelayRequest},
    message::Event,
    view::View,
};
use platform::Progress;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch},
    time::timeout,
};
use wire::{
    Secret,
    marked::{self, MarkedStream},
};

use crate::rpc::{self, Opening};

/// Time within which the other instance must have opened a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);
/// Time within which the carrying instance must reach the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any byte after which a relayed connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const BUF_BYTES: usize = 16 * 1024;

/// Carries connections of other instances to the targets of the active configuration.
#[derive(Debug, Clone)]
pub struct RelayServer {
    view: watch::Receiver<Arc<View>>,
    engine: mpsc::UnboundedSender<Event>,
    permits: Arc<Semaphore>,
}

impl RelayServer {
    /// Returns a server for the targets in `view`, which reports to the engine when it can't reach
    /// one.
    pub fn new(view: watch::Receiver<Arc<View>>, engine: mpsc::UnboundedSender<Event>) -> Self {
        Self {
            view,
            engine,
            permits: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
        }
    }

    /// Sets the number of connections that are carried at the same time.
    pub fn limited_to(mut self, connections: usize) -> Self {
        self.permits = Arc::new(Semaphore::new(connections));
        self
    }

    /// Connects to a target for another instance; returns `None` if too many connections are
    /// relayed already, or no descriptor is left.
    pub(crate) async fn open(&self, target: &TargetId) -> Option<RelayedTarget> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        let target_stream = match self.connect(target).await {
            Ok(stream) => Some(stream),
            // Says nothing about the target.
            Err(err) if is_out_of_descriptors(&err) => return None,
            Err(_) => None,
        };
        Some(RelayedTarget {
            target_stream,
            _permit: permit,
        })
    }

    async fn connect(&self, target: &TargetId) -> io::Result<TcpStream> {
        let view = self.view.borrow().clone();
        let addr = addr_in_service(&view, target).ok_or(io::ErrorKind::NotFound)?;
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let connected = connect.map_err(io::Error::from).flatten();
        if connected
            .as_ref()
            .is_err_and(|err| !is_out_of_descriptors(err))
        {
            let _ = self.engine.send(Event::RelayFailed(target.clone()));
        }
        let stream = connected?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// Carries a connection to a target for another instance, and counts against the limit until it is
/// dropped.
#[derive(Debug)]
pub(crate) struct RelayedTarget {
    target_stream: Option<TcpStream>,
    _permit: OwnedSemaphorePermit,
}

impl RelayedTarget {
    pub(crate) fn is_open(&self) -> bool {
        self.target_stream.is_some()
    }

    /// Carries the connection until one of its ends closes it.
    pub(crate) async fn carry(self, stream: TcpStream, encoding: Encoding) {
        if let Some(target_stream) = self.target_stream {
            exchange_bytes(stream, target_stream, encoding).await;
        }
    }
}

/// How a target's bytes are passed on to the instance that asked for the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Encoding {
    /// As they are.
    Plain,
    /// In chunks, with a mark of their end.
    Marked,
}

/// Returns the address of a target that takes new work.
fn addr_in_service(view: &View, target: &TargetId) -> Option<SocketAddr> {
    let (_, config) = view.config.as_ref()?;
    let mut services = config.services.iter();
    let (service, found) =
        services.find_map(|(id, service)| Some((id, service.targets.get(target)?)))?;
    let is_in_service =
        config.is_target_in_service(service, target) && !view.departed.contains(target);
    is_in_service.then_some(found.addr)
}

/// Answers requests for connections through other instances until all senders are dropped.
pub async fn run(secret: Secret, mut rx: mpsc::UnboundedReceiver<RelayRequest>) {
    while let Some(request) = rx.recv().await {
        let secret = secret.clone();
        tokio::spawn(async move {
            let opened = open(&secret, request.relay, request.target).await;
            let _ = request.reply.send(opened);
        });
    }
}

/// Asks the instance at `relay` for a connection to a target.
async fn open(
    secret: &Secret,
    relay: SocketAddr,
    target: TargetId,
) -> Result<MarkedStream<TcpStream>, RelayError> {
    let opening = Opening::MarkedRelay(target);
    let progress = Progress::start();
    let exchange = rpc::exchange(secret, relay, &opening, &progress);
    match timeout(OPEN_TIMEOUT, exchange).await {
        Ok(Ok((true, stream))) => Ok(MarkedStream::new(stream)),
        Ok(Ok((false, _))) => Err(RelayError::TargetUnreachable),
        Ok(Err(_)) | Err(_) => Err(RelayError::RelayUnavailable),
    }
}

/// Passes bytes on in both directions until an end closes its connection or no byte has come for
/// [`IDLE_TIMEOUT`].
///
/// An end that fails resets the other one, so that an answer which was cut off doesn't look
/// complete.
async fn exchange_bytes(mut near: TcpStream, mut far: TcpStream, encoding: Encoding) {
    let is_clean = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::select! {
            result = copy(near_read, far_write, Encoding::Plain) => result.is_ok(),
            result = copy(far_read, near_write, encoding) => result.is_ok(),
        }
    };
    if !is_clean {
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

/// Copies one direction until it is closed.
async fn copy(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, encoding: Encoding) -> io::Result<()> {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let len = timeout(IDLE_TIMEOUT, from.read(&mut buf)).await??;
        match encoding {
            Encoding::Marked if len == 0 => return marked::write_end(&mut to).await,
            Encoding::Marked => marked::write_chunk(&mut to, &buf[..len]).await?,
            Encoding::Plain if len == 0 => return Ok(()),
            Encoding::Plain => to.write_all(&buf[..len]).await?,
        }
    }
}
