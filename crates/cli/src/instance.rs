//! HTTP client of the listener that an instance has for operators.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use platform::{Progress, receive_body};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::CliError;

/// Time without a byte in which a request counts as unanswered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads from an instance's status what `status` shows and what waiting for a version needs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Conditions that need an operator's attention.
    pub flags: Vec<String>,
    /// Name of the instance that reports.
    pub instance: String,
    /// Version of its active configuration.
    pub version: u64,
    /// Freshness of its configuration.
    #[serde(rename = "standing")]
    pub freshness: String,
    /// The other instances by name.
    pub instances: BTreeMap<String, PeerStatus>,
    /// Targets by name.
    pub targets: BTreeMap<String, Value>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Value>,
}

/// Describes what an instance has received from another one, and which version that one has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Failure domain in which it runs.
    pub domain: String,
    /// Version of its active configuration, as it last reported it.
    pub version: u64,
    /// Whether a heartbeat from it arrived recently.
    pub is_heard: bool,
    /// Whether it is shutting down and takes no new callers.
    pub is_leaving: bool,
    /// Whether the platform lists it.
    pub is_listed: bool,
    /// Whether it is known for certain to have stopped.
    pub is_gone: bool,
    /// Format of its messages, zero if unknown or if the reporting instance is of a build that
    /// doesn't report it.
    #[serde(default)]
    pub format: u32,
    /// Version of its build, empty if unknown.
    #[serde(default)]
    pub build: String,
}

impl Status {
    /// Returns the instances that have not activated `version` yet.
    ///
    /// Leaves out instances that have stopped and those that neither the platform lists nor a
    /// recent heartbeat has announced.
    pub fn pending_instances(&self, version: u64) -> Vec<String> {
        let own = (self.version < version).then(|| self.instance.clone());
        let peers = self.instances.iter().filter_map(|(id, peer)| {
            let is_counted = !peer.is_gone && (peer.is_listed || peer.is_heard);
            (is_counted && peer.version < version).then(|| id.clone())
        });
        own.into_iter().chain(peers).collect()
    }
}

/// Fetches an instance's status.
///
/// # Errors
///
/// [`CliError::InstanceUnreachable`] if it does not answer or the response has another form.
pub async fn fetch_status(addr: SocketAddr) -> Result<Status, CliError> {
    let value = get_json(addr, "/v1/status").await?;
    serde_json::from_value(value).map_err(|_| CliError::InstanceUnreachable(addr.to_string()))
}

/// Fetches the JSON document at `path` from an instance's listener for operators.
///
/// # Errors
///
/// [`CliError::InstanceUnreachable`] if it does not answer in time or not with JSON.
pub async fn get_json(addr: SocketAddr, path: &str) -> Result<Value, CliError> {
    let progress = Progress::start();
    let answer = try_get_json(addr, path, &progress);
    let answer = progress.unless_quiet(REQUEST_TIMEOUT, answer).await;
    let value = answer.flatten();
    value.ok_or_else(|| CliError::InstanceUnreachable(addr.to_string()))
}

async fn try_get_json(addr: SocketAddr, path: &str, progress: &Progress) -> Option<Value> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{addr}{path}").parse().ok()?;
    let res = client.get(uri).await.ok()?;
    let body = receive_body(res.into_body(), MAX_BODY_BYTES, progress).await;
    serde_json::from_slice(&body.ok()?).ok()
}
