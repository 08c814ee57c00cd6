//! Explanations of how a request would be handled, for operators.

use base::{Config, DomainId, ServiceId, WorkspaceId};
use entry::view::View;
use salvo::http::Request;
use serde::Serialize;
use steer::{CallerLocation, rank_candidates};

use super::Operator;

/// Explains how a request would be handled.
#[derive(Debug, Serialize)]
pub(super) struct Explanation {
    verdict: String,
    reasons: Vec<String>,
}

impl Operator {
    pub(super) async fn explain(&self, req: &Request) -> Option<Explanation> {
        let status = self.status().await?;
        let view = self.view.borrow().clone();
        let (_, config) = view.config.as_ref()?;
        let service: ServiceId = req.query::<String>("service")?.into();
        let workspace: WorkspaceId = req.query::<String>("workspace")?.into();
        let mut reasons = vec![format!(
            "instance {} has version {} in force, {}",
            self.own_id, status.version, status.standing
        )];
        let Some(service_config) = config.services.get(&service) else {
            reasons.push(format!("service {service} is not in the configuration"));
            return Some(Explanation::refused("unknown_service", reasons));
        };
        let Some(limits) = config.workspaces.get(&workspace) else {
            reasons.push(format!("workspace {workspace} is not in the configuration"));
            return Some(Explanation::refused("unknown_key", reasons));
        };
        reasons.push(format!(
            "workspace {workspace} may send {} requests/s with a burst of {}; {} units are here",
            limits.rate, limits.burst, status.workspaces[&workspace].available
        ));
        let keys = config
            .keys
            .values()
            .filter(|key| key.workspace == workspace)
            .count();
        reasons.push(format!("{keys} keys of the workspace are in force"));
        let usable: Vec<String> = service_config
            .targets
            .keys()
            .filter_map(|id| {
                let target = status.targets.get(id.as_str())?;
                (target.allowed > 0).then(|| {
                    format!(
                        "{id} ({}, {}/{})",
                        target.state, target.in_flight, target.allowed
                    )
                })
            })
            .collect();
        reasons.push(format!("targets that take work: {}", usable.join(", ")));
        reasons.extend(self.explain_entry_order(&view, config, req));
        let verdict = if keys == 0 {
            "refused: unknown_key"
        } else if usable.is_empty() {
            "refused: no_target"
        } else if status.standing == "alone" {
            "refused: isolated"
        } else {
            "served"
        };
        Some(Explanation {
            verdict: verdict.to_owned(),
            reasons,
        })
    }

    /// Returns the order in which callers in the queried `origin` domain try the instances; `None`
    /// without that query parameter.
    fn explain_entry_order(&self, view: &View, config: &Config, req: &Request) -> Option<String> {
        let domain = DomainId::from(req.query::<String>("origin")?);
        let candidates = view.candidates(config);
        let origin = CallerLocation {
            region: config.region_of(&domain).cloned(),
            domain: Some(domain.clone()),
        };
        let names: Vec<&str> = rank_candidates(&candidates, &origin, 0)
            .into_iter()
            .map(|idx| candidates[idx].instance.as_str())
            .collect();
        Some(format!(
            "callers near {domain} try, in order: {}",
            names.join(", ")
        ))
    }
}

impl Explanation {
    fn refused(kind: &str, reasons: Vec<String>) -> Self {
        Self {
            verdict: format!("refused: {kind}"),
            reasons,
        }
    }
}
