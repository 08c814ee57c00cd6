//! The look-up, which returns the instances that a caller may use.

use base::{AllowedRegions, Config, DomainId, ErrorKind, KeyDigest, Refusal, RegionId};
use http::StatusCode;
use salvo::http::{Request, Response};
use serde::Serialize;
use steer::{CallerLocation, rank_allowed_candidates};

use super::CallerHandler;
use crate::{head, response, trace::Trace};

impl CallerHandler {
    pub(super) fn look_up(&self, req: &Request, res: &mut Response) {
        let trace = Trace::accept(req.headers(), self.options.trace_sample_ratio);
        let _span = trace.span("look-up", self.clock);
        let view = self.view.borrow().clone();
        let Some((_, config)) = &view.config else {
            response::write_error(&self.dialect, res, &Refusal::new(ErrorKind::NotReady));
            return;
        };
        let service = req.query::<String>("service").unwrap_or_default();
        if !config.services.contains_key(service.as_str()) {
            response::write_error(&self.dialect, res, &Refusal::new(ErrorKind::UnknownService));
            return;
        }
        let origin = CallerLocation {
            domain: req.query::<String>("domain").map(DomainId::from),
            region: req.query::<String>("region").map(RegionId::from),
        };
        let candidates = view.candidates(config);
        let allowed = self.allowed_regions(req, config);
        let entries = rank_allowed_candidates(&candidates, &origin, &allowed, rand::random())
            .into_iter()
            .map(|idx| LookupEntry {
                instance: candidates[idx].instance.as_str(),
                addr: view.entries[idx].addr,
                domain: candidates[idx].domain.as_str(),
                region: candidates[idx].region.as_str(),
                home: format!(
                    "{}.{:x}.",
                    view.entries[idx].instance, view.entries[idx].incarnation.0
                ),
            })
            .collect();
        let body = LookupResponse {
            service: &service,
            ttl_ms: self.options.lookup_ttl.as_millis() as u64,
            entries,
        };
        response::write_json(res, StatusCode::OK.as_u16(), &body);
    }

    /// Returns where the requests of the workspace whose key a look-up carries may run; everywhere
    /// without a valid key.
    fn allowed_regions(&self, req: &Request, config: &Config) -> AllowedRegions {
        let key = head::api_key(&self.dialect, req.uri(), req.headers());
        let Some(digest) = key.ok().flatten().map(|key| KeyDigest::of(&key)) else {
            return AllowedRegions::All;
        };
        let mut keys = config.keys.values();
        let found = keys.find(|key| key.digest == digest);
        let workspace = found.and_then(|key| config.workspaces.get(&key.workspace));
        AllowedRegions::of(None, workspace)
    }
}

/// Serializes the response body of a look-up.
#[derive(Debug, Serialize)]
struct LookupResponse<'a> {
    service: &'a str,
    ttl_ms: u64,
    entries: Vec<LookupEntry<'a>>,
}

#[derive(Debug, Serialize)]
struct LookupEntry<'a> {
    instance: &'a str,
    addr: std::net::SocketAddr,
    domain: &'a str,
    region: &'a str,
    /// Prefix for idempotency keys whose records the instance is to store.
    home: String,
}
