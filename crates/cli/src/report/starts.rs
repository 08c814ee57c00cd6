//! When the processes started whose log lines are read.

use std::{collections::BTreeMap, time::UNIX_EPOCH};

use super::record::RequestRecord;

/// Fall of an instance's times from which on it must have been started again; its requests' lines
/// are written in the order of their ends, but by several threads.
const MIN_RESTART_FALL_MS: u64 = 1_000;

/// Puts the requests of all processes on one axis of time, since each counts from its own start.
#[derive(Debug, Default)]
pub(super) struct Starts {
    by_instance: BTreeMap<String, ProcessStart>,
}

/// Records when an instance's latest process started, if its lines contain that.
#[derive(Debug, Default)]
struct ProcessStart {
    /// By the process's own line, in milliseconds since 1970.
    at_ms: Option<u64>,
    /// Length of earlier processes that no such line divides from this one.
    unmarked_ms: u64,
    /// Time of the last request, by the process's own clock.
    last_ms: u64,
}

impl Starts {
    /// Begins a process of an instance at a time in the form of RFC 3339.
    pub(super) fn begin(&mut self, instance: &str, timestamp: &str) {
        let at = humantime::parse_rfc3339(timestamp).ok();
        let since_epoch = at.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        let start = ProcessStart {
            at_ms: since_epoch.and_then(|since| u64::try_from(since.as_millis()).ok()),
            ..ProcessStart::default()
        };
        self.by_instance.insert(instance.to_owned(), start);
    }

    /// Sets when the process of a request started; must be called in the order of the lines.
    ///
    /// Without a line that reports a start, a process follows the one before it at once.
    pub(super) fn place(&mut self, record: &mut RequestRecord) {
        let start = self.by_instance.entry(record.instance.clone()).or_default();
        if record.at_ms + MIN_RESTART_FALL_MS <= start.last_ms {
            start.unmarked_ms += start.last_ms;
            start.last_ms = 0;
        }
        start.last_ms = start.last_ms.max(record.at_ms);
        record.started_at_ms = start.at_ms;
        record.at_ms += start.unmarked_ms;
    }
}
