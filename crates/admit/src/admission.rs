//! Admission of requests by the rate and burst of their workspace.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Config, ErrorKind, InstanceId, Refusal, Shared, Time, Workspace, WorkspaceId};
use coord::{
    AdmissionDecision, Grant, GrantRequest, Loan, OwnerId, Quota, QuotaHolder, QuotaSplit,
    SlotHistory,
};

use crate::retries::RetrySchedule;

/// Lists what the caller of the admission controller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Process the request with this number, which is within the quota.
    Admit(u64),
    /// Answer the request with this number with the refusal.
    Refuse(u64, Refusal),
    /// Send the request for tokens to the workspace's owner.
    RequestGrant(WorkspaceId, OwnerId, GrantRequest),
    /// Send the loans of this instance's reservations to the workspace's owner.
    Lend(WorkspaceId, OwnerId, Vec<Loan>),
}

/// Admits requests by the quota of their workspace.
///
/// Tokens come from the reservations of this instance's slots and from grants of each workspace's
/// owner. Requests that find none wait for a grant.
///
/// # Examples
///
/// ```
/// use admit::{Action, AdmissionController};
/// use base::{Config, Time, Workspace};
/// use coord::{QuotaSplit, SlotHistory};
///
/// let mut config = Config::default();
/// let workspace = Workspace { rate: 1.0, burst: 1.0, ..Workspace::default() };
/// config.workspaces.insert("w".into(), workspace);
/// let split = QuotaSplit { reserved_share: 1.0, slots: 1, ..QuotaSplit::default() };
/// let mut admission = AdmissionController::new(split);
/// admission.configure(Time::ZERO, &config);
/// admission.hold_slot(Time::ZERO, 0, Time::from_secs(60), SlotHistory::NeverHeld);
/// let actions = admission.on_request(Time::ZERO, 1, &"w".into(), Time::from_secs(1));
/// assert_eq!(actions, [Action::Admit(1)]);
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionController {
    split: QuotaSplit,
    /// Workspaces of the latest configuration.
    workspaces: Shared<BTreeMap<WorkspaceId, Workspace>>,
    limiters: BTreeMap<WorkspaceId, WorkspaceLimiter>,
    slots: BTreeMap<u32, HeldSlot>,
    /// When configurations removed workspaces, which may have spent tokens here until then.
    removed: BTreeMap<WorkspaceId, Time>,
}

/// Describes a slot that this instance holds.
#[derive(Debug, Clone, Copy)]
struct HeldSlot {
    until: Time,
    history: SlotHistory,
}

/// Limits the requests of one workspace.
#[derive(Debug, Clone)]
struct WorkspaceLimiter {
    holder: QuotaHolder,
    queue: VecDeque<QueuedRequest>,
    retries: RetrySchedule,
}

#[derive(Debug, Clone)]
struct QueuedRequest {
    id: u64,
    /// Time until which it may wait.
    wait_deadline: Time,
    deadline: Time,
}

/// Time for which it is known when a workspace was removed; longer than a quota takes to refill.
const REMOVED_MEMORY: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of queued requests of one workspace.
const MAX_QUEUE_LEN: usize = 4096;
/// Fraction of the time left to a request for which it waits for a grant; the rest is for the run.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Maximum time that a request waits for a grant.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

impl AdmissionController {
    /// Returns a controller without workspaces.
    pub fn new(split: QuotaSplit) -> Self {
        Self {
            split,
            workspaces: Shared::default(),
            limiters: BTreeMap::new(),
            slots: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// Applies a configuration's workspaces and their quotas.
    pub fn configure(&mut self, now: Time, config: &Config) {
        // A workspace that was removed stays while requests of its wait.
        let is_complete = self.limiters.len() == config.workspaces.len();
        if self.workspaces == config.workspaces && is_complete {
            return;
        }
        self.workspaces = config.workspaces.clone();
        self.remove_unused(now, config);
        for (id, workspace) in &config.workspaces {
            let quota = Quota {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            if let Some(limiter) = self.limiters.get_mut(id) {
                if limiter.holder.set_quota(now, quota) {
                    limiter.retries = RetrySchedule::default();
                }
                continue;
            }
            let mut holder = QuotaHolder::new(quota, self.split);
            let removed_at = self.removed.remove(id);
            for (slot, held) in &self.slots {
                let history = held.history.not_before(removed_at);
                holder.hold_slot(now, *slot, held.until, history);
            }
            let limiter = WorkspaceLimiter {
                holder,
                queue: VecDeque::new(),
                retries: RetrySchedule::default(),
            };
            self.limiters.insert(id.clone(), limiter);
        }
    }

    /// Removes the workspaces that a configuration lacks, unless requests of theirs wait.
    fn remove_unused(&mut self, now: Time, config: &Config) {
        let removed = &mut self.removed;
        removed.retain(|_, at| now - *at < REMOVED_MEMORY);
        self.limiters.retain(|id, limiter| {
            let is_kept = config.workspaces.contains_key(id) || !limiter.queue.is_empty();
            if !is_kept {
                removed.insert(id.clone(), now);
            }
            is_kept
        });
    }

    /// Acquires or renews a slot, and so its reservations of every workspace's quota, until a time.
    ///
    /// `history` indicates whether their tokens may have been spent by an earlier holder.
    pub fn hold_slot(&mut self, now: Time, slot: u32, until: Time, history: SlotHistory) {
        let held = self
            .slots
            .entry(slot)
            .or_insert(HeldSlot { until, history });
        held.until = until;
        for limiter in self.limiters.values_mut() {
            limiter.holder.hold_slot(now, slot, until, history);
        }
    }

    /// Releases a slot and stops spending its reservations.
    pub fn release_slot(&mut self, slot: u32) {
        self.slots.remove(&slot);
        for limiter in self.limiters.values_mut() {
            limiter.holder.release_slot(slot);
        }
    }

    /// Lends reservations to each workspace's owner, where one is set.
    pub fn lend(&mut self, now: Time) -> Vec<Action> {
        self.limiters
            .iter_mut()
            .filter_map(|(id, limiter)| {
                let owner = limiter.holder.owner()?.clone();
                let loans = limiter.holder.lend(now);
                (!loans.is_empty()).then(|| Action::Lend(id.clone(), owner, loans))
            })
            .collect()
    }

    /// Records that an owner no longer uses the reservations that were lent to it.
    pub fn on_loans_returned(&mut self, now: Time, workspace: &WorkspaceId, owner: &OwnerId) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.holder.on_loans_returned(now, owner);
        }
    }

    /// Sets the owner to which a workspace's token requests and loans are sent.
    pub fn set_owner(&mut self, workspace: &WorkspaceId, owner: Option<OwnerId>) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.holder.set_owner(owner);
        }
    }

    /// Admits, queues or refuses a new request of a workspace.
    pub fn on_request(
        &mut self,
        now: Time,
        id: u64,
        workspace: &WorkspaceId,
        deadline: Time,
    ) -> Vec<Action> {
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return vec![Action::Refuse(id, Refusal::new(ErrorKind::UnknownKey))];
        };
        let mut actions = Vec::with_capacity(1);
        match limiter.on_request(now, id, deadline) {
            AdmissionDecision::Admit => actions.push(Action::Admit(id)),
            AdmissionDecision::Refuse(retry_after) => actions.push(refuse(id, retry_after)),
            AdmissionDecision::Wait => {}
        }
        actions.extend(limiter.grant_request_action(now, workspace));
        actions
    }

    /// Applies the owner's answer to a request for tokens.
    pub fn on_grant(&mut self, now: Time, workspace: &WorkspaceId, grant: &Grant) -> Vec<Action> {
        let Some(limiter) = self.limiters.get_mut(workspace) else {
            return Vec::new();
        };
        if !limiter.holder.on_grant(now, grant) {
            return Vec::new();
        }
        let mut actions = limiter.admit_queued(now);
        actions.extend(limiter.refuse_vain(now));
        actions.extend(limiter.grant_request_action(now, workspace));
        actions
    }

    /// Admits or refuses queued requests as time passes, and repeats requests for tokens.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for (workspace, limiter) in &mut self.limiters {
            if !limiter.queue.is_empty() {
                actions.extend(limiter.admit_queued(now));
                actions.extend(limiter.refuse_vain(now));
            }
            if !limiter.queue.is_empty() || limiter.holder.resend_at().is_some_and(|at| at <= now) {
                actions.extend(limiter.grant_request_action(now, workspace));
            }
        }
        actions
    }

    /// Returns whether any request is queued.
    pub fn has_queued(&self) -> bool {
        self.limiters
            .values()
            .any(|limiter| !limiter.queue.is_empty())
    }

    /// Drops a queued request whose caller has disconnected.
    pub fn cancel(&mut self, id: u64) {
        for limiter in self.limiters.values_mut() {
            limiter.queue.retain(|queued| queued.id != id);
        }
    }

    /// Returns the instance that owns each workspace, where an owner is set.
    pub fn owners(&self) -> BTreeMap<WorkspaceId, InstanceId> {
        self.limiters
            .iter()
            .filter_map(|(id, limiter)| {
                Some((id.clone(), limiter.holder.owner()?.instance.clone()))
            })
            .collect()
    }

    /// Returns the number of tokens that each workspace can take here now.
    pub fn available(&mut self, now: Time) -> BTreeMap<WorkspaceId, f64> {
        self.limiters
            .iter_mut()
            .map(|(id, limiter)| (id.clone(), limiter.holder.available(now)))
            .collect()
    }
}

impl WorkspaceLimiter {
    fn on_request(&mut self, now: Time, id: u64, deadline: Time) -> AdmissionDecision {
        match self.holder.admit(now) {
            AdmissionDecision::Wait => {}
            AdmissionDecision::Admit => return AdmissionDecision::Admit,
            AdmissionDecision::Refuse(first) => {
                return AdmissionDecision::Refuse(self.retry_after(now, first, deadline));
            }
        }
        if self.queue.len() >= MAX_QUEUE_LEN {
            return AdmissionDecision::Refuse(MAX_WAIT);
        }
        let expected = self.holder.expected_tokens(now);
        if expected.is_some_and(|tokens| self.queue.len() as f64 >= tokens) {
            let first = self.holder.retry_after(now);
            return AdmissionDecision::Refuse(self.retry_after(now, first, deadline));
        }
        let wait_deadline = now + (deadline - now).mul_f64(MAX_WAIT_FRACTION).min(MAX_WAIT);
        self.queue.push_back(QueuedRequest {
            id,
            wait_deadline,
            deadline,
        });
        AdmissionDecision::Wait
    }

    fn grant_request_action(&mut self, now: Time, workspace: &WorkspaceId) -> Option<Action> {
        let owner = self.holder.owner()?.clone();
        let request = self.next_grant_request(now)?;
        Some(Action::RequestGrant(workspace.clone(), owner, request))
    }

    fn next_grant_request(&mut self, now: Time) -> Option<GrantRequest> {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.holder.next_grant_request(now, waiting)
    }

    fn admit_queued(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.queue.is_empty() && self.holder.try_take(now) {
            let admitted = self.queue.pop_front();
            actions.extend(admitted.map(|queued| Action::Admit(queued.id)));
        }
        actions
    }

    /// Refuses the requests whose time to wait is over, and all if the owner has no token to grant or doesn't answer.
    fn refuse_vain(&mut self, now: Time) -> Vec<Action> {
        let waits_in_vain = self.holder.waits_in_vain(now);
        let first = self.holder.retry_after(now);
        let mut actions = Vec::new();
        for queued in std::mem::take(&mut self.queue) {
            if waits_in_vain || queued.wait_deadline <= now {
                let retry_after = self.retry_after(now, first, queued.deadline);
                actions.push(refuse(queued.id, retry_after));
            } else {
                self.queue.push_back(queued);
            }
        }
        actions
    }

    /// Returns the delay after which a refused request may be retried, where `first` is the one of the next token.
    ///
    /// Nothing is expected of an owner that doesn't answer until it is asked again, which is the same time for all.
    fn retry_after(&mut self, now: Time, first: Duration, deadline: Time) -> Duration {
        match self.holder.expected_rate(now) {
            Some(rate) => self.retries.next_delay(now, first, rate, deadline - now),
            None => first,
        }
    }
}

fn refuse(id: u64, retry_after: Duration) -> Action {
    Action::Refuse(
        id,
        Refusal::new(ErrorKind::RateLimited).retry_after(retry_after),
    )
}
