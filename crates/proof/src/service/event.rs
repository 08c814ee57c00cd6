//! Events and the requests that they are about.

use base::Time;
use dispatch::ConnectionLoss;

/// Lists what happens.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    /// A request reaches an instance.
    Arrive(u64),
    /// An attempt reaches its target.
    Reach(AttemptId),
    /// A target has done its work on an attempt.
    Work(AttemptId),
    /// An attempt's end reaches the instance.
    End(AttemptId, End),
    /// The time for a hedge has come.
    Hedge(u64),
    /// A caller's patience ends.
    Deadline(u64),
    /// Instances look at their queues.
    Tick,
    /// Targets report their load.
    Report,
    /// The incident with this index begins.
    Begin(usize),
    /// The next poison request comes.
    Poison(usize),
    /// A target that is leaving ends if it is idle.
    CheckIdle(usize),
    /// The other instances learn of a loss that an instance saw.
    LossReported(usize, ConnectionLoss),
}

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: u64,
    pub(super) number: u32,
}

/// Lists the ends of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Answered,
    Refused,
    Unreachable,
    Lost,
}

/// Holds a request.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) workspace: usize,
    pub(super) instance: usize,
    pub(super) sent_at: Time,
    pub(super) arrived_at: Time,
    pub(super) is_once: bool,
    pub(super) is_poison: bool,
    pub(super) runs: u32,
    pub(super) is_closed: bool,
}

/// Holds an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) target: usize,
    pub(super) started_at: Time,
    pub(super) is_on_new_connection: bool,
    pub(super) is_silent: bool,
}
