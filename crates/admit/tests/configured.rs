//! What a later configuration leaves of a workspace's quota.

use std::time::Duration;

use admit::{Action, AdmissionController};
use base::{Config, ErrorKind, Time, Workspace, WorkspaceId};
use coord::{Grant, GrantRequest, OwnerId, QuotaSplit, SlotHistory};
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

fn requested(actions: &[Action]) -> Option<GrantRequest> {
    actions.iter().find_map(|action| match action {
        Action::RequestGrant(_, _, request) => Some(request.clone()),
        _ => None,
    })
}

fn ask(admission: &mut AdmissionController, now: Time, id: u64) -> Vec<Action> {
    admission.on_request(now, id, &"w".into(), now + Duration::from_secs(10))
}

fn refuse_all(request: &GrantRequest, retry_after: Duration) -> Grant {
    Grant {
        epoch: 1,
        serial: request.serial,
        tokens: 0,
        retry_after,
    }
}

fn owner() -> OwnerId {
    OwnerId {
        instance: "owner".into(),
        epoch: 1,
    }
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

/// Guards against a removed workspace that stays after the last of its requests has ended, since the
/// configuration that removed it comes again without a change.
#[test]
fn quota_of_a_removed_workspace_ends_with_its_last_request() {
    let mut admission = controller(&config(0.01, 1.0));
    admission.set_owner(&"w".into(), Some(owner()));
    let now = Time::from_secs(1);
    assert_eq!(ask(&mut admission, now, 1), [Action::Admit(1)]);
    assert!(requested(&ask(&mut admission, now, 2)).is_some());
    let later = Time::from_millis(1_100);
    admission.configure(later, &Config::default());
    assert_eq!(refusal(&ask(&mut admission, later, 3)), None);
    admission.cancel(2);
    admission.cancel(3);
    admission.configure(later, &Config::default());
    let actions = ask(&mut admission, later, 4);
    assert_eq!(
        refusal(&actions),
        Some(ErrorKind::UnknownKey),
        "{actions:?}"
    );
}

fn refusal(actions: &[Action]) -> Option<ErrorKind> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(refusal.kind),
        _ => None,
    })
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

/// Returns a controller whose only request the owner refused, for 100 s.
fn exhausted(admission: &mut AdmissionController, now: Time) -> Vec<Action> {
    let workspace = WorkspaceId::from("w");
    admission.release_slot(0);
    admission.set_owner(&workspace, Some(owner()));
    let request = requested(&ask(admission, now, 1)).unwrap();
    let grant = refuse_all(&request, Duration::from_secs(100));
    admission.on_grant(now, &workspace, &grant)
}

/// Guards against refusals by a quota that a later configuration has raised: they went on for as long as
/// the earlier one would have taken for the next token, up to an hour.
#[test]
fn raised_quota_ends_the_refusals_of_the_lower_one() {
    let mut admission = controller(&config(0.01, 1.0));
    let now = Time::from_millis(1_000);
    exhausted(&mut admission, now);
    assert_eq!(requested(&ask(&mut admission, now, 2)), None);
    let now = Time::from_millis(1_200);
    admission.configure(now, &config(0.01, 1.0));
    assert_eq!(requested(&ask(&mut admission, now, 3)), None);
    admission.configure(now, &config(1_000.0, 1_000.0));
    assert!(requested(&ask(&mut admission, now, 4)).is_some());
}

/// Guards against the same where the owner gets to know the raised quota later than the one that asks.
#[test]
fn raised_quota_ends_the_refusals_of_a_late_owner() {
    let mut admission = controller(&config(1_000.0, 1_000.0));
    let refused = exhausted(&mut admission, Time::from_secs(1));
    let [Action::Refuse(1, refusal)] = &refused[..] else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.retry_after, Duration::from_secs(100));
    assert!(requested(&ask(&mut admission, Time::from_secs(3), 2)).is_some());
}
