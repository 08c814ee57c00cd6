//! Units granted by an owner to holders, and holders that spend them.
//!
//! A holder has a floor that needs no contact with anyone, and asks the owner for short-lived
//! grants when its demand is higher. The sum over all holders and the owner never passes the
//! whole quota: outstanding units count against the owner's burst until they are reported spent,
//! returned or expired, and a grant expires for its holder before it does for its owner.
//!
//! While an owner can be reached, holders lend it their floors for a few seconds at a time, so
//! that nothing lies idle where there is no demand. A loan that is not renewed ends by itself:
//! first for the owner, then, once the grants made from it have expired, for the lender.

use std::time::Duration;

use base::InstanceId;
use serde::{Deserialize, Serialize};

/// Asks the owner for units and reports what became of earlier grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Number of this ask within the holder's life; repeated when it is sent again.
    pub serial: u64,
    /// Requests that wait for a unit.
    pub waiting: u32,
    /// Units wanted, those for waiting requests and for ones expected soon.
    pub wanted: u32,
    /// Grants of the last seconds.
    pub usage: Vec<GrantUsage>,
}

/// Reports one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantUsage {
    /// Epoch of the owner that granted it, zero where no grant came.
    pub epoch: u64,
    /// Number of the ask that it answered.
    pub serial: u64,
    /// Units not spent yet that the holder may still spend.
    pub unspent: u32,
    /// Units spent.
    pub spent: u32,
}

/// Answers a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the ask.
    pub serial: u64,
    /// Units granted.
    pub tokens: u32,
    /// Time after which asking again is worthwhile.
    pub retry_after: Duration,
}

/// Tells what a holder decides on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// A unit was taken.
    Admit,
    /// No unit is here; the owner's answer will tell.
    Wait,
    /// The quota is used up; asking again is worthwhile after this time.
    Refuse(Duration),
}

/// Names one tenure of an owner that floors are lent to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerId {
    /// Instance that owns.
    pub instance: InstanceId,
    /// Number of the tenure.
    pub epoch: u64,
}

/// Lends the floor of one slot to a borrower for [`QuotaSplit::loan_ttl`](crate::QuotaSplit::loan_ttl).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the slot.
    pub reservation: u32,
    /// Number of the loan; rises with each loan of the slot.
    pub serial: u64,
    /// Units that the floor held and that go over to the borrower.
    pub tokens: u32,
}
