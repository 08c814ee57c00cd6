//! Tracks which workspaces have a backlog at a service and how many slots the others use.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Time, WorkspaceId};

/// Lower bound on the in-flight attempts that a queue is compared with; a queue of up to twice as
/// many requests never counts as a backlog.
const MIN_BACKLOG: u32 = 4;
/// Time for which a workspace counts as backlogged after its last backlog, and as active after its
/// last request; also the time constant of the moving average of the light load.
const ACTIVITY_WINDOW: Duration = Duration::from_secs(1);
/// Standard deviations of the light load for which slots are reserved, so that about one in a
/// hundred light requests finds the reserve used up.
const RESERVE_DEVIATIONS: f64 = 2.33;

/// Counts the in-flight attempts of light workspaces, which are those without a backlog.
#[derive(Debug, Clone, Default)]
pub(crate) struct BacklogTracker {
    flows: BTreeMap<WorkspaceId, Flow>,
    /// Backlogged workspaces by the time at which they stop counting as such.
    backlogged: BTreeSet<(Time, WorkspaceId)>,
    /// In-flight attempts of all workspaces.
    in_flight: u32,
    /// In-flight attempts of light workspaces.
    light_in_flight: u32,
    /// Moving average of the light in-flight attempts over [`ACTIVITY_WINDOW`].
    mean_light: f64,
    /// Time of the last update of the moving average.
    mean_updated_at: Time,
    /// Time of the last request of a light workspace.
    last_light_at: Option<Time>,
}

/// Tracks the in-flight attempts and the backlog of one workspace.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    in_flight: u32,
    backlogged_until: Option<Time>,
}

impl BacklogTracker {
    /// Records the arrival of a workspace's request, after which `queued` of its requests wait.
    pub(crate) fn record_arrival(&mut self, now: Time, workspace: &WorkspaceId, queued: usize) {
        self.expire_backlogs(now);
        if queued > self.in_flight.max(MIN_BACKLOG) as usize * 2 {
            self.mark_backlogged(now, workspace);
        } else if queued <= 1 && !self.is_backlogged(workspace) {
            self.last_light_at = Some(now);
        }
    }

    /// Records the start of an attempt.
    pub(crate) fn record_start(&mut self, now: Time, workspace: &WorkspaceId) {
        self.update_mean(now);
        let flow = match self.flows.get_mut(workspace) {
            Some(flow) => flow,
            None => self.flows.entry(workspace.clone()).or_default(),
        };
        flow.in_flight += 1;
        self.in_flight += 1;
        self.light_in_flight += u32::from(flow.backlogged_until.is_none());
    }

    /// Records the end of an attempt.
    pub(crate) fn record_end(&mut self, now: Time, workspace: &WorkspaceId) {
        self.update_mean(now);
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        flow.in_flight -= 1;
        self.in_flight -= 1;
        if flow.backlogged_until.is_some() {
            return;
        }
        self.light_in_flight -= 1;
        if flow.in_flight == 0 {
            self.flows.remove(workspace);
        }
    }

    /// Returns the number of slots that backlogged workspaces leave free for light ones; zero
    /// where a light workspace is queued or none is active.
    ///
    /// The light load is assumed to be Poisson-distributed, so its standard deviation is the
    /// square root of its mean; the mean counts as at least one while a light workspace is active.
    pub(crate) fn reserved_slots<'a, I>(&mut self, now: Time, mut queued: I) -> u32
    where
        I: Iterator<Item = &'a WorkspaceId>,
    {
        self.expire_backlogs(now);
        self.update_mean(now);
        let has_light = self
            .last_light_at
            .is_some_and(|at| now - at < ACTIVITY_WINDOW);
        if !has_light || !queued.all(|workspace| self.is_backlogged(workspace)) {
            return 0;
        }
        (RESERVE_DEVIATIONS * self.mean_light.max(1.0).sqrt()).round() as u32
    }

    fn is_backlogged(&self, workspace: &WorkspaceId) -> bool {
        let flow = self.flows.get(workspace);
        flow.is_some_and(|flow| flow.backlogged_until.is_some())
    }

    fn mark_backlogged(&mut self, now: Time, workspace: &WorkspaceId) {
        self.update_mean(now);
        let until = now + ACTIVITY_WINDOW;
        let flow = self.flows.entry(workspace.clone()).or_default();
        match flow.backlogged_until.replace(until) {
            Some(old) => {
                self.backlogged.remove(&(old, workspace.clone()));
            }
            None => self.light_in_flight -= flow.in_flight,
        }
        self.backlogged.insert((until, workspace.clone()));
    }

    /// Turns workspaces whose backlog has expired into light ones.
    fn expire_backlogs(&mut self, now: Time) {
        while self
            .backlogged
            .first()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.update_mean(now);
            let Some((_, workspace)) = self.backlogged.pop_first() else {
                return;
            };
            let Some(flow) = self.flows.get_mut(&workspace) else {
                continue;
            };
            flow.backlogged_until = None;
            self.light_in_flight += flow.in_flight;
            if flow.in_flight == 0 {
                self.flows.remove(&workspace);
            }
        }
    }

    /// Brings the moving average up to date; called before each change of the light load.
    fn update_mean(&mut self, now: Time) {
        let elapsed = (now - self.mean_updated_at).as_secs_f64() / ACTIVITY_WINDOW.as_secs_f64();
        self.mean_light +=
            (f64::from(self.light_in_flight) - self.mean_light) * (1.0 - (-elapsed).exp());
        self.mean_updated_at = now;
    }
}
