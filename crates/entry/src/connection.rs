//! Open connections to targets, and how long each may be reused.

use std::{net::SocketAddr, time::Duration};

use base::Time;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;

use crate::{allowance::Allowance, relay::Relay, write_latch::WriteLatch};

/// Idle timeout of connections to targets that send no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a response during which a connection counts as fresh, for targets that send no
/// `Keep-Alive` timeout.
const DEFAULT_FRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// Carries requests to a target over HTTP/1.1, one at a time, until its timeouts pass.
#[derive(Debug)]
pub struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    pub(crate) allowance: Allowance,
    pub(crate) latch: WriteLatch,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Instance that carries the connection, if any.
    pub relay: Option<Relay>,
    /// Time of the last response on this connection.
    pub last_response_at: Time,
    /// Time after the last response during which requests may reuse the connection.
    pub idle_timeout: Duration,
    /// Time after the last response during which requests that must not be sent twice may reuse
    /// the connection.
    pub fresh_timeout: Duration,
}

impl Connection {
    /// Returns a connection that was opened at `now`; `relay` is the instance that carries it.
    pub(crate) fn new(
        now: Time,
        (sender, allowance, latch): (http1::SendRequest<Full<Bytes>>, Allowance, WriteLatch),
        addr: SocketAddr,
        relay: Option<Relay>,
    ) -> Self {
        Self {
            sender,
            allowance,
            latch,
            addr,
            relay,
            last_response_at: now,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            fresh_timeout: DEFAULT_FRESH_TIMEOUT,
        }
    }

    /// Returns whether the connection is open and idle.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }
}
