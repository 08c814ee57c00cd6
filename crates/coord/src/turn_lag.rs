//! How long what is read now has waited for the own process at most, by how late a task's turns come.

use std::time::Duration;

use base::Time;

/// Time from a turn to the next one.
pub const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// Time by which a turn comes late although nothing holds it up: the runtime's timers and the kernel's each round up to
/// the next millisecond.
const TIMER_STEP: Duration = Duration::from_millis(2);

/// Bounds how long what a process reads now has waited in its sockets, by the turns of a task that sleeps for
/// [`TURN_INTERVAL`] between them.
///
/// A runtime that runs its tasks in the order in which they are woken, and fetches events before it ends sleeps, has run
/// whoever waited for what had come by the wake of the last turn before that turn. So what is read after it has come
/// later than the turn was due. Where one task reads and hands what it has read to another, the same holds for the turn
/// before. The bounds leave out one [`TURN_INTERVAL`] for each task, so that they are zero where nothing is late: a true
/// wait may be longer by that, and by no more.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{TURN_INTERVAL, TurnLag};
/// use std::time::Duration;
///
/// let mut lag = TurnLag::default();
/// let due = lag.on_turn(Time::from_secs(1));
/// assert_eq!(due, Time::from_secs(1) + TURN_INTERVAL);
/// assert_eq!(lag.of_read(due), Duration::ZERO);
/// let late = due + Duration::from_millis(302);
/// lag.on_turn(late);
/// assert_eq!(lag.of_read(late), Duration::from_millis(300));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TurnLag {
    /// Time at which the next turn is due; `None` before the first one.
    due: Option<Time>,
    /// Time by which the last turn came late.
    last: Duration,
    /// The same of the turn before.
    before: Duration,
}

impl TurnLag {
    /// Records a turn, and returns when the next one is due.
    pub fn on_turn(&mut self, now: Time) -> Time {
        (self.before, self.last) = (self.last, self.overdue(now));
        let due = now + TURN_INTERVAL;
        self.due = Some(due);
        due
    }

    /// Returns by how much the last turn came late.
    pub fn of_turn(&self) -> Duration {
        self.last
    }

    /// Returns how long what a task reads at `now` has waited for it.
    pub fn of_read(&self, now: Time) -> Duration {
        self.last + self.overdue(now)
    }

    /// Returns how long what a task gets at `now` from the task that has read it has waited for both.
    pub fn of_handed_on(&self, now: Time) -> Duration {
        self.before + self.of_read(now)
    }

    /// Returns by how much the next turn is late.
    fn overdue(&self, now: Time) -> Duration {
        let late = self.due.map_or(Duration::ZERO, |due| now - due);
        late.saturating_sub(TIMER_STEP)
    }
}
