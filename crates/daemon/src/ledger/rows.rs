//! Claims of actions as rows of a table of the platform.

use base::ErrorKind;
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, SavedAnswer};
use platform::{PlatformError, Precondition, Write};
use tokio::time::sleep;

use super::{
    claim::{CLAIM_TABLE, ClaimNote, ClaimRow, RowState, row_name, text_within_limit},
    remote::{MAX_SETTLE_ATTEMPTS, RemoteClaims, SETTLE_RETRY_DELAY},
};

impl RemoteClaims {
    /// Claims an action by inserting a row; if the insert fails or is not answered, the row that is
    /// then read determines the result.
    ///
    /// While rows may be missing since the platform was restored from an older copy of its tables, only an outcome that
    /// exists there is believed, and anything else is refused.
    pub(super) async fn claim_row(
        &self,
        key: &ActionKey,
        claimer: &Claimer,
        fingerprint: u64,
    ) -> Result<ClaimOutcome, ErrorKind> {
        let era = self.certain_era();
        let name = row_name(key);
        let new_row = ClaimRow {
            claimer: claimer.clone(),
            fingerprint,
            state: RowState::Open,
        };
        if era.is_some()
            && self
                .put(&name, &new_row, Precondition::Absent)
                .await
                .is_ok()
        {
            return self.grant(key, new_row, era);
        }
        let unavailable = |_: PlatformError| ErrorKind::ClaimUnavailable;
        let row = self.platform.get(CLAIM_TABLE, &name).await;
        let Some(row) = row.map_err(unavailable)? else {
            if era.is_some() {
                // The insert may still take effect later: release the claim if it does.
                self.release_later(key, claimer);
            }
            return Err(ErrorKind::ClaimUnavailable);
        };
        let existing: ClaimRow =
            serde_json::from_str(&row.value).map_err(|_| ErrorKind::OutcomeUnknown)?;
        if existing.fingerprint != fingerprint {
            return Ok(ClaimOutcome::Reused);
        }
        let is_certain = era.is_some() && self.certain_era() == era;
        match existing.state {
            RowState::Open if existing.claimer == *claimer => self.grant(key, new_row, era),
            RowState::Open | RowState::Released if !is_certain => Err(ErrorKind::ClaimUnavailable),
            RowState::Open if self.has_ended(&existing.claimer) => {
                let state = RowState::Unknown;
                self.note_settled(&name, ClaimRow { state, ..existing });
                Ok(ClaimOutcome::Unknown)
            }
            RowState::Open => Ok(ClaimOutcome::InProgress),
            RowState::Unknown => {
                self.note_settled(&name, existing);
                Ok(ClaimOutcome::Unknown)
            }
            RowState::Done(ref answer) => {
                let answer = answer.clone();
                self.note_settled(&name, existing);
                Ok(ClaimOutcome::Done(answer))
            }
            RowState::Released => {
                let expected = Precondition::Version(row.version);
                let reclaimed = self.put(&name, &new_row, expected).await;
                reclaimed.map_err(unavailable)?;
                self.grant(key, new_row, era)
            }
        }
    }

    /// Grants a claim whose row exists, or releases it if the row of an earlier one may have been missing as it was
    /// written in `era`.
    fn grant(
        &self,
        key: &ActionKey,
        row: ClaimRow,
        era: Option<u32>,
    ) -> Result<ClaimOutcome, ErrorKind> {
        let claimer = row.claimer.clone();
        let stood = ClaimNote::Stood(row_name(key), row, era.unwrap_or_default());
        let _ = self.notes.send(stood);
        if era.is_some() && self.certain_era() == era {
            return Ok(ClaimOutcome::Granted);
        }
        self.release_later(key, &claimer);
        Err(ErrorKind::ClaimUnavailable)
    }

    /// Returns the latest era if no claim's row can be missing in it.
    fn certain_era(&self) -> Option<u32> {
        let latest = *self.eras.borrow();
        (*self.certain.borrow()).filter(|era| *era == latest)
    }

    fn release_later(&self, key: &ActionKey, claimer: &Claimer) {
        let (remote, key, claimer) = (self.clone(), key.clone(), claimer.clone());
        tokio::spawn(async move {
            sleep(SETTLE_RETRY_DELAY).await;
            remote
                .settle_row(&key, &claimer, ActionEvent::NotRun, None)
                .await;
        });
    }

    /// Lets an outcome that exists be written again if it gets lost.
    fn note_settled(&self, name: &str, row: ClaimRow) {
        let era = *self.eras.borrow();
        let stood = ClaimNote::Stood(name.to_owned(), row, era);
        let _ = self.notes.send(stood);
    }

    async fn put(
        &self,
        name: &str,
        row: &ClaimRow,
        expected: Precondition,
    ) -> Result<(), PlatformError> {
        let (_, text) = text_within_limit(row.clone());
        let write = Write::new(CLAIM_TABLE, name).value(&text).expect(expected);
        self.platform.write(vec![write]).await.map(|_| ())
    }

    /// Records an outcome in the action's row, and returns whether that succeeded.
    pub(super) async fn settle_row(
        &self,
        key: &ActionKey,
        claimer: &Claimer,
        event: ActionEvent,
        answer: Option<SavedAnswer>,
    ) -> bool {
        let state = match (event, answer) {
            (ActionEvent::Answered, Some(answer)) => RowState::Done(answer),
            (ActionEvent::NotRun, _) => RowState::Released,
            _ => RowState::Unknown,
        };
        let name = row_name(key);
        let settled = ClaimNote::Settled(name.clone(), claimer.clone(), state.clone());
        let _ = self.notes.send(settled);
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            if self.try_settle_row(&name, claimer, &state).await.is_ok() {
                return true;
            }
            sleep(SETTLE_RETRY_DELAY).await;
        }
        false
    }

    async fn try_settle_row(
        &self,
        name: &str,
        claimer: &Claimer,
        state: &RowState,
    ) -> Result<(), PlatformError> {
        let Some(row) = self.platform.get(CLAIM_TABLE, name).await? else {
            let _ = self.notes.send(ClaimNote::Lost(name.to_owned()));
            return Ok(());
        };
        let Ok(existing) = serde_json::from_str::<ClaimRow>(&row.value) else {
            return Ok(());
        };
        if existing.claimer != *claimer || existing.state != RowState::Open {
            return Ok(());
        }
        let state = state.clone();
        let settled = ClaimRow { state, ..existing };
        self.put(name, &settled, Precondition::Version(row.version))
            .await
    }
}
