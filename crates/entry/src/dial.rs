//! Connections to targets, opened directly or through other instances.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use base::TargetId;
use derive_more::Display;
use dispatch::Dial;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    time::{sleep, timeout},
};
use wire::marked::MarkedStream;

use crate::{
    allowance::Allowance,
    connection::Connection,
    descriptors::is_out_of_descriptors,
    filtered::FilteredStream,
    relay::Relay,
    target_stream::TargetStream,
    view::Clock,
    write_latch::{LatchedStream, WriteLatch},
};

/// Maximum size of what is read from a target at a time, and so of the head of an answer.
pub(crate) const MAX_READ_BYTES: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a new connection must stay open to show that its target can be reached: the kernel
/// of an end that has just stopped listening may still accept it, and closes it then.
const MIN_OPEN_TIME: Duration = Duration::from_millis(20);

/// Lists the reasons for which a connection to a target can't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ConnectError {
    /// Nothing listens at the address, or something on the way refuses.
    #[display("refused")]
    Refused,
    /// There was no answer in time.
    #[display("timed_out")]
    TimedOut,
    /// No descriptor is left for it.
    #[display("no_descriptor")]
    NoDescriptor,
    /// The connection failed otherwise.
    #[display("failed")]
    Failed,
}

/// Asks the task that reaches other instances for a connection to a target.
#[derive(Debug)]
pub struct RelayRequest {
    /// Address of the instance that is to carry the connection.
    pub relay: SocketAddr,
    /// Target to connect to.
    pub target: TargetId,
    /// Channel for the connection.
    pub reply: oneshot::Sender<Result<MarkedStream<TcpStream>, RelayError>>,
}

/// Lists the reasons for which another instance can't carry a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// The instance did not answer, or carries too many connections.
    RelayUnavailable,
    /// The instance can't reach the target either.
    TargetUnreachable,
}

/// Describes how a connection to a target may be opened.
#[derive(Debug, Clone)]
pub struct DialPlan {
    /// The target.
    pub target: TargetId,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Instances that may carry the connection, in order of preference.
    pub relays: Vec<Relay>,
    /// Whether to open it through another instance first.
    pub prefers_relay: bool,
    /// Time after which it is tried through another instance as well.
    pub relay_delay: Duration,
}

/// Reports a new connection, or why there is none, and what it shows of the path to the target.
#[derive(Debug)]
pub(crate) struct Dialed {
    pub(crate) connection: Result<Connection, ConnectError>,
    pub(crate) dial: Dial,
}

/// Opens connections to targets.
///
/// All clones ask for connections through other instances on the same channel.
#[derive(Debug, Clone)]
pub struct Dialer {
    clock: Clock,
    relays: mpsc::UnboundedSender<RelayRequest>,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
}

impl Dialed {
    pub(crate) fn reused(connection: Connection) -> Self {
        Self {
            connection: Ok(connection),
            dial: Dial::default(),
        }
    }
}

impl Dialer {
    /// Returns a dialer that asks for connections through other instances on `relays`.
    pub fn new(clock: Clock, relays: mpsc::UnboundedSender<RelayRequest>) -> Self {
        Self {
            clock,
            relays,
            permits: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
        }
    }

    /// Sets the number of connections that may be open at the same time.
    pub fn limited_to(mut self, connections: usize) -> Self {
        self.permits = Arc::new(Semaphore::new(connections));
        self
    }

    /// Returns the clock of the process.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Opens a connection as planned: directly, and through another instance if that fails or takes
    /// long, or the other way round.
    pub(crate) async fn open(&self, plan: &DialPlan) -> Dialed {
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            return Dialed {
                connection: Err(ConnectError::NoDescriptor),
                dial: Dial::default(),
            };
        };
        let (opened, dial) = if plan.relays.is_empty() {
            open_direct(plan).await
        } else if plan.prefers_relay {
            self.open_relayed_first(plan).await
        } else {
            self.open_direct_first(plan).await
        };
        let connection = match opened {
            Ok(opened) => start_http(self.clock, plan.addr, opened, permit).await,
            Err(err) => Err(err),
        };
        Dialed { connection, dial }
    }

    /// Returns whether a new connection to a target can be opened, and stays open, in the same way as
    /// one that `relay` carries, or else directly.
    pub(crate) async fn is_reachable(&self, plan: &DialPlan, relay: Option<&Relay>) -> bool {
        let opened = match relay {
            Some(relay) => {
                let same_way = DialPlan {
                    relays: vec![relay.clone()],
                    ..plan.clone()
                };
                self.open_relayed(&same_way).await.ok()
            }
            None => connect(plan.addr).await.ok().map(Opened::direct),
        };
        match opened {
            Some(opened) => stays_open(opened.stream).await,
            None => false,
        }
    }

    async fn open_relayed_first(&self, plan: &DialPlan) -> (Result<Opened, ConnectError>, Dial) {
        let relayed = |relayed| Dial {
            direct: None,
            relayed: Some(relayed),
        };
        match self.open_relayed(plan).await {
            Ok(opened) => (Ok(opened), relayed(true)),
            Err(RelayError::TargetUnreachable) => (Err(ConnectError::Failed), relayed(false)),
            Err(RelayError::RelayUnavailable) => open_direct(plan).await,
        }
    }

    async fn open_direct_first(&self, plan: &DialPlan) -> (Result<Opened, ConnectError>, Dial) {
        let direct = connect(plan.addr);
        tokio::pin!(direct);
        let early = tokio::select! {
            result = &mut direct => Some(result),
            () = sleep(plan.relay_delay) => None,
        };
        let mut direct_error = match early {
            Some(Ok(stream)) => return (Ok(Opened::direct(stream)), Dial::direct(true)),
            Some(Err(err)) => Some(err),
            None => None,
        };
        if direct_error == Some(ConnectError::NoDescriptor) {
            return (Err(ConnectError::NoDescriptor), Dial::default());
        }
        let relayed = self.open_relayed(plan);
        tokio::pin!(relayed);
        let mut relay_error = None;
        loop {
            tokio::select! {
                result = &mut direct, if direct_error.is_none() => match result {
                    Ok(stream) => return (Ok(Opened::direct(stream)), Dial::direct(true)),
                    Err(err) => direct_error = Some(err),
                },
                result = &mut relayed, if relay_error.is_none() => match result {
                    Ok(opened) => return (Ok(opened), Dial::direct(false).relayed(true)),
                    Err(err) => relay_error = Some(err),
                },
            }
            if let (Some(err), Some(relay_error)) = (direct_error, relay_error) {
                let dial = match relay_error {
                    RelayError::TargetUnreachable => Dial::direct(false).relayed(false),
                    RelayError::RelayUnavailable => Dial::direct(false),
                };
                return (Err(err), dial);
            }
        }
    }

    /// Opens a connection through the first instance that can.
    ///
    /// One that can't reach the target may have lost its own path, so the next one is asked as
    /// well.
    async fn open_relayed(&self, plan: &DialPlan) -> Result<Opened, RelayError> {
        let mut error = RelayError::RelayUnavailable;
        for relay in &plan.relays {
            let (reply, answer) = oneshot::channel();
            let request = RelayRequest {
                relay: relay.addr,
                target: plan.target.clone(),
                reply,
            };
            let _ = self.relays.send(request);
            match answer.await {
                Ok(Ok(stream)) => {
                    return Ok(Opened {
                        stream: TargetStream::Relayed(stream),
                        relay: Some(relay.clone()),
                    });
                }
                Ok(Err(RelayError::TargetUnreachable)) => error = RelayError::TargetUnreachable,
                Ok(Err(RelayError::RelayUnavailable)) | Err(_) => {}
            }
        }
        Err(error)
    }
}

/// Passes an open stream on, with the instance that carries it, if any.
struct Opened {
    stream: TargetStream,
    relay: Option<Relay>,
}

impl Opened {
    fn direct(stream: TcpStream) -> Self {
        Self {
            stream: TargetStream::Direct(stream),
            relay: None,
        }
    }
}

async fn open_direct(plan: &DialPlan) -> (Result<Opened, ConnectError>, Dial) {
    let opened = connect(plan.addr).await.map(Opened::direct);
    let dial = match &opened {
        // It shows nothing of the path.
        Err(ConnectError::NoDescriptor) => Dial::default(),
        opened => Dial::direct(opened.is_ok()),
    };
    (opened, dial)
}

/// Starts HTTP on a stream and spawns the task that drives the connection, which ends with it.
async fn start_http(
    clock: Clock,
    addr: SocketAddr,
    opened: Opened,
    permit: OwnedSemaphorePermit,
) -> Result<Connection, ConnectError> {
    let (allowance, latch) = (Allowance::unlimited(), WriteLatch::default());
    let stream = LatchedStream::new(opened.stream, latch.clone());
    let stream = FilteredStream::new(stream, allowance.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, driver) = handshake.map_err(|_| ConnectError::Failed)?;
    tokio::spawn(async move {
        let _permit = permit;
        let _ = driver.await;
    });
    let http = (sender, allowance, latch);
    Ok(Connection::new(clock.now(), http, addr, opened.relay))
}

/// Returns whether a new connection, on which nothing was asked, isn't closed at once.
async fn stays_open(mut stream: TargetStream) -> bool {
    timeout(MIN_OPEN_TIME, stream.read(&mut [0])).await.is_err()
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, ConnectError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| ConnectError::TimedOut)?
        .map_err(|err| match err.kind() {
            io::ErrorKind::ConnectionRefused => ConnectError::Refused,
            _ if is_out_of_descriptors(&err) => ConnectError::NoDescriptor,
            _ => ConnectError::Failed,
        })?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
