//! The status that the instances of a deployment report, and waiting for it.

use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::Deployment;
use crate::caller::{Caller, Request};

const STATUS_TIMEOUT: Duration = Duration::from_secs(20);

impl Deployment {
    /// Returns the status that an instance reports to operators; null if it can't be reached.
    pub async fn status(&self, name: &str) -> Value {
        let Some(instance) = self.instances.get(name) else {
            return Value::Null;
        };
        match Caller::try_connect(instance.operator).await {
            Some(mut caller) => caller.send(&Request::get("/v1/status")).await.body,
            None => Value::Null,
        }
    }

    /// Polls an instance's status until it meets a condition.
    ///
    /// # Panics
    ///
    /// Panics after 20 seconds; the message contains `condition` and the last status.
    pub async fn wait_for_status<F>(&self, name: &str, condition: &str, is_met: F)
    where
        F: Fn(&Value) -> bool,
    {
        let deadline = Instant::now() + STATUS_TIMEOUT;
        loop {
            let status = self.status(name).await;
            if is_met(&status) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{name}: timed out waiting for {condition}: {status}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until each instance receives heartbeats from all others.
    ///
    /// # Panics
    ///
    /// Panics if one instance takes more than 20 seconds.
    pub async fn wait_for_heartbeats(&self) {
        let others = self.instances.len() - 1;
        for name in self.instances.keys() {
            self.wait_for_status(name, "heartbeats from all instances", |status| {
                live_peer_count(status) >= others
            })
            .await;
        }
    }

    /// Waits until each instance also has a configuration that is confirmed to be current.
    ///
    /// # Panics
    ///
    /// Panics if one instance takes more than 20 seconds.
    pub async fn wait_until_confirmed(&self) {
        self.wait_for_heartbeats().await;
        for name in self.instances.keys() {
            self.wait_for_status(name, "confirmed configuration", |status| {
                status["standing"] == "fresh"
            })
            .await;
        }
    }
}

fn live_peer_count(status: &Value) -> usize {
    let instances = status["instances"].as_object();
    instances.map_or(0, |instances| {
        instances
            .values()
            .filter(|other| other["is_heard"] == true)
            .count()
    })
}
