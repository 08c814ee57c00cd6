//! Where a request may run.

use std::{collections::BTreeSet, sync::Arc};

use derive_more::Display;

use crate::{RegionId, Route, Workspace};

/// Specifies in which regions a request may run.
///
/// # Examples
///
/// ```
/// use base::AllowedRegions;
///
/// let north = AllowedRegions::only(&["north".into()].into());
/// assert!(north.contains(&"north".into()));
/// assert!(!north.contains(&"south".into()));
/// assert!(AllowedRegions::All.contains(&"south".into()));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Display)]
pub enum AllowedRegions {
    /// In every region.
    #[default]
    #[display("all")]
    All,
    /// In these regions; nowhere if there are none.
    #[display("{}", join(_0))]
    Only(Arc<BTreeSet<RegionId>>),
}

impl AllowedRegions {
    /// Returns the regions that the homes of both a route and a workspace allow.
    pub fn of(route: Option<&Route>, workspace: Option<&Workspace>) -> Self {
        let homes = [
            route.map(|route| &route.homes),
            workspace.map(|workspace| &workspace.homes),
        ];
        let mut bound = homes
            .into_iter()
            .flatten()
            .filter(|homes| !homes.is_empty());
        match (bound.next(), bound.next()) {
            (None, _) => Self::All,
            (Some(homes), None) => Self::only(homes),
            (Some(one), Some(other)) => Self::only(&(one & other)),
        }
    }

    /// Returns these regions alone, or none at all where `regions` is empty.
    pub fn only(regions: &BTreeSet<RegionId>) -> Self {
        Self::Only(Arc::new(regions.clone()))
    }

    /// Returns no region at all.
    pub fn nowhere() -> Self {
        Self::Only(Arc::default())
    }

    /// Returns whether the request may run in `region`; a region that is not known is none of those
    /// that a request is bound to.
    pub fn contains(&self, region: &RegionId) -> bool {
        match self {
            Self::All => true,
            Self::Only(regions) => region.is_known() && regions.contains(region),
        }
    }

    /// Returns whether the request may run in every region.
    pub fn is_all(&self) -> bool {
        matches!(self, Self::All)
    }

    /// Returns the region to which the request is bound, if it is a single one.
    pub fn single(&self) -> Option<&RegionId> {
        match self {
            Self::Only(regions) if regions.len() == 1 => regions.first(),
            Self::All | Self::Only(_) => None,
        }
    }
}

/// Returns the names of regions, separated by commas, or `none`.
fn join(regions: &BTreeSet<RegionId>) -> String {
    if regions.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<&str> = regions.iter().map(RegionId::as_str).collect();
    names.join(",")
}
