//! What the engine reports of its load and state.

use std::collections::BTreeMap;

use base::{ServiceId, Time};
use dispatch::RequestId;

use super::Engine;
use crate::message::{EngineStatus, ServiceLoad};

impl Engine {
    pub(super) fn count_response(&mut self, id: RequestId, response_bytes: Option<usize>) {
        let service = self.requests.get(&id).map(|request| &request.service);
        if let (Some(service), Some(bytes)) = (service, response_bytes) {
            let counter = self.counters.entry(service.clone()).or_default();
            counter.responses += 1;
            counter.response_bytes += bytes as u64;
        }
    }

    pub(super) fn collect_loads(&mut self, now: Time) -> BTreeMap<ServiceId, ServiceLoad> {
        let secs = (now - self.counting_since).as_secs_f64().max(1e-3);
        self.counting_since = now;
        let counters = std::mem::take(&mut self.counters);
        self.dispatcher
            .pool_stats()
            .into_iter()
            .map(|pool| {
                let counter = counters.get(&pool.service);
                let responded = counter.filter(|counter| counter.responses > 0);
                let pinned = counter.into_iter().flat_map(|counter| &counter.pinned);
                let load = ServiceLoad {
                    pinned_requests_per_s: pinned
                        .map(|(region, requests)| (region.clone(), *requests as f64 / secs))
                        .collect(),
                    requests_per_s: counter.map_or(0.0, |counter| counter.requests as f64 / secs),
                    mean_response_bytes: responded
                        .map(|counter| counter.response_bytes as f64 / counter.responses as f64),
                    latency: pool.latency,
                    service_time: pool.service_time,
                    region_service_times: pool.region_service_times,
                    targets: pool.targets,
                };
                (pool.service, load)
            })
            .collect()
    }

    pub(super) fn status(&mut self, now: Time) -> EngineStatus {
        EngineStatus {
            requests: self.requests.len(),
            queued: self.dispatcher.queue_len(),
            retries_left: self.dispatcher.retries_left(),
            targets: self.dispatcher.targets(now),
            available: self.admission.available(now),
            owners: self.admission.owners(),
            path: self.dispatcher.path_state(),
            relays: self.relay_ids(),
            named_rates: self.dispatcher.named_rates(),
            quarantined: self.dispatcher.quarantined(now),
        }
    }
}
