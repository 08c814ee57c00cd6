//! A modelled store that is restored from a copy, and records what it is asked.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{InstanceId, Position};
use platform::{
    Call, Change, ListedMachine, Platform, PlatformError, Precondition, Reply, Row, Store, StoreEra,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

/// Tables that the instances follow: the operators' and the targets'.
pub(crate) const FOLLOWED: [&str; 2] = ["op", "servers"];
/// Table of the operators' document.
const DOCUMENT_TABLE: &str = FOLLOWED[0];
/// Row that represents the operators' document.
pub(crate) const DOCUMENT: &str = "config";
/// Rows of one answer.
const PAGE_ROWS: usize = 500;
/// Bytes of a row of an answer in addition to its content.
const ROW_BYTES: usize = 60;
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(5);
/// Time in which instances that have reported it to the others.
const TELL_TIME: Duration = Duration::from_millis(10);

/// Lists the kinds of calls that are distinguished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// A page of a whole followed table.
    Whole,
    /// A poll of a followed table.
    Poll,
    /// Any other read.
    Other,
    Write,
}

/// A call of an instance, or a page of one.
#[derive(Debug, Clone)]
pub(crate) struct Asked {
    pub(crate) at: Instant,
    pub(crate) kind: Kind,
    pub(crate) table: String,
    pub(crate) bytes: usize,
    pub(crate) is_refused: bool,
}

/// Read and write calls in a second that the store takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) reads: usize,
    pub(crate) writes: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct ModelStore {
    state: Arc<Mutex<State>>,
    changed: BTreeMap<String, watch::Sender<()>>,
    /// Whether it answers nothing.
    is_silent: watch::Sender<bool>,
    /// Latest eras that the store has named to the instances, as these report them.
    told: watch::Sender<BTreeMap<InstanceId, u32>>,
    limits: Option<Limits>,
    document_bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    tables: BTreeMap<String, Store>,
    era: u32,
    asked: Vec<Asked>,
    /// Numbers of the tables' rows as they were last read.
    row_counts: BTreeMap<String, usize>,
}

/// A copy of all tables.
#[derive(Debug, Clone)]
pub(crate) struct Copy(BTreeMap<String, Store>);

impl ModelStore {
    /// Starts a store in its first era, whose document counts as `document_bytes` long.
    pub(crate) fn start(document_bytes: usize, limits: Option<Limits>) -> Self {
        let changed = FOLLOWED.map(|table| (table.to_owned(), watch::Sender::new(())));
        let state = State {
            era: 1,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: changed.into(),
            is_silent: watch::Sender::new(false),
            told: watch::Sender::default(),
            limits,
            document_bytes,
        }
    }

    /// Returns what an instance among `others` calls it by.
    pub(crate) fn platform(&self, own_id: &str, others: usize) -> Platform {
        let own_id = InstanceId::from(own_id);
        let known = StoreEra::default();
        let (mut told, learned, id) = (self.told.subscribe(), known.clone(), own_id.clone());
        tokio::spawn(async move {
            while told.changed().await.is_ok() {
                sleep(TELL_TIME).await;
                for (by, era) in told.borrow_and_update().iter().filter(|(by, _)| **by != id) {
                    learned.on_reported(by, *era, others);
                }
            }
        });
        let (store, tracked) = (self.clone(), known.clone());
        let platform = Platform::spawn(move || {
            let (store, known, id) = (store.clone(), known.clone(), own_id.clone());
            move |call, _| store.clone().execute(id.clone(), call, known.clone())
        });
        let platform = platform.tracking(tracked);
        let checked = platform.clone();
        tokio::spawn(async move { checked.check_reported_eras(DOCUMENT_TABLE).await });
        platform
    }

    /// Writes a row as an operator or a target does, which isn't counted.
    pub(crate) fn put(&self, table: &str, row: &str, text: &str) {
        let writes = vec![platform::Write::new(table, row).value(text)];
        self.state
            .lock()
            .unwrap()
            .apply(Call::Write { writes })
            .unwrap();
        self.tell_change(table);
    }

    /// Puts an instance on the list before it starts, so that the first one counts all of them.
    pub(crate) fn list(&self, listed: ListedMachine) {
        let call = Call::Announce { listed };
        self.state.lock().unwrap().apply(call).unwrap();
    }

    pub(crate) fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().tables.clone())
    }

    /// Is silent for a time, and is restored from a copy.
    pub(crate) async fn drill(&self, copy: Copy, time: Duration) {
        self.is_silent.send_replace(true);
        sleep(time).await;
        {
            let mut state = self.state.lock().unwrap();
            state.era += 1;
            state.tables = copy.0;
        }
        self.is_silent.send_replace(false);
    }

    /// Returns what it has been asked since the last time, and forgets it.
    pub(crate) fn take_asked(&self) -> Vec<Asked> {
        std::mem::take(&mut self.state.lock().unwrap().asked)
    }

    fn tell_change(&self, table: &str) {
        if let Some(changed) = self.changed.get(table) {
            changed.send_replace(());
        }
    }

    async fn execute(
        self,
        id: InstanceId,
        call: Call,
        known: StoreEra,
    ) -> Result<Reply, PlatformError> {
        let is_refused = self.record(&call);
        let mut is_silent = self.is_silent.subscribe();
        let silent = async {
            let _ = is_silent.wait_for(|is_silent| *is_silent).await;
        };
        let answer = async {
            sleep(CALL_TIME).await;
            if is_refused {
                return Err(PlatformError::Unavailable);
            }
            self.answer(call).await
        };
        let (reply, era) = tokio::select! {
            biased;
            () = silent => std::future::pending().await,
            answer = answer => answer?,
        };
        let named = era.to_string();
        known.on_answer(Some(&named), || self.ask_era()).await?;
        self.told.send_if_modified(|told| {
            let before = told.insert(id, known.named());
            before != Some(known.named())
        });
        reply
    }

    /// Answers a small call with the era.
    async fn ask_era(&self) -> Option<String> {
        let table = "op".to_owned();
        let is_refused = self.record(&Call::Position { table });
        sleep(CALL_TIME).await;
        let era = self.state.lock().unwrap().era;
        (!is_refused).then(|| era.to_string())
    }

    /// Records a call, and returns whether it is refused.
    fn record(&self, call: &Call) -> bool {
        let mut state = self.state.lock().unwrap();
        let (kind, table, pages) = match call {
            Call::Snapshot { table } => (Kind::Whole, table.clone(), state.pages(table)),
            Call::Changes { table, .. } => (Kind::Poll, table.clone(), 1),
            Call::Write { writes } => (Kind::Write, writes[0].table.clone(), 1),
            Call::Announce { .. } | Call::Forget { .. } => (Kind::Write, "instances".into(), 1),
            Call::Get { table, .. } | Call::Position { table } => (Kind::Other, table.clone(), 1),
            Call::Scan { table, .. } => (Kind::Other, table.clone(), state.pages(table)),
            _ => (Kind::Other, "instances".into(), state.pages("instances")),
        };
        let at = Instant::now();
        let is_write = kind == Kind::Write;
        let is_refused = self.limits.is_some_and(|limits| {
            let recent = state.asked.iter().rev();
            let recent = recent.take_while(|one| at - one.at < Duration::from_secs(1));
            let taken = recent.filter(|one| (one.kind == Kind::Write) == is_write);
            // What has no table is an answer.
            let taken = taken.filter(|one| !one.is_refused && !one.table.is_empty());
            let taken = taken.count();
            taken + pages
                > if is_write {
                    limits.writes
                } else {
                    limits.reads
                }
        });
        for _ in 0..pages {
            state.asked.push(Asked {
                at,
                kind,
                table: table.clone(),
                bytes: 0,
                is_refused,
            });
        }
        is_refused
    }

    /// Answers a call; a poll without changes waits for one.
    async fn answer(
        &self,
        call: Call,
    ) -> Result<(Result<Reply, PlatformError>, u32), PlatformError> {
        let Call::Changes {
            table,
            after,
            wait_ms,
        } = call
        else {
            let table = match &call {
                Call::Write { writes } => writes[0].table.clone(),
                Call::Snapshot { table } => table.clone(),
                _ => String::new(),
            };
            let answer = self.state.lock().unwrap().answer(call);
            self.count_bytes(Kind::Whole, &table, &answer.0);
            self.tell_change(&table);
            return Ok(answer);
        };
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed[&table].subscribe();
        loop {
            let call = Call::Changes {
                table: table.clone(),
                after,
                wait_ms,
            };
            let answer = self.state.lock().unwrap().answer(call);
            let is_empty = matches!(&answer.0, Ok(Reply::Changes(rows, _)) if rows.is_empty());
            if !is_empty || timeout_at(deadline, changed.changed()).await.is_err() {
                self.count_bytes(Kind::Poll, &table, &answer.0);
                return Ok(answer);
            }
        }
    }

    fn count_bytes(&self, kind: Kind, table: &str, reply: &Result<Reply, PlatformError>) {
        let Ok(Reply::Changes(rows, _)) = reply else {
            return;
        };
        let bytes = rows.iter().map(|change| {
            let value = change.value.as_ref().map_or(0, String::len);
            let is_document = table == FOLLOWED[0] && change.row == DOCUMENT;
            ROW_BYTES
                + if is_document {
                    self.document_bytes
                } else {
                    value
                }
        });
        let bytes = bytes.sum();
        let mut state = self.state.lock().unwrap();
        state.asked.push(Asked {
            at: Instant::now(),
            kind,
            table: String::new(),
            bytes,
            is_refused: false,
        });
    }
}

impl State {
    /// Returns the number of answers that a whole table needs, by its rows as last read. The document comes alone.
    fn pages(&self, table: &str) -> usize {
        let rows = self.row_counts.get(table).copied().unwrap_or_default();
        let has_document = table == FOLLOWED[0] && rows > 1;
        rows.div_ceil(PAGE_ROWS).max(1) + usize::from(has_document)
    }

    /// Applies a call to its table, whose versions are its own.
    fn apply(&mut self, call: Call) -> Result<Reply, PlatformError> {
        let table = match &call {
            Call::Write { writes } => writes[0].table.clone(),
            Call::Get { table, .. }
            | Call::Scan { table, .. }
            | Call::Snapshot { table }
            | Call::Changes { table, .. }
            | Call::Position { table } => table.clone(),
            _ => "instances".to_owned(),
        };
        let is_whole = matches!(call, Call::Scan { .. } | Call::Snapshot { .. } | Call::List);
        let reply = self.tables.entry(table.clone()).or_default().apply(call);
        let rows = match &reply {
            Ok(Reply::Rows(rows)) => rows.len(),
            Ok(Reply::Changes(rows, _)) => rows.len(),
            Ok(Reply::List(list)) => list.len(),
            _ => return reply,
        };
        if is_whole {
            self.row_counts.insert(table, rows);
        }
        reply
    }

    fn answer(&mut self, call: Call) -> (Result<Reply, PlatformError>, u32) {
        let era = self.era;
        let call = match call {
            Call::Changes { after, .. } if after.era != era => {
                return (Err(PlatformError::HistoryGone), era);
            }
            call => in_first_era(call),
        };
        let reply = self.apply(call).map(|reply| in_era(reply, era));
        (reply, era)
    }
}

/// Returns a call as the tables know it, which have no eras.
fn in_first_era(mut call: Call) -> Call {
    match &mut call {
        Call::Write { writes } => {
            for write in writes {
                if let Precondition::Version(version) = &mut write.expect {
                    *version = version.in_era(0);
                }
            }
        }
        Call::Changes { after, .. } => *after = after.in_era(0),
        _ => {}
    }
    call
}

fn in_era(reply: Reply, era: u32) -> Reply {
    let of_era = |position: Position| position.in_era(era);
    let row_of_era = |row: Row| Row {
        version: of_era(row.version),
        ..row
    };
    match reply {
        Reply::Row(row) => Reply::Row(row.map(row_of_era)),
        Reply::Rows(rows) => {
            let rows = rows.into_iter().map(|(name, row)| (name, row_of_era(row)));
            Reply::Rows(rows.collect())
        }
        Reply::Written(versions) => Reply::Written(versions.into_iter().map(of_era).collect()),
        Reply::Changes(changes, position) => {
            let changes = changes.into_iter().map(|change| Change {
                at: of_era(change.at),
                ..change
            });
            Reply::Changes(changes.collect(), of_era(position))
        }
        Reply::Position(position) => Reply::Position(of_era(position)),
        other => other,
    }
}
