//! The connections that a listener has open, and which of them make room for others.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use salvo::conn::ConnCtrl;
use tokio::{net::TcpStream, sync::watch, time::Instant};

use crate::{
    caller::{Activity, Caller, Input},
    descriptors::ConnectionLimit,
};

/// Time for which a connection must have been idle before it is closed to make room for others.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);

/// Batches of free places below which a connection is closed after its next answer, so that few must be closed while they
/// are idle, when a request may cross the close.
const KEEP_ALIVE_BATCHES: usize = 4;
/// Connections that are looked at for each one that is closed to make room for others.
const MAX_LOOKS_PER_CLOSE: usize = 4;

/// Lists the connections that a listener has open; all clones share the list.
#[derive(Debug, Clone)]
pub struct OpenConnections {
    limit: ConnectionLimit,
    table: Arc<watch::Sender<Table>>,
}

/// Counts the connections of a listener.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open connections whose requests are served.
    pub served: usize,
    /// Those of them that are idle.
    pub idle: usize,
    /// Open connections whose requests are refused.
    pub surplus: usize,
    /// Idle connections that were closed to make room for others, since the start.
    pub evicted: u64,
    /// Connections that were refused since the start, with an answer or without.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct Table {
    entries: BTreeMap<SocketAddr, Entry>,
    next_id: u64,
    served: usize,
    closing: usize,
    surplus: usize,
    evicted: u64,
    refused: u64,
}

#[derive(Debug)]
struct Entry {
    id: u64,
    caller: Caller,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Served,
    /// Was idle, and is being closed.
    Closing,
    Surplus,
}

/// Counts as an open connection until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    table: Arc<watch::Sender<Table>>,
    peer: SocketAddr,
    id: u64,
}

impl OpenConnections {
    /// Returns a list without connections.
    pub fn new(limit: ConnectionLimit) -> Self {
        Self {
            limit,
            table: Arc::new(watch::Sender::new(Table::default())),
        }
    }

    /// Adds a connection and returns it with its place; `None` if it is to be closed at once.
    ///
    /// If there are too many, those that have been idle for longest are closed; only if none is idle, the requests
    /// on the new one are refused.
    pub(crate) fn admit(
        &self,
        peer: SocketAddr,
        socket: &Arc<TcpStream>,
    ) -> Option<(Caller, Place)> {
        let mut admitted = None;
        self.table.send_modify(|table| {
            if table.served >= self.limit.served {
                table.evict(self.limit.batch());
            }
            let kind = if table.served < self.limit.served {
                Kind::Served
            } else {
                table.refused += 1;
                Kind::Surplus
            };
            if kind == Kind::Surplus && table.surplus >= self.limit.refused {
                return;
            }
            let caller = Caller {
                socket: Arc::downgrade(socket),
                activity: Arc::new(Activity::start()),
                ctrl: ConnCtrl::new(),
                is_surplus: kind == Kind::Surplus,
            };
            let id = table.insert(peer, caller.clone(), kind);
            admitted = Some((caller, id));
        });
        let (caller, id) = admitted?;
        let place = Place {
            table: self.table.clone(),
            peer,
            id,
        };
        Some((caller, place))
    }

    /// Closes connections that have been idle for longest.
    pub(crate) fn make_room(&self) {
        self.table
            .send_modify(|table| table.evict(self.limit.batch()));
    }

    /// Returns whether there is room for connections that wait for further requests.
    pub(crate) fn keeps_alive(&self) -> bool {
        let kept = KEEP_ALIVE_BATCHES * self.limit.batch();
        self.table.borrow().served + kept <= self.limit.served
    }

    /// Returns the connection from `peer`.
    pub(crate) fn caller(&self, peer: &SocketAddr) -> Option<Caller> {
        let table = self.table.borrow();
        Some(table.entries.get(peer)?.caller.clone())
    }

    /// Returns the current numbers of connections.
    pub fn counts(&self) -> ConnectionCounts {
        let table = self.table.borrow();
        ConnectionCounts {
            served: table.served,
            idle: table.idle_since().count(),
            surplus: table.surplus,
            evicted: table.evicted,
            refused: table.refused,
        }
    }
}

impl Table {
    fn insert(&mut self, peer: SocketAddr, caller: Caller, kind: Kind) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        *self.count(kind) += 1;
        if let Some(old) = self.entries.insert(peer, Entry { id, caller, kind }) {
            *self.count(old.kind) -= 1;
        }
        id
    }

    fn remove(&mut self, peer: SocketAddr, id: u64) {
        if self.entries.get(&peer).is_some_and(|entry| entry.id == id)
            && let Some(old) = self.entries.remove(&peer)
        {
            *self.count(old.kind) -= 1;
        }
    }

    fn count(&mut self, kind: Kind) -> &mut usize {
        match kind {
            Kind::Served => &mut self.served,
            Kind::Closing => &mut self.closing,
            Kind::Surplus => &mut self.surplus,
        }
    }

    fn idle_since(&self) -> impl Iterator<Item = (Instant, SocketAddr)> {
        let served = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.kind == Kind::Served);
        served.filter_map(|(peer, entry)| Some((entry.caller.activity.idle_since()?, *peer)))
    }

    /// Closes up to `batch` connections that have been idle for longest, unless as many are still being closed.
    fn evict(&mut self, batch: usize) {
        if self.closing > batch {
            return;
        }
        let now = Instant::now();
        let mut idle: Vec<_> = self
            .idle_since()
            .filter(|(since, _)| now.saturating_duration_since(*since) >= MIN_IDLE_TIME)
            .collect();
        idle.sort_unstable();
        let mut left = batch;
        for (_, peer) in idle.into_iter().take(batch * MAX_LOOKS_PER_CLOSE) {
            // A request that an instance which is late has not read yet isn't idleness.
            if let Some(entry) = self.entries.get_mut(&peer)
                && left > 0
                && entry.caller.look() != Input::Unread
            {
                left -= 1;
                entry.kind = Kind::Closing;
                // A head that comes in pieces would keep the connection open.
                if entry.caller.activity.has_partial_request() {
                    entry.caller.ctrl.abort();
                } else {
                    entry.caller.ctrl.graceful_shutdown();
                }
                self.served -= 1;
                self.closing += 1;
                self.evicted += 1;
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.table
            .send_modify(|table| table.remove(self.peer, self.id));
    }
}
