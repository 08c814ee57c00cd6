//! The decision whether a workspace's request is within its rate and burst.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Config, ErrorKind, Refusal, Time, WorkspaceId};
use coord::{Ask, Grant, Holder, Quota, Split, Verdict};

/// Lists what the admission tells its caller to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The request is within the rate.
    Admit(u64),
    /// Give the request its final answer at once.
    Refuse(u64, Refusal),
    /// Send the ask to the workspace's owner.
    Ask(WorkspaceId, Ask),
}

/// Admits requests by workspace from a floor and from granted units.
///
/// # Examples
///
/// ```
/// use admit::{Action, Admission};
/// use base::{Config, Time, Workspace};
/// use coord::Split;
///
/// let mut config = Config::default();
/// let workspace = Workspace { rate: 1.0, burst: 1.0, weight: 1 };
/// config.workspaces.insert("w".into(), workspace);
/// let mut admission = Admission::new(Split { floor_share: 1.0, slots: 1, ..Split::default() });
/// admission.configure(Time::ZERO, &config);
/// admission.hold_floors(Time::ZERO, Time::from_secs(60), true);
/// let actions = admission.arrive(Time::ZERO, 1, &"w".into(), Time::from_secs(1));
/// assert_eq!(actions, [Action::Admit(1)]);
/// ```
#[derive(Debug, Clone)]
pub struct Admission {
    split: Split,
    gates: BTreeMap<WorkspaceId, Gate>,
    floors_until: Time,
}

#[derive(Debug, Clone)]
struct Gate {
    holder: Holder,
    waiting: VecDeque<Waiter>,
}

#[derive(Debug, Clone)]
struct Waiter {
    id: u64,
    until: Time,
}

const MOST_WAITING: usize = 4096;
/// Longest time that a request waits for the owner's answer.
const MOST_WAIT: Duration = Duration::from_millis(1_500);

impl Admission {
    /// Returns an admission that knows no workspace.
    pub fn new(split: Split) -> Self {
        Self {
            split,
            gates: BTreeMap::new(),
            floors_until: Time::ZERO,
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
            let mut holder = Holder::new(now, quota, self.split);
            holder.set_floor_right(self.floors_until);
            let waiting = VecDeque::new();
            self.gates.insert(id.clone(), Gate { holder, waiting });
        }
    }

    /// Sets the time until which this instance's floors may be spent.
    ///
    /// `is_first` tells that nobody has held them before, so that they begin full.
    pub fn hold_floors(&mut self, now: Time, until: Time, is_first: bool) {
        self.floors_until = until;
        for gate in self.gates.values_mut() {
            gate.holder.set_floor_right(until);
            if is_first {
                gate.holder.fill_floor(now);
            }
        }
    }

    /// Sets whether a workspace has an owner to ask.
    pub fn set_owner_known(&mut self, workspace: &WorkspaceId, is_known: bool) {
        if let Some(gate) = self.gates.get_mut(workspace) {
            gate.holder.set_owner_known(is_known);
        }
    }

    /// Takes in a request of a workspace.
    pub fn arrive(
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
            Verdict::Admit => actions.push(Action::Admit(id)),
            Verdict::Refuse(wait) => actions.push(refuse(id, wait)),
            Verdict::Wait => {}
        }
        actions.extend(gate.ask(now).map(|ask| Action::Ask(workspace.clone(), ask)));
        actions
    }

    /// Takes in the owner's answer.
    pub fn granted(&mut self, now: Time, workspace: &WorkspaceId, grant: &Grant) -> Vec<Action> {
        let Some(gate) = self.gates.get_mut(workspace) else {
            return Vec::new();
        };
        if !gate.holder.granted(now, grant) {
            return Vec::new();
        }
        let mut actions = gate.serve(now);
        if gate.holder.is_refused(now) {
            actions.extend(gate.refuse_all(now));
        }
        actions.extend(gate.ask(now).map(|ask| Action::Ask(workspace.clone(), ask)));
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
            if !gate.waiting.is_empty() || gate.holder.wake_at().is_some_and(|at| at <= now) {
                actions.extend(gate.ask(now).map(|ask| Action::Ask(workspace.clone(), ask)));
            }
        }
        actions
    }

    /// Drops a waiting request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        for gate in self.gates.values_mut() {
            gate.waiting.retain(|waiter| waiter.id != id);
        }
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
    fn arrive(&mut self, now: Time, id: u64, deadline: Time) -> Verdict {
        let verdict = self.holder.admit(now);
        if verdict != Verdict::Wait {
            return verdict;
        }
        if self.waiting.len() >= MOST_WAITING {
            return Verdict::Refuse(MOST_WAIT);
        }
        let until = deadline.min(now + MOST_WAIT);
        self.waiting.push_back(Waiter { id, until });
        Verdict::Wait
    }

    fn ask(&mut self, now: Time) -> Option<Ask> {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.holder.ask(now, waiting)
    }

    fn serve(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.waiting.is_empty() && self.holder.take(now) {
            let admitted = self.waiting.pop_front();
            actions.extend(admitted.map(|waiter| Action::Admit(waiter.id)));
        }
        actions
    }

    fn refuse_all(&mut self, now: Time) -> Vec<Action> {
        let wait = self.holder.retry_after(now);
        self.waiting
            .drain(..)
            .map(|waiter| refuse(waiter.id, wait))
            .collect()
    }

    fn refuse_late(&mut self, now: Time) -> Vec<Action> {
        let wait = self.holder.retry_after(now);
        let mut actions = Vec::new();
        self.waiting.retain(|waiter| {
            let is_late = waiter.until <= now;
            if is_late {
                actions.push(refuse(waiter.id, wait));
            }
            !is_late
        });
        actions
    }
}

fn refuse(id: u64, wait: Duration) -> Action {
    Action::Refuse(id, Refusal::new(ErrorKind::RateLimited).retry_after(wait))
}
