//! Messages between the owner of a quota, which grants tokens, and the holders that spend them.
//!
//! A holder spends the reservations of its slots without contacting anyone, and requests
//! short-lived grants from the owner when its demand is higher. Holders and owner together never
//! exceed the whole quota: outstanding tokens count against the owner's burst until they are
//! reported spent, returned or expired, and a grant expires for its holder before it does for its
//! owner.
//!
//! While an owner can be reached, holders lend it their reservations for a few seconds at a time,
//! so that no quota stays idle where there is no demand. A loan that is not renewed expires: first
//! for the owner, then, once the grants made from it have expired, for the lender.

use std::time::Duration;

use base::InstanceId;
use serde::{Deserialize, Serialize};

/// Requests tokens from the owner and reports the use of earlier grants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Number of this request within the holder's incarnation; the same when it is sent again.
    pub serial: u64,
    /// Requests of callers that wait for a token.
    pub waiting: u32,
    /// Tokens wanted for waiting requests and for those expected soon.
    pub wanted: u32,
    /// Use of the recent grants, which the owner may still count as outstanding.
    pub usage: Vec<GrantUsage>,
}

/// Reports how much of one grant has been used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantUsage {
    /// Epoch of the owner that made the grant, or zero if no grant arrived.
    pub epoch: u64,
    /// Number of the request that the grant answered.
    pub serial: u64,
    /// Tokens that the holder may still spend; zero once the grant has expired for it.
    pub unspent: u32,
    /// Tokens spent.
    pub spent: u32,
}

/// Answers a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the request.
    pub serial: u64,
    /// Tokens granted.
    pub tokens: u32,
    /// Delay after which another request may be granted more.
    pub retry_after: Duration,
}

/// Indicates whether a holder admits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// A token was taken for the request.
    Admit,
    /// No token is available here; the owner may grant one.
    Wait,
    /// The quota is used up; a retry may succeed after this delay.
    Refuse(Duration),
}

/// Identifies the owner of a quota during one epoch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerId {
    /// Instance that is the owner.
    pub instance: InstanceId,
    /// Epoch in which it is the owner.
    pub epoch: u64,
}

/// Lends one reservation to an owner for [`QuotaSplit::loan_ttl`](crate::QuotaSplit::loan_ttl).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the reservation.
    pub reservation: u32,
    /// Number of the loan, which increases with each loan of the reservation.
    pub serial: u64,
    /// Tokens that the reservation held and that pass to the owner.
    pub tokens: u32,
}
