//! What a later configuration leaves of a workspace's quota.

use std::time::Duration;

use admit::{Action, AdmissionController};
use base::{Config, Time, Workspace};
use coord::{QuotaSplit, SlotHistory};
use rstest::rstest;

fn config(rate: f64, burst: f64) -> Config {
    let mut config = Config::default();
    let workspace = Workspace {
        rate,
        burst,
        ..Workspace::default()
    };
    config.workspaces.insert("w".into(), workspace);
    config
}

/// Returns a controller that holds the only slot, which nobody held before.
fn controller(config: &Config) -> AdmissionController {
    controller_after(SlotHistory::NeverHeld, config)
}

/// Returns a controller that holds the only slot.
fn controller_after(history: SlotHistory, config: &Config) -> AdmissionController {
    let split = QuotaSplit {
        reserved_share: 1.0,
        slots: 1,
        ..QuotaSplit::default()
    };
    let mut admission = AdmissionController::new(split);
    admission.hold_slot(Time::ZERO, 0, Time::NEVER, history);
    admission.configure(Time::ZERO, config);
    admission
}

/// Returns how many of ten requests are admitted at once.
fn admitted(admission: &mut AdmissionController, now: Time) -> usize {
    let deadline = now + Duration::from_secs(10);
    (0..10)
        .filter(|id| {
            let actions = admission.on_request(now, *id, &"w".into(), deadline);
            actions.contains(&Action::Admit(*id))
        })
        .count()
}

/// Guards against QUOTA: a workspace that a configuration removed and a later one gave back had all of
/// its burst again, though it had just spent it.
#[test]
fn quota_of_a_workspace_that_comes_back_is_spent() {
    let whole = config(0.01, 5.0);
    let mut admission = controller(&whole);
    assert_eq!(admitted(&mut admission, Time::from_secs(1)), 5);
    admission.configure(Time::from_secs(2), &Config::default());
    admission.configure(Time::from_secs(3), &whole);
    assert_eq!(admitted(&mut admission, Time::from_secs(8)), 0);
}

/// Guards against a workspace that is new to a configuration waiting as if it had been removed.
#[rstest]
#[case::slot_never_held(SlotHistory::NeverHeld)]
#[case::slot_held_long_ago(SlotHistory::EndedBy(Time::ZERO))]
fn quota_of_a_new_workspace_is_full(#[case] history: SlotHistory) {
    let mut admission = controller_after(history, &Config::default());
    let now = Time::from_secs(600);
    admission.configure(now, &config(0.01, 5.0));
    assert_eq!(admitted(&mut admission, now), 5);
}
