//! HTTP listeners, based on Salvo.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Version, header, uri::Scheme};
use salvo::{
    Depot, FlowCtrl, Handler, Router, Server, Service,
    conn::{Accepted, Acceptor, Holding, StraightStream, tcp::TcpCoupler},
    fuse::{ArcFusePolicy, FuseConfig},
    http::{Request, Response},
    server::ServerHandle,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::{
    caller::Caller,
    caller_stream::{CallerStream, RecordedFraming},
    descriptors::{ConnectionLimit, is_out_of_descriptors},
    filtered::FilteredStream,
    open::{OpenConnections, Place},
};

/// Maximum size of a request's head; a configuration may set a lower limit.
pub const HEAD_LIMIT_BYTES: usize = 64 * 1024;
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time that a connection on which requests are refused has for its request, and for taking the answer.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Represents a running HTTP listener.
#[derive(Debug)]
pub struct Listener {
    /// Address that the listener is bound to.
    pub addr: SocketAddr,
    /// Connections that the listener has open.
    pub connections: OpenConnections,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// Starts serving `router` on `addr`, with as many connections as `limit` allows.
///
/// # Errors
///
/// [`io::Error`] if the address is in use or is not an address of this machine.
pub async fn listen(
    addr: SocketAddr,
    router: Router,
    limit: ConnectionLimit,
) -> io::Result<Listener> {
    let socket = TcpListener::bind(addr).await?;
    let addr = socket.local_addr()?;
    let connections = OpenConnections::new(limit);
    let holding = Holding {
        local_addr: addr.into(),
        http_versions: vec![Version::HTTP_11],
        http_scheme: Scheme::HTTP,
    };
    let acceptor = CallerAcceptor {
        socket,
        connections: connections.clone(),
        holdings: [holding],
    };
    let mut server = Server::new(acceptor);
    server.http1_mut().max_buf_size(HEAD_LIMIT_BYTES);
    let handle = server.handle();
    let service = Service::new(router).hoop(CallerFinder(connections.clone()));
    let task = tokio::spawn(server.serve(service));
    Ok(Listener {
        addr,
        connections,
        handle,
        task,
    })
}

impl Listener {
    /// Stops accepting connections and waits for requests in flight to end, for at most `timeout`.
    pub async fn stop(self, timeout: Duration) {
        self.handle.stop_graceful(timeout);
        let _ = self.task.await;
    }
}

/// Accepts connections as long as there is room for them, on which ambiguous requests are made invalid.
struct CallerAcceptor {
    socket: TcpListener,
    connections: OpenConnections,
    holdings: [Holding; 1],
}

impl CallerAcceptor {
    fn accepted(
        &self,
        socket: Arc<TcpStream>,
        peer: SocketAddr,
        (caller, place): (Caller, Place),
    ) -> Accepted<TcpCoupler<<Self as Acceptor>::Stream>, <Self as Acceptor>::Stream> {
        let mut fuse = FuseConfig::default();
        let (header, idle) = if caller.is_surplus {
            (REFUSAL_TIMEOUT, REFUSAL_TIMEOUT)
        } else {
            (HEADER_TIMEOUT, IDLE_TIMEOUT)
        };
        fuse.http1_header_timeout = Some(header);
        fuse.connection_idle_timeout = Some(idle);
        let stream = CallerStream::new(socket, caller.activity.clone(), place);
        let stream = StraightStream::new(stream, Some(fuse), caller.ctrl.clone(), None);
        Accepted {
            coupler: TcpCoupler::new(),
            stream: FilteredStream::new(stream, RecordedFraming::new(caller.activity)),
            fuse_config: Some(fuse),
            conn_ctrl: caller.ctrl,
            local_addr: self.holdings[0].local_addr.clone(),
            remote_addr: peer.into(),
            http_scheme: Scheme::HTTP,
        }
    }
}

impl Acceptor for CallerAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = FilteredStream<StraightStream<CallerStream>, RecordedFraming>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            let (socket, peer) = match self.socket.accept().await {
                Err(err) if is_out_of_descriptors(&err) => {
                    self.connections.make_room();
                    return Err(err);
                }
                accepted => accepted?,
            };
            let socket = Arc::new(socket);
            if let Some(admitted) = self.connections.admit(peer, &socket) {
                return Ok(self.accepted(socket, peer, admitted));
            }
        }
    }
}

/// Adds to each request the connection on which it has come.
struct CallerFinder(OpenConnections);

#[salvo::async_trait]
impl Handler for CallerFinder {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let peer = req.remote_addr().clone().into_std();
        let Some(caller) = peer.and_then(|peer| self.0.caller(&peer)) else {
            ctrl.call_next(req, depot, res).await;
            return;
        };
        // The connection was closed while its head came in pieces: the caller gets no answer, so nothing is sent on.
        if caller.ctrl.is_aborted() {
            return;
        }
        let _in_progress = caller.start_request();
        req.extensions_mut().insert(caller.clone());
        ctrl.call_next(req, depot, res).await;
        if caller.is_surplus || !self.0.keeps_alive() && caller.awaits_one_answer() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
    }
}
