//! Claims and outcomes of actions whose records another instance or the platform's table stores.

use std::{sync::Arc, time::Duration};

use base::{ErrorKind, Incarnation, InstanceId};
use dispatch::{ClaimOutcome, Claimer};
use platform::Platform;
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};
use wire::Secret;

use super::claim::ClaimNote;
use crate::{
    fleet::Fleet,
    rpc::{self, Call, Reply},
};

/// Number of attempts to record an action's outcome at a remote home or in the table.
pub(super) const MAX_SETTLE_ATTEMPTS: u32 = 5;
pub(super) const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Claims and settles actions at other instances and in the platform's table.
#[derive(Debug, Clone)]
pub(super) struct RemoteClaims {
    pub(super) platform: Platform,
    pub(super) secret: Secret,
    pub(super) fleet: watch::Receiver<Arc<Fleet>>,
    /// Latest era of the platform's history that is known.
    pub(super) eras: watch::Receiver<u32>,
    /// Era in which no claim's row is missing, as the task that writes them again reports.
    pub(super) certain: watch::Receiver<Option<u32>>,
    pub(super) notes: mpsc::UnboundedSender<ClaimNote>,
}

impl RemoteClaims {
    pub(super) async fn claim_at_home(
        &self,
        home: &InstanceId,
        incarnation: Incarnation,
        call: &Call,
    ) -> Result<ClaimOutcome, ErrorKind> {
        let member = self.fleet.borrow().members.get(home).cloned();
        let Some(member) = member else {
            // An instance that was never listed and sent no heartbeat can't have a record.
            return Err(ErrorKind::BadRequest);
        };
        if member.incarnation.is_some_and(|known| known != incarnation) || member.is_gone {
            return Ok(ClaimOutcome::Unknown);
        }
        let addr = member.addr.ok_or(ErrorKind::ClaimUnavailable)?;
        match rpc::call(&self.secret, addr, call).await {
            Some(Reply::Claim(claim)) => Ok(claim),
            // The home may have a record of an earlier execution but can't be reached now.
            _ => Err(ErrorKind::OutcomeUnknown),
        }
    }

    /// Records an outcome at the action's home, and returns whether the home confirmed it.
    pub(super) async fn settle_at_home(&self, home: &InstanceId, call: &Call) -> bool {
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            let addr = self
                .fleet
                .borrow()
                .members
                .get(home)
                .and_then(|member| member.addr);
            let Some(addr) = addr else {
                return false;
            };
            if rpc::call(&self.secret, addr, call).await.is_some() {
                return true;
            }
            sleep(SETTLE_RETRY_DELAY).await;
        }
        false
    }

    /// Returns whether the incarnation that claimed an action is known to have ended.
    pub(super) fn has_ended(&self, claimer: &Claimer) -> bool {
        self.fleet
            .borrow()
            .members
            .get(&claimer.instance)
            .is_some_and(|member| {
                member.is_gone
                    || member
                        .incarnation
                        .is_some_and(|incarnation| incarnation != claimer.incarnation)
            })
    }
}
