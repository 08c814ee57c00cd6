//! Which workspaces wait for a service, and what the others use of it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Time, WorkspaceId};

/// Queued requests up to which a workspace never counts as waiting.
const LEAST_BACKLOG: u32 = 4;
/// Time for which a workspace counts as waiting after it had a backlog, and as active after its
/// last request.
const MEMORY: Duration = Duration::from_secs(1);
/// Standard deviations of the others' load for which room is kept: one in a hundred of their
/// requests finds more of them.
const SPREAD: f64 = 2.33;

/// Counts what workspaces without a backlog have under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct Active {
    flows: BTreeMap<WorkspaceId, Flow>,
    waiting: BTreeSet<(Time, WorkspaceId)>,
    /// Attempts under way.
    total: u32,
    /// Those of workspaces without a backlog.
    light: u32,
    /// Its mean over [`MEMORY`], and when that was worked out.
    usual: f64,
    usual_at: Time,
    /// When a workspace without a backlog last sent a request.
    light_at: Option<Time>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    running: u32,
    waits_until: Option<Time>,
}

impl Active {
    /// Records that a workspace's request came, after which it has `queued` ones.
    pub(crate) fn came(&mut self, now: Time, workspace: &WorkspaceId, queued: usize) {
        self.forget(now);
        if queued > self.total.max(LEAST_BACKLOG) as usize * 2 {
            self.set_waiting(now, workspace);
        } else if queued <= 1 && !self.is_waiting(workspace) {
            self.light_at = Some(now);
        }
    }

    /// Records that an attempt goes out.
    pub(crate) fn sent(&mut self, now: Time, workspace: &WorkspaceId) {
        self.average(now);
        let flow = match self.flows.get_mut(workspace) {
            Some(flow) => flow,
            None => self.flows.entry(workspace.clone()).or_default(),
        };
        flow.running += 1;
        self.total += 1;
        self.light += u32::from(flow.waits_until.is_none());
    }

    /// Records that an attempt has ended.
    pub(crate) fn ended(&mut self, now: Time, workspace: &WorkspaceId) {
        self.average(now);
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        flow.running -= 1;
        self.total -= 1;
        if flow.waits_until.is_some() {
            return;
        }
        self.light -= 1;
        if flow.running == 0 {
            self.flows.remove(workspace);
        }
    }

    /// Returns the slots that workspaces with a backlog leave free for those without, where only
    /// the former are queued.
    ///
    /// What the latter run varies by about the square root of its mean (Poisson), taken as one at
    /// least while any of them is active.
    pub(crate) fn room_beside<'a, I>(&mut self, now: Time, mut queued: I) -> u32
    where
        I: Iterator<Item = &'a WorkspaceId>,
    {
        self.forget(now);
        self.average(now);
        let has_light = self.light_at.is_some_and(|at| now - at < MEMORY);
        if !has_light || !queued.all(|workspace| self.is_waiting(workspace)) {
            return 0;
        }
        (SPREAD * self.usual.max(1.0).sqrt()).round() as u32
    }

    fn is_waiting(&self, workspace: &WorkspaceId) -> bool {
        let flow = self.flows.get(workspace);
        flow.is_some_and(|flow| flow.waits_until.is_some())
    }

    fn set_waiting(&mut self, now: Time, workspace: &WorkspaceId) {
        self.average(now);
        let until = now + MEMORY;
        let flow = self.flows.entry(workspace.clone()).or_default();
        match flow.waits_until.replace(until) {
            Some(old) => {
                self.waiting.remove(&(old, workspace.clone()));
            }
            None => self.light -= flow.running,
        }
        self.waiting.insert((until, workspace.clone()));
    }

    /// Lets workspaces whose backlog is long gone count as ones without.
    fn forget(&mut self, now: Time) {
        while self.waiting.first().is_some_and(|(until, _)| *until <= now) {
            self.average(now);
            let Some((_, workspace)) = self.waiting.pop_first() else {
                return;
            };
            let Some(flow) = self.flows.get_mut(&workspace) else {
                continue;
            };
            flow.waits_until = None;
            self.light += flow.running;
            if flow.running == 0 {
                self.flows.remove(&workspace);
            }
        }
    }

    fn average(&mut self, now: Time) {
        let passed = (now - self.usual_at).as_secs_f64() / MEMORY.as_secs_f64();
        self.usual += (f64::from(self.light) - self.usual) * (1.0 - (-passed).exp());
        self.usual_at = now;
    }
}
