//! What differs between deployments, as tasks take it.

use std::time::Duration;

use coord::{LeaseTiming, QuotaSplit};
use dispatch::{Placement, Policy};
use entry::dialect::Dialect;
use record::Sink;
use settings::DaemonSettings;
use steer::PlanPolicy;

/// Floors of each slot, so that an instance can lend some and keep others.
const SLOT_PARTS: u32 = 2;
/// Time for which a floor is lent: short, since its lender misses it for so long.
const LOAN_LIFE: Duration = Duration::from_millis(1_200);
/// Polls of the slots' table of which an instance that holds a slot makes one, where calls cost.
const SETTLED_POLLS: u32 = 6;
/// Horizon of a slot's lease where only its end proves that its holder has ended.
const HORIZON: Duration = Duration::from_secs(120);
/// Part of a region's capacity up to which its callers' requests stay there.
const HEADROOM: f64 = 0.6;
/// Part of the allowed shift between regions that is planned.
const SHIFT_USE: f64 = 0.5;
/// Time over which the shift between regions is bounded, in seconds.
const SHIFT_WINDOW_S: f64 = 2.0;
/// Part of what may be sent again that is used.
const BUDGET_USE: f64 = 0.6;
/// Part of a rate's tolerance that is used; the rest covers the way to the targets.
const RATE_USE: f64 = 0.7;

/// Holds what differs between a deployed instance and one for development.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Share of the requests without a trace of their own whose spans are logged.
    pub trace_share: f64,
    /// Durations of the leases.
    pub terms: LeaseTiming,
    /// Constants of dispatch.
    pub policy: Policy,
    /// Constants of planning; `None` for those of the configuration.
    pub plan: Option<PlanPolicy>,
    /// Names that heads carry.
    pub dialect: Dialect,
    /// Where lines about requests go.
    pub sink: Option<Sink>,
    /// Polls of the slots' table of which an instance that holds a slot makes one.
    pub settled_polls: u32,
    /// How workspaces' rates are divided; the number of slots comes from the settings.
    pub split: QuotaSplit,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            trace_share: 0.001,
            terms: LeaseTiming::default(),
            policy: Policy::default(),
            plan: None,
            dialect: Dialect::default(),
            sink: None,
            settled_polls: 1,
            split: QuotaSplit {
                reserved_share: 1.0,
                ..QuotaSplit::default()
            },
        }
    }
}

impl NodeOptions {
    /// Returns options that keep to the deployment's bounds.
    pub fn within_bounds(cfg: &DaemonSettings) -> Self {
        let bounds = &cfg.bounds;
        let sharers = f64::from(cfg.slot_count.max(1));
        let policy = Policy {
            placement: Placement::ObjectAffinity,
            instance_count: cfg.slot_count.max(1),
            instance_seed: rand::random(),
            retry_fraction: bounds.retry_fraction * BUDGET_USE,
            retry_cap: (bounds.retry_slack * BUDGET_USE / sharers).max(1.0),
            max_refusals: 4,
            max_losses: 3,
            ..Policy::default()
        };
        let terms = LeaseTiming {
            ttl: HORIZON,
            renew_interval: HORIZON / 8,
            ..LeaseTiming::default()
        };
        let split = QuotaSplit {
            reserved_share: 1.0,
            overage: bounds.rate_overage * RATE_USE,
            slack: bounds.rate_slack * RATE_USE,
            reservations_per_slot: SLOT_PARTS,
            lends_only_surplus: true,
            loan_ttl: LOAN_LIFE,
            ..QuotaSplit::default()
        };
        Self {
            trace_share: 0.0,
            terms,
            policy,
            settled_polls: SETTLED_POLLS,
            plan: Some(PlanPolicy {
                target_utilization: HEADROOM,
                has_global_affinity: false,
                shift_cap: bounds.region_shift * SHIFT_USE,
                window_s: SHIFT_WINDOW_S,
                // A loss of room is planned for at the pace of any other change; what has no open
                // target left goes elsewhere at once.
                capacity_loss_threshold: 1.0,
            }),
            split,
            ..Self::default()
        }
    }
}

/// Tells of a reload what has changed and needs a restart.
pub fn log_reload(old: &DaemonSettings, new: &DaemonSettings) {
    let json = |cfg: &DaemonSettings| serde_json::to_value(cfg).unwrap_or_default();
    let (old, new) = (json(old), json(new));
    let changed: Vec<&str> = new
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, value)| {
            let is_agreed = matches!(name.as_str(), "secret" | "slot_count");
            !is_agreed && old.get(name.as_str()) != Some(*value)
        })
        .map(|(name, _)| name.as_str())
        .collect();
    tracing::info!(event = "reload", needs_restart = ?changed);
}
