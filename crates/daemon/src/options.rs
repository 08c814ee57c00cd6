//! Tuning options of an instance, which differ between deployments.

use std::time::Duration;

use coord::{LeaseTiming, QuotaSplit};
use dispatch::{Placement, Policy};
use entry::{callers, dialect::Dialect, forward::Forwarder, held::HeldBytes};
use record::Sink;
use settings::{DaemonSettings, Finding};
use steer::PlanPolicy;

/// Number of reservations in each slot; with more than one, an instance can lend some and keep
/// others.
const RESERVATIONS_PER_SLOT: u32 = 2;
/// Duration of a reservation's loan; short, because the lender can't use the reservation meanwhile.
const LOAN_DURATION: Duration = Duration::from_millis(1_200);
/// Divisor of the slot table's poll rate on an instance that already holds a slot, where platform
/// calls are costly.
const HOLDER_POLL_DIVISOR: u32 = 6;
/// Duration of a slot's lease where only its expiry proves that the holder has ended.
const LEASE_DURATION: Duration = Duration::from_secs(120);
/// Utilization of a region up to which its callers' requests stay in it, as a fraction.
const LOCAL_UTILIZATION_LIMIT: f64 = 0.6;
/// Fraction of the permitted shift between regions that plans use.
const SHIFT_LIMIT_USE: f64 = 0.5;
/// Window over which the shift between regions is bounded, in seconds.
const SHIFT_WINDOW_S: f64 = 2.0;
/// Fraction of the permitted retries that is used.
const RETRY_LIMIT_USE: f64 = 0.6;
/// Fraction of the permitted rate overage that is used; the rest covers variation on the way to the
/// targets.
const OVERAGE_USE: f64 = 0.7;
const BYTES_PER_MB: usize = 1_000_000;
/// Divisor of the memory that gives the part for bodies; the rest is for the kernel's buffers of
/// them and for everything else.
const BODY_MEMORY_DIVISOR: usize = 2;

/// Sets what differs between a deployed instance and a development instance.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Fraction of the requests without a trace context whose spans are logged.
    pub trace_sample_ratio: f64,
    /// Durations of the slots' leases.
    pub lease_timing: LeaseTiming,
    /// Era of the platform's tables in which the deployment began, if it is known.
    pub begun_in: Option<u32>,
    /// Parameters of the dispatcher.
    pub dispatch_policy: Policy,
    /// Parameters of the planner; `None` to take them from the configuration.
    pub plan_policy: Option<PlanPolicy>,
    /// Header names and other HTTP conventions towards callers and targets.
    pub dialect: Dialect,
    /// Sink for the log lines about requests, if they are written.
    pub sink: Option<Sink>,
    /// Divisor of the slot table's poll rate on an instance that already holds a slot.
    pub holder_poll_divisor: u32,
    /// How workspaces' rates are divided into reservations; the number of slots comes from the
    /// settings.
    pub quota_split: QuotaSplit,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            trace_sample_ratio: 0.001,
            lease_timing: LeaseTiming::default(),
            begun_in: None,
            dispatch_policy: Policy::default(),
            plan_policy: None,
            dialect: Dialect::default(),
            sink: None,
            holder_poll_divisor: 1,
            quota_split: QuotaSplit {
                reserved_share: 1.0,
                ..QuotaSplit::default()
            },
        }
    }
}

impl NodeOptions {
    /// Returns options that keep an instance within the bounds in the settings.
    pub fn within_bounds(cfg: &DaemonSettings) -> Self {
        let bounds = &cfg.bounds;
        let instances = f64::from(cfg.slot_count.max(1));
        let dispatch_policy = Policy {
            placement: Placement::ObjectAffinity,
            instance_count: cfg.slot_count.max(1),
            instance_seed: rand::random(),
            retry_fraction: bounds.retry_fraction * RETRY_LIMIT_USE,
            retry_cap: (bounds.retry_slack * RETRY_LIMIT_USE / instances).max(1.0),
            max_refusals: 4,
            max_losses: 3,
            ..Policy::default()
        };
        let lease_timing = LeaseTiming {
            ttl: LEASE_DURATION,
            renew_interval: LEASE_DURATION / 8,
            ..LeaseTiming::default()
        };
        let quota_split = QuotaSplit {
            reserved_share: 1.0,
            overage: bounds.rate_overage * OVERAGE_USE,
            slack: bounds.rate_slack * OVERAGE_USE,
            reservations_per_slot: RESERVATIONS_PER_SLOT,
            lends_only_surplus: true,
            loan_ttl: LOAN_DURATION,
            ..QuotaSplit::default()
        };
        Self {
            trace_sample_ratio: 0.0,
            lease_timing,
            dispatch_policy,
            holder_poll_divisor: HOLDER_POLL_DIVISOR,
            plan_policy: Some(PlanPolicy {
                target_utilization: LOCAL_UTILIZATION_LIMIT,
                shift_cap: bounds.region_shift * SHIFT_LIMIT_USE,
                window_s: SHIFT_WINDOW_S,
                // Lost capacity shifts no faster than any other change; requests without a usable
                // target go to another region at once in any case.
                capacity_loss_threshold: 1.0,
            }),
            quota_split,
            ..Self::default()
        }
    }
}

/// Returns the forwarder and the bound on the bytes of callers' bodies; both share a part of the
/// instance's memory if that is known.
pub(crate) fn hold_bodies(cfg: &DaemonSettings, forwarder: Forwarder) -> (Forwarder, HeldBytes) {
    let Some(megabytes) = cfg.memory_mb else {
        return (forwarder, HeldBytes::new(callers::MAX_HELD_BYTES));
    };
    let memory = usize::try_from(megabytes).unwrap_or(usize::MAX);
    let bytes = memory.saturating_mul(BYTES_PER_MB) / BODY_MEMORY_DIVISOR;
    let held = HeldBytes::new(bytes);
    (forwarder.held(held.clone()), held)
}

/// Logs the unknown fields of the settings, which this build ignores.
pub fn log_unknown(unknown: &[Finding]) {
    for finding in unknown {
        tracing::warn!(
            event = "setting_ignored",
            field = finding.field,
            line = finding.line
        );
    }
}

/// Logs which settings have changed in a reload and take effect only after a restart.
pub fn log_reload(old: &DaemonSettings, new: &DaemonSettings) {
    let json = |cfg: &DaemonSettings| serde_json::to_value(cfg).unwrap_or_default();
    let (old, new) = (json(old), json(new));
    let changed: Vec<&str> = new
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, value)| {
            let is_shared = matches!(name.as_str(), "secret" | "slot_count");
            !is_shared && old.get(name.as_str()) != Some(*value)
        })
        .map(|(name, _)| name.as_str())
        .collect();
    tracing::info!(event = "reload", needs_restart = ?changed);
}
