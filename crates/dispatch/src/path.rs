//! Decides whether this instance has lost its path to the targets, as opposed to the targets having
//! failed.

use std::{collections::BTreeMap, time::Duration};

use base::{TargetId, Time};
use chart::Chart;
use serde::Deserialize;

/// Lists the states of the path to the targets; `charts/path.json` holds the transitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PathState {
    /// Connections are opened from this instance.
    Direct,
    /// Connections are opened through other instances.
    Relayed,
}

/// Lists the events that change the state of the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PathEvent {
    /// Several targets that other instances reach can't be reached, or nothing answers any more.
    Lost,
    /// Connections from this instance can be opened again, or requests on them are answered again.
    Restored,
}

/// Reports how a connection to a target was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Dial {
    /// Whether this instance could open it; `None` if it did not try.
    pub direct: Option<bool>,
    /// Whether another instance could open it; `None` if none was asked, or none answered.
    pub relayed: Option<bool>,
}

impl Dial {
    /// Returns the report of a connection that was tried directly alone.
    pub fn direct(is_open: bool) -> Self {
        Self {
            direct: Some(is_open),
            relayed: None,
        }
    }

    /// Adds whether another instance could open it.
    pub fn relayed(mut self, is_open: bool) -> Self {
        self.relayed = Some(is_open);
        self
    }
}

/// Watches the connections to targets and decides when to open them through other instances.
///
/// A target that neither this instance nor another one can reach says nothing of the path; one that
/// only the other one reaches does.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use dispatch::{Dial, PathMonitor, PathState, path_chart};
///
/// let mut path = PathMonitor::new(path_chart().unwrap());
/// let only_relayed = Dial::direct(false).relayed(true);
/// let now = Time::from_secs(1);
/// path.record_dial(now, &"a".into(), only_relayed);
/// assert_eq!(path.state(), PathState::Direct);
/// path.record_dial(now, &"b".into(), only_relayed);
/// assert_eq!(path.state(), PathState::Relayed);
/// ```
#[derive(Debug)]
pub struct PathMonitor {
    chart: Chart<PathState, PathEvent>,
    state: PathState,
    /// Targets that only other instances could reach, and when this instance last failed to.
    suspects: BTreeMap<TargetId, Time>,
    /// Time of the first failure that made the path count as lost.
    lost_since: Time,
    /// Time of the last answer while connections are direct.
    last_response_at: Time,
    /// Exponentially weighted mean of the time between two answers.
    response_gap_s: f64,
    last_check_at: Time,
    last_asked_check_at: Time,
    /// Whether the path was lost although connections could be opened.
    needs_answer: bool,
    /// Probes in a row that could open a connection since the last trial.
    open_probes: u32,
    /// Time of the last one that was counted.
    last_open_probe_at: Time,
    /// Start of the trial that hasn't ended.
    trial_since: Option<Time>,
    last_probe_at: Time,
    last_shared_probe_at: Time,
    /// Time at which a target that was down was last found to be back.
    last_find_at: Option<Time>,
}

/// Targets that only others can reach, or that leave requests unanswered, until the path is lost.
const MIN_SUSPECTS: usize = 2;
/// Targets that leave requests unanswered, with no answer from any target, until the path is lost.
const MIN_SILENT_TARGETS: usize = 3;
/// Time for which connections to a target that only others could reach go through others first.
const SUSPICION_TTL: Duration = Duration::from_secs(2);
/// Time without any answer after which the path may be lost, at least.
const MIN_SILENCE: Duration = Duration::from_millis(200);
/// The same as a multiple of the usual time between two answers.
const SILENT_GAPS: f64 = 8.0;
/// Weight of each sample in the mean time between two answers.
const RESPONSE_GAP_GAIN: f64 = 0.1;
/// Maximum sample of the time between two answers; longer ones are times without requests.
const MAX_RESPONSE_GAP: Duration = Duration::from_millis(250);
/// Minimum time between two checks of the path.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two checks of the path that other instances' requests give rise to.
const ASKED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two connections that probe the path, or a target that is down with others' help.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Probes in a row that must succeed before the path counts as restored, or a request tries it.
const MIN_OPEN_PROBES: u32 = 2;
/// The same where an answer is needed and there was no request that could try the path: 6 s of probes.
const MAX_OPEN_PROBES: u32 = 12;
/// Time after which a trial without a result counts as failed.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(2);

impl PathMonitor {
    /// Returns a monitor of a path that works.
    pub fn new(chart: Chart<PathState, PathEvent>) -> Self {
        Self {
            state: *chart.initial(),
            chart,
            suspects: BTreeMap::new(),
            lost_since: Time::ZERO,
            last_response_at: Time::ZERO,
            response_gap_s: 0.0,
            last_check_at: Time::ZERO,
            last_asked_check_at: Time::ZERO,
            needs_answer: false,
            open_probes: 0,
            last_open_probe_at: Time::ZERO,
            trial_since: None,
            last_probe_at: Time::ZERO,
            last_shared_probe_at: Time::ZERO,
            last_find_at: None,
        }
    }

    /// Returns the state of the path.
    pub fn state(&self) -> PathState {
        self.state
    }

    /// Returns the time from which the path counts as lost. Direct connections that have answered
    /// since then are sound; others may be silent.
    pub fn lost_since(&self) -> Time {
        self.lost_since
    }

    /// Returns whether a connection to this target is to be opened through another instance first.
    pub fn prefers_relay(&self, now: Time, target: &TargetId) -> bool {
        let suspected_at = self.suspects.get(target);
        self.state == PathState::Relayed
            || suspected_at.is_some_and(|at| now - *at <= SUSPICION_TTL)
    }

    /// Records how a connection was opened and returns whether the state changed.
    pub fn record_dial(&mut self, now: Time, target: &TargetId, dial: Dial) -> bool {
        if dial.direct == Some(true) && self.state == PathState::Direct {
            self.suspects.clear();
        }
        if dial.direct != Some(false) || dial.relayed != Some(true) {
            return false;
        }
        self.suspects.retain(|_, at| now - *at <= SUSPICION_TTL);
        self.suspects.insert(target.clone(), now);
        let first = self.suspects.values().min().copied().unwrap_or(now);
        self.suspects.len() >= MIN_SUSPECTS && self.lose(first, false)
    }

    /// Records an answer of a target.
    pub fn record_response(&mut self, now: Time) {
        let gap_s = (now - self.last_response_at)
            .min(MAX_RESPONSE_GAP)
            .as_secs_f64();
        self.response_gap_s += RESPONSE_GAP_GAIN * (gap_s - self.response_gap_s);
        self.last_response_at = self.last_response_at.max(now);
    }

    /// Returns whether connections are direct and no target has answered for long, compared with
    /// how often they do, although a request sent at `oldest_sent_at` waits.
    pub fn is_silent(&self, now: Time, oldest_sent_at: Time) -> bool {
        let usual = Duration::from_secs_f64(self.response_gap_s * SILENT_GAPS);
        let min_silence = usual.max(MIN_SILENCE);
        self.state == PathState::Direct
            && now - self.last_response_at >= min_silence
            && now - oldest_sent_at >= MIN_SILENCE
    }

    /// Returns whether connections that check the path are to be opened now, as no target answers
    /// any more, and if so, counts them.
    ///
    /// How long a run takes doesn't matter to a connection, so a lost path shows long before
    /// requests are overdue.
    pub fn take_check(&mut self, now: Time, oldest_sent_at: Time) -> bool {
        let is_due =
            self.is_silent(now, oldest_sent_at) && now - self.last_check_at >= CHECK_INTERVAL;
        if is_due {
            self.last_check_at = now;
        }
        is_due
    }

    /// Returns whether a connection that checks the path is to be opened although this instance has
    /// seen nothing itself, and if so, counts it.
    pub fn take_asked_check(&mut self, now: Time) -> bool {
        let is_due = self.state == PathState::Direct
            && now - self.last_asked_check_at >= ASKED_CHECK_INTERVAL;
        if is_due {
            self.last_asked_check_at = now;
        }
        is_due
    }

    /// Records the targets of requests that have waited for longer than they usually do, with the
    /// time at which each was sent, and returns whether the state changed.
    ///
    /// Slow targets leave some requests waiting while others are answered; a lost path leaves
    /// all of them.
    pub fn record_overdue(&mut self, overdue: &[(&TargetId, Time)]) -> bool {
        let mut silent: Vec<&TargetId> = overdue
            .iter()
            .filter(|(_, sent_at)| *sent_at > self.last_response_at)
            .map(|(target, _)| *target)
            .collect();
        silent.sort();
        silent.dedup();
        silent.len() >= MIN_SILENT_TARGETS && self.lose(self.last_response_at, true)
    }

    /// Returns whether any target that is down may be back: one just was, or the path is lost and targets
    /// may have been found down because of the instances that helped.
    pub fn may_find_any(&self, now: Time) -> bool {
        let has_found = self
            .last_find_at
            .is_some_and(|at| now - at <= SUSPICION_TTL);
        has_found || self.state == PathState::Relayed
    }

    /// Records that a target which was down is back; the next one may be tried at once.
    pub fn record_find(&mut self, now: Time) {
        self.last_find_at = Some(now);
        self.last_shared_probe_at = Time::ZERO;
    }

    /// Returns whether a connection to a target that is down may be tried now, by other instances as well,
    /// and if so, counts it.
    pub fn take_shared_probe(&mut self, now: Time) -> bool {
        let is_due = now - self.last_shared_probe_at >= PROBE_INTERVAL;
        if is_due {
            self.last_shared_probe_at = now;
        }
        is_due
    }

    /// Returns whether a connection that probes the path is to be opened now, and if so, counts it.
    pub fn take_probe(&mut self, now: Time) -> bool {
        let is_due = self.state == PathState::Relayed && now - self.last_probe_at >= PROBE_INTERVAL;
        if is_due {
            self.last_probe_at = now;
        }
        is_due
    }

    /// Records whether a probe could open a connection, and returns whether the state changed.
    ///
    /// A path that was lost although connections could be opened isn't restored by more of them: that
    /// takes a trial, unless no request could be one for long.
    pub fn record_probe(&mut self, now: Time, is_open: bool) -> bool {
        if !is_open {
            self.open_probes = 0;
        } else if !self.needs_answer || now - self.last_open_probe_at >= PROBE_INTERVAL / 2 {
            // Several at once, of targets that are down, show no more than one.
            self.last_open_probe_at = now;
            self.open_probes += 1;
        }
        let needed = if self.needs_answer {
            MAX_OPEN_PROBES
        } else {
            MIN_OPEN_PROBES
        };
        self.open_probes >= needed && self.restore(now)
    }

    /// Returns whether a request is to be sent directly now, to see whether it is answered in time, and
    /// if so, counts it as the trial.
    pub fn take_trial(&mut self, now: Time) -> bool {
        let is_due = self.state == PathState::Relayed
            && self.needs_answer
            && self.open_probes >= MIN_OPEN_PROBES
            && self
                .trial_since
                .is_none_or(|since| now - since >= MAX_TRIAL_TIME);
        if is_due {
            self.trial_since = Some(now);
            self.open_probes = 0;
        }
        is_due
    }

    /// Records whether the trial was answered in time on a direct connection, and returns whether the
    /// state changed.
    pub fn record_trial(&mut self, now: Time, is_in_time: bool) -> bool {
        self.trial_since = None;
        self.open_probes = 0;
        is_in_time && self.restore(now)
    }

    fn restore(&mut self, now: Time) -> bool {
        if !self.apply(PathEvent::Restored) {
            return false;
        }
        self.suspects.clear();
        self.last_response_at = now;
        true
    }

    fn lose(&mut self, since: Time, needs_answer: bool) -> bool {
        if !self.apply(PathEvent::Lost) {
            return false;
        }
        self.lost_since = since;
        self.needs_answer = needs_answer;
        self.open_probes = 0;
        self.trial_since = None;
        true
    }

    fn apply(&mut self, event: PathEvent) -> bool {
        let next = self.chart.next(&self.state, &event);
        next.is_some_and(|next| std::mem::replace(&mut self.state, *next) != *next)
    }
}
