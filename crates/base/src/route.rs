//! Route lookup by host and path.

use std::{collections::BTreeMap, sync::Arc};

use crate::{Config, Route};

/// Indexes routes by host and finds the one with the longest matching path prefix.
///
/// # Examples
///
/// ```
/// use base::{Config, RouteTable};
///
/// let table = RouteTable::new(&Config::default());
/// assert!(table.find("a.example", "/x/").is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table from a configuration's routes.
    pub fn new(config: &Config) -> Self {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            // `find` takes the first match, which must have the longest prefix.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix of `path`, or `None` if no route matches.
    ///
    /// The port in `host` and its case are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns `true` if the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
