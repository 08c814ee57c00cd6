//! Client of the platform's table, object store and instance list.
//!
//! The platform starts and stops instances and targets, lists them, and stores what the instances
//! share.
//!
//! [`Platform`] is a handle to a task that executes [`Call`]s. [`http::connect`] sends them to the
//! platform's service, [`memory::spawn`] executes them in the process, and [`Platform::spawn`] takes
//! any other implementation.
//!
//! An open connection may go silent permanently while new ones work. So once nothing of a call's answer
//! has arrived for its timeout, all kept connections are given up and later calls open new ones.

mod era;
pub mod http;
pub mod layout;
pub mod memory;
mod model;
mod progress;
mod reported;
mod store;

use std::time::Duration;

use base::Position;
pub use era::StoreEra;
pub use model::{
    Call, Change, ListedMachine, MachineKind, MachineState, PlatformError, Precondition, Reply,
    Row, Write,
};
pub use progress::{Progress, Received, receive_body};
pub use store::Store;
use tokio::sync::{mpsc, oneshot, watch};

const CALL_QUEUE_CAPACITY: usize = 1024;

/// Handle that sends calls to the platform's service and awaits their replies.
///
/// # Examples
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use platform::{Precondition, Write, memory};
///
/// let platform = memory::spawn();
/// let write = Write::new("leases", "planner").value("i1").expect(Precondition::Absent);
/// platform.write(vec![write]).await.unwrap();
/// assert_eq!(platform.get("leases", "planner").await.unwrap().unwrap().value, "i1");
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct Platform {
    tx: mpsc::Sender<Message>,
    timeout: Duration,
    progress: Option<Progress>,
    era: StoreEra,
}

/// Message to the task that executes calls.
#[derive(Debug)]
pub(crate) enum Message {
    /// Executes a call and sends its reply; reports the progress of the answer.
    Call(
        Call,
        Progress,
        oneshot::Sender<Result<Reply, PlatformError>>,
    ),
    /// Gives up all kept connections, except for calls that are in progress on them.
    Reconnect,
}

impl Platform {
    fn new(tx: mpsc::Sender<Message>) -> Self {
        Self {
            tx,
            timeout: Duration::from_secs(2),
            progress: None,
            era: StoreEra::default(),
        }
    }

    /// Returns a handle whose calls are executed by what `connect` returns, each in a task of its own.
    ///
    /// `connect` is called again for each [`Platform::reconnect`]: calls from then on must not use
    /// connections that were opened before. A call is cancelled as soon as its caller stops waiting
    /// for the reply. What it reports to the [`Progress`] shows that an answer is arriving.
    pub fn spawn<C, F, R>(connect: C) -> Self
    where
        C: Fn() -> F + Send + 'static,
        F: Fn(Call, Progress) -> R + Send + 'static,
        R: Future<Output = Result<Reply, PlatformError>> + Send + 'static,
    {
        let (tx, mut rx) = mpsc::channel(CALL_QUEUE_CAPACITY);
        tokio::spawn(async move {
            let mut serve = connect();
            while let Some(message) = rx.recv().await {
                let Message::Call(call, progress, mut reply) = message else {
                    serve = connect();
                    continue;
                };
                let execution = serve(call, progress);
                tokio::spawn(async move {
                    tokio::select! {
                        result = execution => { let _ = reply.send(result); }
                        () = reply.closed() => {}
                    }
                });
            }
        });
        Self::new(tx)
    }

    /// Sets the time without a byte of the answer after which a call's outcome is unknown; two seconds
    /// by default.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the receiver of the progress of a call's answer; for a handle of one call.
    pub fn progress(mut self, progress: Progress) -> Self {
        self.progress = Some(progress);
        self
    }

    /// Sets what is known of the platform's eras, to which its client reports.
    pub fn tracking(mut self, era: StoreEra) -> Self {
        self.era = era;
        self
    }

    /// Returns what is known of the platform's eras.
    pub fn store_era(&self) -> StoreEra {
        self.era.clone()
    }

    /// Returns a receiver of the latest era of the platform's history that is known.
    pub fn era(&self) -> watch::Receiver<u32> {
        self.era.subscribe()
    }

    /// Returns the latest era of the platform's history that is known.
    pub fn latest_era(&self) -> u32 {
        self.era.latest()
    }

    /// Records an era of the platform's history that is known from elsewhere.
    pub fn learn_era(&self, era: u32) {
        self.era.learn(era);
    }

    /// Gives up all kept connections: calls from now on open new ones.
    pub async fn reconnect(&self) {
        let _ = self.tx.send(Message::Reconnect).await;
    }

    /// Sends a call and awaits its reply; reconnects if none comes in time.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] if no reply came in time: a write may have taken effect.
    /// [`PlatformError::Conflict`] if a row did not meet its precondition: nothing was written.
    pub async fn call(&self, call: Call) -> Result<Reply, PlatformError> {
        let progress = self.progress.clone().unwrap_or_else(Progress::start);
        let (reply_tx, reply_rx) = oneshot::channel();
        let exchange = async {
            let message = Message::Call(call, progress.clone(), reply_tx);
            self.tx.send(message).await.map_err(|_| ())?;
            reply_rx.await.map_err(|_| ())
        };
        match progress.unless_quiet(self.timeout, exchange).await {
            Some(Ok(result)) => result,
            Some(Err(())) => Err(PlatformError::Unavailable),
            None => {
                self.reconnect().await;
                Err(PlatformError::Unavailable)
            }
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn get(&self, table: &str, row: &str) -> Result<Option<Row>, PlatformError> {
        let call = Call::Get {
            table: table.to_owned(),
            row: row.to_owned(),
        };
        match self.call(call).await? {
            Reply::Row(row) => Ok(row),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Reads all rows of a table whose names begin with `prefix`, ordered by name.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn scan(
        &self,
        table: &str,
        prefix: &str,
    ) -> Result<Vec<(String, Row)>, PlatformError> {
        let call = Call::Scan {
            table: table.to_owned(),
            prefix: prefix.to_owned(),
        };
        match self.call(call).await? {
            Reply::Rows(rows) => Ok(rows),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Writes all rows or none in one transaction, and returns the new row versions.
    ///
    /// A version of an earlier era says nothing about a row: it may have been given out again.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`]. Also [`PlatformError::Conflict`] if a write expects a version of an earlier era than the
    /// latest that is known, and [`PlatformError::Unavailable`] if its answer comes from a later one.
    pub async fn write(&self, writes: Vec<Write>) -> Result<Vec<Position>, PlatformError> {
        let era = self.latest_era();
        if let Some(outdated) = writes.iter().find(|write| write.expect.is_before(era)) {
            return Err(PlatformError::Conflict {
                row: outdated.row.clone(),
                version: Position::new(era, 0),
            });
        }
        let expected: Vec<Precondition> = writes.iter().map(|write| write.expect).collect();
        let Reply::Written(versions) = self.call(Call::Write { writes }).await? else {
            return Err(PlatformError::Unavailable);
        };
        let mut pairs = expected.iter().zip(&versions);
        if pairs.any(|(expect, written)| expect.is_before(written.era)) {
            return Err(PlatformError::Unavailable);
        }
        Ok(versions)
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn put_object(&self, name: &str, text: &str) -> Result<(), PlatformError> {
        let call = Call::PutObject {
            name: name.to_owned(),
            text: text.to_owned(),
        };
        self.call(call).await.map(|_| ())
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn get_object(&self, name: &str) -> Result<Option<String>, PlatformError> {
        let call = Call::GetObject {
            name: name.to_owned(),
        };
        match self.call(call).await? {
            Reply::Object(text) => Ok(text),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Reads a whole table, and returns its rows and the position in its history from which
    /// [`Platform::changes`] continues.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn snapshot(&self, table: &str) -> Result<(Vec<Change>, Position), PlatformError> {
        let call = Call::Snapshot {
            table: table.to_owned(),
        };
        match self.call(call).await? {
            Reply::Changes(rows, position) => Ok((rows, position)),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Reads the changes of a table after the position `after`, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`], and [`PlatformError::HistoryGone`] if the table has to be read again
    /// by [`Platform::snapshot`], as it has where the answer comes from another era than `after`.
    pub async fn changes(
        &self,
        table: &str,
        after: Position,
        wait: Duration,
    ) -> Result<(Vec<Change>, Position), PlatformError> {
        let call = Call::Changes {
            table: table.to_owned(),
            after,
            wait_ms: wait.as_millis() as u64,
        };
        match self.call(call).await? {
            Reply::Changes(_, position) if position.era != after.era => {
                Err(PlatformError::HistoryGone)
            }
            Reply::Changes(rows, position) => Ok((rows, position)),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Reads the latest position in the history of the platform's tables, by a call that brings no rows of `table`.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn position(&self, table: &str) -> Result<Position, PlatformError> {
        let call = Call::Position {
            table: table.to_owned(),
        };
        match self.call(call).await? {
            Reply::Position(position) => Ok(position),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Reads the list of live and leaving instances and targets, which lags behind their real state.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn list(&self) -> Result<Vec<ListedMachine>, PlatformError> {
        match self.call(Call::List).await? {
            Reply::List(list) => Ok(list),
            _ => Err(PlatformError::Unavailable),
        }
    }
}
