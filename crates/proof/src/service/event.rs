//! Events of the simulation, and its requests and attempts.

use base::Time;
use dispatch::{LossReport, QuarantineReport};

/// Lists the events of the simulation.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// A request arrives at an instance.
    RequestArrives(u64),
    /// An attempt arrives at its target.
    AttemptArrives(AttemptId),
    /// A target completes the work of an attempt.
    WorkCompletes(AttemptId),
    /// The outcome of an attempt arrives at the instance.
    AttemptEnds(AttemptId, AttemptOutcome),
    /// The hedge delay of a request has passed.
    HedgeDue(u64),
    /// The deadline of a request passes.
    Deadline(u64),
    /// All instances process their queues.
    Tick,
    /// All targets report their load to all instances.
    Report,
    /// The incident with this index begins.
    IncidentBegins(usize),
    /// The next request that crashes targets, of the incident with this index is sent.
    PoisonRequestDue(usize),
    /// A leaving target is checked, and ends if it is idle.
    CheckIdle(usize),
    /// A connection loss that an instance saw is reported to the other instances.
    LossReported(usize, LossReport),
    /// What an instance knows of quarantined requests is reported to the other instances.
    QuarantineReported(usize, QuarantineReport),
}

/// Identifies an attempt by its request and its number, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: u64,
    pub(super) number: u32,
}

/// Lists the outcomes of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    Answered,
    Refused,
    Unreachable,
    Lost,
}

/// Tracks a request from its caller until it is completed, and how often targets ran it.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) workspace: usize,
    pub(super) instance: usize,
    pub(super) sent_at: Time,
    pub(super) arrived_at: Time,
    pub(super) is_non_idempotent: bool,
    pub(super) is_poison: bool,
    /// Number of times that a target began to execute it.
    pub(super) execution_count: u32,
    /// Whether it has been answered, refused or given up.
    pub(super) is_completed: bool,
}

/// Tracks an attempt from its start until its outcome arrives.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) target: usize,
    pub(super) started_at: Time,
    pub(super) is_on_new_connection: bool,
    /// Whether its connection has stopped responding, so that it never arrives.
    pub(super) is_silent: bool,
}
