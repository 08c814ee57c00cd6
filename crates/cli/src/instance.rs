//! An instance's listener for operators.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::timeout;

use crate::fault::CliFault;

const TIMEOUT: Duration = Duration::from_secs(3);
const LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Holds what the command line reads of an instance's status.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// What needs attention.
    pub flags: Vec<String>,
    /// Name of the instance.
    pub instance: String,
    /// Version in force on it.
    pub version: u64,
    /// How it stands towards the latest configuration.
    pub standing: String,
    /// The other instances.
    pub instances: BTreeMap<String, Other>,
    /// Targets by name.
    pub targets: BTreeMap<String, Value>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Value>,
}

/// Holds what an instance knows of another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Other {
    /// Failure domain in which it runs.
    pub domain: String,
    /// Version in force on it.
    pub version: u64,
    /// Whether a heartbeat came lately.
    pub is_heard: bool,
    /// Whether it takes no new callers.
    pub is_leaving: bool,
    /// Whether the platform's list has it.
    pub is_listed: bool,
    /// Whether it is proved to have ended.
    pub is_gone: bool,
}

impl Status {
    /// Returns the instances that have not put `version` in force.
    ///
    /// One that is off the platform's list and is not heard no longer counts.
    pub fn waiting_for(&self, version: u64) -> Vec<String> {
        let own = (self.version < version).then(|| self.instance.clone());
        let others = self.instances.iter().filter_map(|(id, other)| {
            let counts = !other.is_gone && (other.is_listed || other.is_heard);
            (counts && other.version < version).then(|| id.clone())
        });
        own.into_iter().chain(others).collect()
    }
}

/// Asks an instance for its status.
///
/// # Errors
///
/// [`CliFault::Instance`] where it does not answer.
pub async fn status(addr: SocketAddr) -> Result<Status, CliFault> {
    let value = get(addr, "/v1/status").await?;
    serde_json::from_value(value).map_err(|_| CliFault::Instance(addr.to_string()))
}

/// Reads JSON from an instance's listener for operators.
///
/// # Errors
///
/// [`CliFault::Instance`] where it does not answer.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Value, CliFault> {
    match timeout(TIMEOUT, fetch(addr, path)).await {
        Ok(Some(value)) => Ok(value),
        Ok(None) | Err(_) => Err(CliFault::Instance(addr.to_string())),
    }
}

async fn fetch(addr: SocketAddr, path: &str) -> Option<Value> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{addr}{path}").parse().ok()?;
    let res = client.get(uri).await.ok()?;
    let body = Limited::new(res.into_body(), LIMIT_BYTES)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
