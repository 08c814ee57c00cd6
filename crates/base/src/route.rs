//! Route lookup by host and path.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use crate::{Config, Route};

/// Indexes routes by host and path prefix and finds the one with the longest matching prefix.
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
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table from a configuration's routes; of those with the same host and prefix, the first
    /// one counts.
    pub fn new(config: &Config) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            let prefixes = hosts.entry(host).or_default();
            prefixes
                .entry(route.prefix.clone())
                .or_insert_with(|| Arc::new(route.clone()));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix of `path`, or `None` if no route matches.
    ///
    /// The port in `host` and its case are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        let mut rest = path;
        loop {
            let range = (Bound::Unbounded, Bound::Included(rest));
            let (prefix, route) = prefixes.range::<str, _>(range).next_back()?;
            // In this order, the longest prefix of `rest` is the last one up to it, unless prefixes of
            // other paths lie between; those share with `rest` all that is left to search.
            if rest.starts_with(prefix) {
                return Some(route);
            }
            rest = &rest[..common_len(prefix, rest)];
        }
    }

    /// Returns `true` if the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Returns the length of what two texts begin with, in whole characters.
fn common_len(one: &str, other: &str) -> usize {
    let pairs = one.bytes().zip(other.bytes());
    let equal = pairs.take_while(|(one, other)| one == other).count();
    other.floor_char_boundary(equal)
}
