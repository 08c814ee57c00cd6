//! A platform that is restored from an older copy of its tables.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use platform::{
    Call, ListedMachine, MachineKind, MachineState, Platform, PlatformError, Precondition, Reply,
    Row, Store, StoreEra,
};
use tokio::time::sleep;

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(5);

/// Returns the entry of the instance with this number.
pub(crate) fn listed(instance: usize) -> ListedMachine {
    ListedMachine {
        id: format!("front-{instance}"),
        kind: MachineKind::Instance,
        domain: "d".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: MachineState::Live,
    }
}

/// The platform that all instances of a test call.
#[derive(Debug, Clone, Default)]
pub(crate) struct RestoredStore {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    era: u32,
    /// Tables and numbers of the instances' writes, refused ones as well.
    writes: Vec<(String, usize)>,
    /// Number of the instance that isn't answered.
    cut_off: Option<usize>,
    /// Numbers of the instances that have ended.
    ended: BTreeSet<usize>,
    /// Copy from which the platform is restored at the next write, after it has carried it out.
    after_write: Option<Store>,
}

impl RestoredStore {
    /// Returns what the instance with this number calls it by.
    pub(crate) fn platform(&self, instance: usize) -> Platform {
        let known = StoreEra::default();
        let (store, tracked) = (self.clone(), known.clone());
        let platform = Platform::spawn(move || {
            let (store, known) = (store.clone(), known.clone());
            move |call, _| store.clone().execute(instance, call, known.clone())
        });
        platform.tracking(tracked)
    }

    /// Returns the same, and polls by it twice a second, as an instance does that follows tables.
    pub(crate) fn polled_platform(&self, instance: usize) -> Platform {
        let platform = self.platform(instance);
        let polled = platform.clone();
        tokio::spawn(async move {
            loop {
                let _ = polled.position("op").await;
                sleep(Duration::from_millis(500)).await;
            }
        });
        platform
    }

    /// Returns a copy of the tables.
    pub(crate) fn copy(&self) -> Store {
        self.state.lock().unwrap().store.clone()
    }

    /// Comes back from a copy.
    pub(crate) fn restore(&self, copy: Store) {
        self.state.lock().unwrap().restore(copy);
    }

    /// Comes back from a copy between the next write and its answer.
    pub(crate) fn restore_after_write(&self, copy: Store) {
        self.state.lock().unwrap().after_write = Some(copy);
    }

    /// Leaves an instance without answers, or none.
    pub(crate) fn cut_off(&self, instance: Option<usize>) {
        self.state.lock().unwrap().cut_off = instance;
    }

    /// Leaves an instance without answers permanently, as if its process had ended.
    pub(crate) fn end(&self, instance: usize) {
        self.state.lock().unwrap().ended.insert(instance);
    }

    /// Returns the number of writes of a table by the instances.
    pub(crate) fn write_count(&self, table: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .writes
            .iter()
            .filter(|(name, _)| name == table)
            .count()
    }

    async fn execute(
        self,
        instance: usize,
        call: Call,
        known: StoreEra,
    ) -> Result<Reply, PlatformError> {
        sleep(CALL_TIME).await;
        let (reply, era) = self.state.lock().unwrap().apply(instance, call)?;
        let named = || async { Some(era.to_string()) };
        known.on_answer(Some(&era.to_string()), named).await?;
        reply
    }
}

impl State {
    fn restore(&mut self, copy: Store) {
        self.era += 1;
        self.store = copy;
    }

    fn apply(
        &mut self,
        instance: usize,
        call: Call,
    ) -> Result<(Result<Reply, PlatformError>, u32), PlatformError> {
        if self.cut_off == Some(instance) || self.ended.contains(&instance) {
            return Err(PlatformError::Unavailable);
        }
        let table = match &call {
            Call::Write { writes } => writes.first().map(|write| write.table.clone()),
            Call::Announce { .. } => Some("instances".to_owned()),
            _ => None,
        };
        let reply = self.store.apply(in_first_era(call));
        let reply = reply.map(|reply| in_era(reply, self.era));
        if let Some(table) = table {
            self.writes.push((table, instance));
            if let Some(copy) = self.after_write.take() {
                self.restore(copy);
            }
        }
        Ok((reply, self.era))
    }
}

/// Returns a call as the tables know it, which have no eras.
fn in_first_era(mut call: Call) -> Call {
    if let Call::Write { writes } = &mut call {
        for write in writes {
            if let Precondition::Version(version) = &mut write.expect {
                *version = version.in_era(0);
            }
        }
    }
    call
}

fn in_era(reply: Reply, era: u32) -> Reply {
    match reply {
        Reply::Row(row) => Reply::Row(row.map(|row| Row {
            version: row.version.in_era(era),
            ..row
        })),
        Reply::Written(versions) => {
            let versions = versions.into_iter().map(|version| version.in_era(era));
            Reply::Written(versions.collect())
        }
        other => other,
    }
}
