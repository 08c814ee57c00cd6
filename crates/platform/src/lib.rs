//! Client of the platform's table, object store and instance list.
//!
//! [`Platform`] is a handle on a task that owns the connection. [`http::connect`] talks to a real
//! platform, [`memory::spawn`] keeps everything in the process; both take the same [`Call`]s.

pub mod http;
pub mod layout;
pub mod memory;
mod model;
mod store;

use std::time::Duration;

pub use model::{
    Call, Change, ListedMachine, MachineKind, MachineState, PlatformError, Precondition, Reply,
    Row, Write,
};
pub use store::Store;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

const CALL_QUEUE: usize = 1024;

/// Sends calls to the platform's service and awaits their replies.
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
    tx: mpsc::Sender<Request>,
    timeout: Duration,
}

/// One call on its way to the task that owns the connection.
#[derive(Debug)]
pub(crate) struct Request {
    call: Call,
    reply: oneshot::Sender<Result<Reply, PlatformError>>,
}

impl Platform {
    fn new(tx: mpsc::Sender<Request>) -> Self {
        Self {
            tx,
            timeout: Duration::from_secs(2),
        }
    }

    /// Returns a handle whose calls `serve` answers, each in a task of its own.
    ///
    /// A call that its caller no longer awaits is dropped.
    pub fn spawn<F, R>(serve: F) -> Self
    where
        F: Fn(Call) -> R + Send + 'static,
        R: Future<Output = Result<Reply, PlatformError>> + Send + 'static,
    {
        let (tx, mut rx) = mpsc::channel::<Request>(CALL_QUEUE);
        tokio::spawn(async move {
            while let Some(Request { call, mut reply }) = rx.recv().await {
                let answer = serve(call);
                tokio::spawn(async move {
                    tokio::select! {
                        result = answer => { let _ = reply.send(result); }
                        () = reply.closed() => {}
                    }
                });
            }
        });
        Self::new(tx)
    }

    /// Sets how long a call may take before its outcome counts as unknown.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a call and awaits its reply.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] where no reply came in time: a write may have taken effect.
    /// [`PlatformError::Conflict`] where a row was not as expected: nothing was written.
    pub async fn call(&self, call: Call) -> Result<Reply, PlatformError> {
        let (reply, answer) = oneshot::channel();
        let sent = async {
            self.tx
                .send(Request { call, reply })
                .await
                .map_err(|_| ())?;
            answer.await.map_err(|_| ())
        };
        match timeout(self.timeout, sent).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(())) | Err(_) => Err(PlatformError::Unavailable),
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

    /// Reads all rows of a table whose name begins with `prefix`, in order.
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

    /// Writes all rows or none, and returns the versions written.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn write(&self, writes: Vec<Write>) -> Result<Vec<u64>, PlatformError> {
        match self.call(Call::Write { writes }).await? {
            Reply::Written(versions) => Ok(versions),
            _ => Err(PlatformError::Unavailable),
        }
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

    /// Reads a whole table, and the position as of which it was read.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`].
    pub async fn snapshot(&self, table: &str) -> Result<(Vec<Change>, u64), PlatformError> {
        let call = Call::Snapshot {
            table: table.to_owned(),
        };
        match self.call(call).await? {
            Reply::Changes(rows, position) => Ok((rows, position)),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Reads what has changed in a table since `after`, waiting up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// As for [`Platform::call`], and [`PlatformError::HistoryGone`] where the table has to be read anew.
    pub async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<(Vec<Change>, u64), PlatformError> {
        let call = Call::Changes {
            table: table.to_owned(),
            after,
            wait_ms: wait.as_millis() as u64,
        };
        match self.call(call).await? {
            Reply::Changes(rows, position) => Ok((rows, position)),
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Reads the lagging list of live and leaving instances and targets.
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
