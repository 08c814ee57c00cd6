//! The decision whether a workspace's request is within its rate and burst.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Config, ErrorKind, InstanceId, Refusal, Time, WorkspaceId};
use coord::{
    AdmissionDecision, Grant, GrantRequest, Loan, OwnerId, Quota, QuotaHolder, QuotaSplit,
    SlotHistory,
};

/// Lists what the admission tells its caller to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The request is within the rate.
    Admit(u64),
    /// Give the request its final answer at once.
    Refuse(u64, Refusal),
    /// Send the ask to the workspace's owner.
    RequestGrant(WorkspaceId, OwnerId, GrantRequest),
    /// Tell the workspace's owner that floors of this instance are lent to it.
    Lend(WorkspaceId, OwnerId, Vec<Loan>),
}

/// Admits requests by workspace from a floor and from granted units.
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
/// let mut admission = AdmissionController::new(QuotaSplit { reserved_share: 1.0, slots: 1, ..QuotaSplit::default() });
/// admission.configure(Time::ZERO, &config);
/// admission.hold_slot(Time::ZERO, 0, Time::from_secs(60), SlotHistory::NeverHeld);
/// let actions = admission.on_request(Time::ZERO, 1, &"w".into(), Time::from_secs(1));
/// assert_eq!(actions, [Action::Admit(1)]);
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionController {
    split: QuotaSplit,
    gates: BTreeMap<WorkspaceId, Gate>,
    slots: BTreeMap<u32, Right>,
    /// Whether a configuration has been in force.
    is_configured: bool,
}

/// Holds the right to a slot.
#[derive(Debug, Clone, Copy)]
struct Right {
    until: Time,
    before: SlotHistory,
}

#[derive(Debug, Clone)]
struct Gate {
    holder: QuotaHolder,
    waiting: VecDeque<Waiter>,
}

#[derive(Debug, Clone)]
struct Waiter {
    id: u64,
    until: Time,
    is_counted: bool,
}

const MOST_WAITING: usize = 4096;
/// Longest time that a request waits for the owner's answer.
const MOST_WAIT: Duration = Duration::from_millis(1_500);

impl AdmissionController {
    /// Returns an admission that knows no workspace.
    pub fn new(split: QuotaSplit) -> Self {
        Self {
            split,
            gates: BTreeMap::new(),
            slots: BTreeMap::new(),
            is_configured: false,
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, now: Time, config: &Config) {
        self.gates
            .retain(|id, gate| config.workspaces.contains_key(id) || !gate.waiting.is_empty());
        for (id, workspace) in &config.workspaces {
            let quota = Quota {
                rate: workspace.rate,
                burst: workspace.burst,
            };
            if let Some(gate) = self.gates.get_mut(id) {
                gate.holder.set_quota(now, quota);
                continue;
            }
            let mut holder = QuotaHolder::new(quota, self.split);
            for (slot, right) in &self.slots {
                let before = match right.before {
                    // A workspace that comes again may have been spent from here until it went.
                    SlotHistory::EndedBy(_) if self.is_configured => SlotHistory::EndedBy(now),
                    told => told,
                };
                holder.hold_slot(now, *slot, right.until, before);
            }
            let waiting = VecDeque::new();
            self.gates.insert(id.clone(), Gate { holder, waiting });
        }
        self.is_configured = true;
    }

    /// Takes up or renews the right to a slot of every workspace's floors, until a time.
    ///
    /// `before` tells what may have been spent of its floors.
    pub fn hold_slot(&mut self, now: Time, slot: u32, until: Time, before: SlotHistory) {
        let right = self.slots.entry(slot).or_insert(Right { until, before });
        right.until = until;
        for gate in self.gates.values_mut() {
            gate.holder.hold_slot(now, slot, until, before);
        }
    }

    /// Gives a slot up.
    pub fn release_slot(&mut self, slot: u32) {
        self.slots.remove(&slot);
        for gate in self.gates.values_mut() {
            gate.holder.release_slot(slot);
        }
    }

    /// Lends the floors to the owners that can be reached.
    pub fn lend(&mut self, now: Time) -> Vec<Action> {
        self.gates
            .iter_mut()
            .filter_map(|(id, gate)| {
                let owner = gate.holder.owner()?.clone();
                let loans = gate.holder.lend(now);
                (!loans.is_empty()).then(|| Action::Lend(id.clone(), owner, loans))
            })
            .collect()
    }

    /// Takes in that an owner has stopped using what was lent to it.
    pub fn on_loans_returned(&mut self, now: Time, workspace: &WorkspaceId, owner: &OwnerId) {
        if let Some(gate) = self.gates.get_mut(workspace) {
            gate.holder.on_loans_returned(now, owner);
        }
    }

    /// Sets a workspace's owner that can be asked.
    pub fn set_owner(&mut self, workspace: &WorkspaceId, owner: Option<OwnerId>) {
        if let Some(gate) = self.gates.get_mut(workspace) {
            gate.holder.set_owner(owner);
        }
    }

    /// Takes in a request of a workspace.
    pub fn on_request(
        &mut self,
        now: Time,
        id: u64,
        workspace: &WorkspaceId,
        deadline: Time,
    ) -> Vec<Action> {
        let Some(gate) = self.gates.get_mut(workspace) else {
            return vec![Action::Refuse(id, Refusal::new(ErrorKind::UnknownKey))];
        };
        let mut actions = Vec::with_capacity(1);
        match gate.arrive(now, id, deadline) {
            AdmissionDecision::Admit => actions.push(Action::Admit(id)),
            AdmissionDecision::Refuse(wait) => actions.push(refuse(id, wait)),
            AdmissionDecision::Wait => {}
        }
        actions.extend(gate.ask_action(now, workspace));
        actions
    }

    /// Takes in the owner's answer.
    pub fn on_grant(&mut self, now: Time, workspace: &WorkspaceId, grant: &Grant) -> Vec<Action> {
        let Some(gate) = self.gates.get_mut(workspace) else {
            return Vec::new();
        };
        if !gate.holder.on_grant(now, grant) {
            return Vec::new();
        }
        let mut actions = gate.serve(now);
        if gate.holder.is_exhausted(now) {
            actions.extend(gate.refuse_counted(now));
        }
        actions.extend(gate.ask_action(now, workspace));
        actions
    }

    /// Serves and refuses waiting requests as time passes, and repeats asks.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for (workspace, gate) in &mut self.gates {
            if !gate.waiting.is_empty() {
                actions.extend(gate.serve(now));
                actions.extend(gate.refuse_late(now));
            }
            if !gate.waiting.is_empty() || gate.holder.resend_at().is_some_and(|at| at <= now) {
                actions.extend(gate.ask_action(now, workspace));
            }
        }
        actions
    }

    /// Returns whether a request waits for a unit.
    pub fn has_queued(&self) -> bool {
        self.gates.values().any(|gate| !gate.waiting.is_empty())
    }

    /// Drops a waiting request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        for gate in self.gates.values_mut() {
            gate.waiting.retain(|waiter| waiter.id != id);
        }
    }

    /// Returns the instance that can be asked for each workspace that has an owner.
    pub fn owners(&self) -> BTreeMap<WorkspaceId, InstanceId> {
        self.gates
            .iter()
            .filter_map(|(id, gate)| Some((id.clone(), gate.holder.owner()?.instance.clone())))
            .collect()
    }

    /// Returns the units that each workspace can take here now.
    pub fn available(&mut self, now: Time) -> BTreeMap<WorkspaceId, f64> {
        self.gates
            .iter_mut()
            .map(|(id, gate)| (id.clone(), gate.holder.available(now)))
            .collect()
    }
}

impl Gate {
    fn arrive(&mut self, now: Time, id: u64, deadline: Time) -> AdmissionDecision {
        let verdict = self.holder.admit(now);
        if verdict != AdmissionDecision::Wait {
            return verdict;
        }
        if self.waiting.len() >= MOST_WAITING {
            return AdmissionDecision::Refuse(MOST_WAIT);
        }
        let until = deadline.min(now + MOST_WAIT);
        self.waiting.push_back(Waiter {
            id,
            until,
            is_counted: false,
        });
        AdmissionDecision::Wait
    }

    fn ask_action(&mut self, now: Time, workspace: &WorkspaceId) -> Option<Action> {
        let owner = self.holder.owner()?.clone();
        let ask = self.ask(now)?;
        Some(Action::RequestGrant(workspace.clone(), owner, ask))
    }

    fn ask(&mut self, now: Time) -> Option<GrantRequest> {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let ask = self.holder.next_request(now, waiting)?;
        let is_new = ask.waiting == waiting;
        for waiter in &mut self.waiting {
            waiter.is_counted |= is_new;
        }
        Some(ask)
    }

    fn serve(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.waiting.is_empty() && self.holder.try_take(now) {
            let admitted = self.waiting.pop_front();
            actions.extend(admitted.map(|waiter| Action::Admit(waiter.id)));
        }
        actions
    }

    /// Refuses the requests that the owner knew of and had no units for.
    fn refuse_counted(&mut self, now: Time) -> Vec<Action> {
        self.refuse_where(now, |waiter| waiter.is_counted)
    }

    fn refuse_late(&mut self, now: Time) -> Vec<Action> {
        self.refuse_where(now, |waiter| waiter.until <= now)
    }

    fn refuse_where<F>(&mut self, now: Time, is_refused: F) -> Vec<Action>
    where
        F: Fn(&Waiter) -> bool,
    {
        let wait = self.holder.retry_after(now);
        let mut actions = Vec::new();
        self.waiting.retain(|waiter| {
            let is_refused = is_refused(waiter);
            if is_refused {
                actions.push(refuse(waiter.id, wait));
            }
            !is_refused
        });
        actions
    }
}

fn refuse(id: u64, wait: Duration) -> Action {
    Action::Refuse(id, Refusal::new(ErrorKind::RateLimited).retry_after(wait))
}
