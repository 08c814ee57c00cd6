//! How an instance leaves and stops.

use std::{pin::pin, time::Duration};

use entry::message::Event;
use settings::DaemonSettings;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, sleep_until, timeout, timeout_at},
};

use super::Node;
use crate::{
    message::{FollowerMessage, PeerCommand},
    owners::OwnersMessage,
};

const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Fraction of the stop time at which the instance starts to refuse new requests.
const STOP_REFUSE_AT: f64 = 0.45;
/// Fraction of the stop time at which the listener closes; until then, new requests are refused
/// with an error that lets callers use another instance.
const STOP_CLOSE_AT: f64 = 0.8;
/// Fraction of the stop time at which requests that targets haven't answered are answered in their place.
const STOP_ANSWER_AT: f64 = 0.9;
/// Fraction of the stop time at which connections are closed, whatever is under way.
const STOP_ABANDON_AT: f64 = 0.93;
const RELEASE_TIMEOUT: Duration = Duration::from_millis(150);

impl Node {
    /// Leaves as [`Node::stop`] does, but takes no longer than `limit`.
    pub async fn stop_within(self, limit: Duration) {
        let started = Instant::now();
        let _ = timeout(RELEASE_TIMEOUT, self.begin_leaving()).await;
        sleep_until(started + limit.mul_f64(STOP_REFUSE_AT)).await;
        let _ = self.engine.send(Event::StopAccepting);
        sleep_until(started + limit.mul_f64(STOP_CLOSE_AT)).await;
        let abandon_at = started + limit.mul_f64(STOP_ABANDON_AT);
        let mut stopped = pin!(self.callers.stop(abandon_at - Instant::now()));
        let answer_at = started + limit.mul_f64(STOP_ANSWER_AT);
        if timeout_at(answer_at, &mut stopped).await.is_err() {
            let _ = self.engine.send(Event::EndRequests);
            let _ = timeout_at(abandon_at, stopped).await;
        }
        let _ = timeout(RELEASE_TIMEOUT, release_slots(&self.slots)).await;
        tracing::info!(event = "left");
    }

    /// Leaves without aborting a request: look-ups stop returning the instance, cached look-ups
    /// expire, requests in flight complete, and leases are released.
    pub async fn stop(self) {
        self.begin_leaving().await;
        sleep(self.lookup_ttl).await;
        self.callers.stop(DRAIN_TIMEOUT).await;
        release_slots(&self.slots).await;
        self.operators.stop(Duration::from_secs(1)).await;
        tracing::info!(event = "left");
    }

    /// Notifies all tasks, and through them the other instances, and releases owned workspaces.
    async fn begin_leaving(&self) {
        tracing::info!(event = "leaving");
        let _ = self.peers.send(PeerCommand::Leave).await;
        let _ = self.follower.send(FollowerMessage::Leave).await;
        let (done, released) = oneshot::channel();
        if self.owners.send(OwnersMessage::Release(done)).await.is_ok() {
            let _ = released.await;
        }
    }
}

/// Returns how long callers may cache the response to a look-up.
///
/// Each look-up costs its caller a round trip, so the time is as long as the deployment allows. It
/// ends before an instance that leaves closes its listener, so that callers who respect it never
/// find the listener closed.
pub fn lookup_ttl(cfg: &DaemonSettings) -> Duration {
    let Some(limit_s) = cfg.bounds.lookup_ttl_s else {
        return Duration::from_millis(cfg.lookup_ttl_ms);
    };
    Duration::from_secs_f64(limit_s.min(cfg.bounds.stop_s * STOP_CLOSE_AT))
}

/// Releases the slots that this instance holds and waits until that is done.
async fn release_slots(slots: &mpsc::Sender<oneshot::Sender<()>>) {
    let (done, released) = oneshot::channel();
    if slots.send(done).await.is_ok() {
        let _ = released.await;
    }
}
