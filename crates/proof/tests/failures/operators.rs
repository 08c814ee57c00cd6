//! Operators who change the configuration at the same time, or whose writes lose their answers.

use std::time::Duration;

use proof::deployment::DeploymentSpec;
use standin::platform_server::Faults;
use tokio::time::sleep;

use crate::{get, look_up, start_configured};

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_write_is_settled_by_reading() {
    let (deployment, _) = start_configured(&DeploymentSpec::default()).await;
    let faults = Faults {
        loses_answers: true,
        ..Faults::default()
    };
    deployment.set_faults(faults).await;
    let (text, _) = deployment.run_cli(&["key", "withdraw", "k1", "--wait", "0"]);
    deployment.set_faults(Faults::default()).await;
    let (history, _) = deployment.run_cli(&["history"]);
    let withdrawals = history.matches("withdraw key k1").count();
    // Storing the object fails first, so that no version is written; a change is never written
    // twice.
    assert!(withdrawals <= 1, "{text}\n{history}");
    assert_eq!(
        text.contains("written: version"),
        withdrawals == 1,
        "{text}\n{history}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_lose_nothing() {
    let (deployment, _) = start_configured(&DeploymentSpec::default()).await;
    let answers = std::fs::read_to_string(deployment.answers_path()).unwrap();
    let rates = [101, 102, 103, 104, 105];
    let outcomes: Vec<(String, i32)> = std::thread::scope(|scope| {
        let handles: Vec<_> = rates
            .iter()
            .map(|rate| {
                let file = deployment.dir.path().join(format!("{rate}.jsonc"));
                let changed = answers.replace("\"rate\": 1000.0", &format!("\"rate\": {rate}.0"));
                std::fs::write(&file, changed).unwrap();
                let operator_client = deployment.operator_client();
                scope.spawn(move || {
                    let file = file.to_string_lossy().into_owned();
                    operator_client.run_cli(&["apply", &file, "--base", "2", "--wait", "0"])
                })
            })
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().unwrap())
            .collect()
    });
    let applied = outcomes.iter().filter(|(_, code)| *code == 0).count();
    let conflicting = outcomes.iter().filter(|(_, code)| *code == 4).count();
    assert_eq!((applied, conflicting), (1, 4), "{outcomes:?}");
    let conflicts: Vec<&String> = outcomes
        .iter()
        .filter(|(_, code)| *code == 4)
        .map(|(text, _)| text)
        .collect();
    assert!(
        conflicts
            .iter()
            .all(|text| text.contains("version 2") && text.contains("version 3")),
        "{conflicts:?}"
    );
    let (keys, _) = deployment.run_cli(&["key", "list"]);
    assert!(keys.contains("k1"), "{keys}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_domain_gets_no_callers_and_no_work() {
    let (deployment, key) = start_configured(&DeploymentSpec::default()).await;
    let (text, code) = deployment.run_cli(&["drain", "domain", "costa-norte"]);
    assert_eq!(code, 0, "{text}");
    sleep(Duration::from_secs(1)).await;
    for _ in 0..30 {
        let response = get(&deployment, "i1", &key).await;
        assert_eq!(response.status, 200);
        assert_ne!(response.body["target"], "logbook-costa-norte-1");
    }
    let lookup = look_up(&deployment, "&domain=costa-norte").await;
    let entries = lookup.body["entries"].as_array().unwrap();
    assert!(
        entries.iter().all(|entry| entry["domain"] != "costa-norte"),
        "{entries:?}"
    );
    let (text, code) = deployment.run_cli(&["drain", "domain", "costa-norte", "--undo"]);
    assert_eq!(code, 0, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn revert_racing_apply_loses_nothing() {
    let (deployment, _) = start_configured(&DeploymentSpec::default()).await;
    let operator_client = deployment.operator_client();
    let answers = std::fs::read_to_string(deployment.answers_path()).unwrap();
    let file = deployment.dir.path().join("changed.jsonc");
    std::fs::write(&file, answers.replace("\"rate\": 1000.0", "\"rate\": 77.0")).unwrap();
    let (revert, apply) = std::thread::scope(|scope| {
        let revert = scope.spawn(|| operator_client.run_cli(&["revert", "1", "--wait", "0"]));
        let path = file.to_string_lossy().into_owned();
        let apply = scope.spawn(move || operator_client.run_cli(&["apply", &path, "--wait", "0"]));
        (revert.join().unwrap(), apply.join().unwrap())
    });
    // Each command either writes its change as a whole or reports the conflict.
    for (text, code) in [&revert, &apply] {
        assert!([0, 4].contains(code), "{text}");
    }
    let (history, _) = deployment.run_cli(&["history"]);
    let written = [&revert, &apply]
        .iter()
        .filter(|(text, _)| text.contains("written: version"))
        .count();
    assert_eq!(history.lines().count(), 2 + written, "{history}");
    let (keys, _) = deployment.run_cli(&["key", "list"]);
    assert!(
        keys.contains("k1"),
        "a revert should keep the current keys: {keys}"
    );
}
