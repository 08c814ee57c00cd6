//! The part of a service's requests that may run in one region only, according to the configuration.

use std::collections::BTreeMap;

use base::{AllowedRegions, Config, RegionId, Route, ServiceId};

/// Returns the part of a service's requests that each region alone may run, by the homes of the service's
/// routes and of the workspaces.
///
/// A route counts with the service's weight in it and a workspace with its rate limit: nothing else is known
/// of what callers will ask for, and nothing at all for routes that need no key.
pub(super) fn bound_parts(config: &Config, service: &ServiceId) -> BTreeMap<RegionId, f64> {
    // Large configurations have many routes and workspaces, but few different homes.
    let mut routes = BTreeMap::new();
    for route in config.routes.iter().filter(|route| !route.is_open) {
        let (_, weight) = routes.entry(&route.homes).or_insert((Some(route), 0.0));
        *weight += weight_of(route, service);
    }
    let mut workspaces = BTreeMap::new();
    for workspace in config.workspaces.values() {
        let (_, rate) = workspaces
            .entry(&workspace.homes)
            .or_insert((workspace, 0.0));
        *rate += workspace.rate;
    }
    let routes: Vec<(Option<&Route>, f64)> = match config.routes.is_empty() {
        true => vec![(None, 1.0)],
        false => routes.into_values().collect(),
    };
    let weights: f64 = routes.iter().map(|(_, weight)| weight).sum();
    let rates: f64 = workspaces.values().map(|(_, rate)| rate).sum();
    let mut parts = BTreeMap::new();
    if weights <= 0.0 || rates <= 0.0 {
        return parts;
    }
    for (route, weight) in &routes {
        for (workspace, rate) in workspaces.values() {
            if let Some(region) = AllowedRegions::of(*route, Some(workspace)).single() {
                *parts.entry(region.clone()).or_insert(0.0) += weight / weights * rate / rates;
            }
        }
    }
    parts
}

/// Returns the service's share of a route's requests.
fn weight_of(route: &Route, service: &ServiceId) -> f64 {
    let total: u32 = route.services.iter().map(|weighted| weighted.weight).sum();
    let own = route
        .services
        .iter()
        .filter(|weighted| weighted.service == *service)
        .map(|weighted| weighted.weight);
    f64::from(own.sum::<u32>()) / f64::from(total.max(1))
}
