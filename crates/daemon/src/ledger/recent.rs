//! Claims and outcomes that an instance has lately written or read, which a platform that is restored from an older
//! copy of its tables may lack.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::Time;
use dispatch::Claimer;

use super::claim::{ClaimRow, RowState, text_within_limit};

/// Time for which a row is remembered at least; copies from which a platform is restored are younger.
const KEEP_TIME: Duration = Duration::from_secs(120);
const MAX_ROWS: usize = 4_096;
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Remembers the content of recent claims' rows, and which of them exist in the platform's latest era.
#[derive(Debug, Default)]
pub(super) struct RecentClaims {
    rows: BTreeMap<String, RecentClaim>,
    by_age: BTreeSet<(Time, String)>,
    bytes: usize,
}

#[derive(Debug)]
struct RecentClaim {
    claim: ClaimRow,
    bytes: usize,
    at: Time,
    /// Era in which the row is known to exist; `None` if it has to be written again in any.
    era: Option<u32>,
}

impl RecentClaims {
    /// Remembers a row that was written or read in `era`, of which there may be later ones.
    pub(super) fn record(
        &mut self,
        now: Time,
        latest: u32,
        name: &str,
        (claim, era): (ClaimRow, u32),
    ) {
        self.insert(now, latest, name, (claim, Some(era)));
    }

    /// Remembers the outcome of a claim, unless another one has followed it.
    pub(super) fn settle(
        &mut self,
        now: Time,
        latest: u32,
        name: &str,
        settled: (Claimer, RowState),
    ) {
        let (claimer, state) = settled;
        let Some(recent) = self.rows.get(name) else {
            return;
        };
        if recent.claim.claimer != claimer || recent.claim.state != RowState::Open {
            return;
        }
        let (claim, era) = (recent.claim.clone(), recent.era);
        self.insert(now, latest, name, (ClaimRow { state, ..claim }, era));
    }

    /// Records that a row was found missing.
    pub(super) fn on_lost(&mut self, name: &str) {
        if let Some(recent) = self.rows.get_mut(name) {
            recent.era = None;
        }
    }

    /// Returns the latest row that isn't known to exist in `era`.
    pub(super) fn next_unconfirmed(&self, era: u32) -> Option<(String, ClaimRow)> {
        let names = self.by_age.iter().rev().map(|(_, name)| name);
        let mut recent = names.filter_map(|name| Some((name, self.rows.get(name)?)));
        let (name, recent) = recent.find(|(_, recent)| recent.era != Some(era))?;
        Some((name.clone(), recent.claim.clone()))
    }

    /// Returns the number of rows since a time that aren't known to exist in `era`.
    pub(super) fn unconfirmed_since(&self, since: Time, era: u32) -> usize {
        let names = self.by_age.range((since, String::new())..);
        let recent = names.filter_map(|(_, name)| self.rows.get(name));
        recent.filter(|recent| recent.era != Some(era)).count()
    }

    /// Records that a row exists in `era` as `claim`, unless its outcome has become known meanwhile.
    pub(super) fn confirm(&mut self, name: &str, claim: &ClaimRow, era: u32) {
        if let Some(recent) = self.rows.get_mut(name)
            && recent.claim == *claim
        {
            recent.era = Some(era);
        }
    }

    /// Returns the number of rows.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    fn insert(
        &mut self,
        now: Time,
        latest: u32,
        name: &str,
        (claim, era): (ClaimRow, Option<u32>),
    ) {
        self.remove(name);
        let (claim, text) = text_within_limit(claim);
        let bytes = name.len() + text.len();
        self.bytes += bytes;
        self.by_age.insert((now, name.to_owned()));
        let recent = RecentClaim {
            claim,
            bytes,
            at: now,
            era,
        };
        self.rows.insert(name.to_owned(), recent);
        self.forget_old(now, latest);
    }

    /// Removes the oldest rows beyond the bounds, and those beyond [`KEEP_TIME`] that exist in the latest era.
    fn forget_old(&mut self, now: Time, latest: u32) {
        while let Some((at, name)) = self.by_age.first().cloned() {
            let is_beyond = self.rows.len() > MAX_ROWS || self.bytes > MAX_BYTES;
            let is_old = now - at >= KEEP_TIME;
            let stands = self.rows.get(&name).and_then(|recent| recent.era) == Some(latest);
            if !(is_beyond || is_old && stands) {
                return;
            }
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(old) = self.rows.remove(name) {
            self.bytes -= old.bytes;
            self.by_age.remove(&(old.at, name.to_owned()));
        }
    }
}

/// Returns whether a row has to be replaced by what is known of its action.
///
/// Of the claims of an action, at most one at a time isn't released, and no other follows its outcome. So a row that
/// is open or released for another request is older than a claim that isn't released.
pub(super) fn is_outdated(row: Option<&ClaimRow>, known: &ClaimRow) -> bool {
    let Some(row) = row else {
        return known.state != RowState::Released;
    };
    let is_same = row.claimer == known.claimer;
    match (&row.state, &known.state) {
        (RowState::Done(_) | RowState::Unknown, _) => false,
        (RowState::Released, RowState::Released) => false,
        (RowState::Released, _) => !is_same,
        (RowState::Open, RowState::Open) => !is_same,
        (RowState::Open, RowState::Released) => is_same,
        (RowState::Open, RowState::Done(_) | RowState::Unknown) => true,
    }
}
