//! Coordination through a shared table: leases, rosters, divided quotas and versioned state.
//!
//! Every part is sans-IO: calls take an event and `now` on the caller's monotonic clock, and
//! return what to write or send. Nothing here opens a socket, starts a task or reads a clock, so
//! that the parts can be embedded in any program with a table that compares and swaps.

mod audit;
mod demand;
mod fanout;
mod grant;
mod holder;
mod lease;
mod owner;
mod quota;
mod replica;
mod roster;
mod versioned;

pub use audit::QuotaAudit;
pub use fanout::{FanOut, children};
pub use grant::{AdmissionDecision, Grant, GrantRequest, GrantUsage, Loan, OwnerId};
pub use holder::{QuotaHolder, SlotHistory};
pub use lease::{
    Lease, LeaseChart, LeaseEvent, LeaseRow, LeaseState, LeaseTiming, LeaseWrite, WriteOutcome,
    lease_chart,
};
pub use owner::QuotaOwner;
pub use quota::{Quota, QuotaSplit, TokenBucket};
pub use replica::{Replica, ReplicaRow, RowChange, TableSnapshot};
pub use roster::{Heartbeat, ListEntry, Member, Membership, Presence, rendezvous_rank};
pub use versioned::{Freshness, Head, OfferOutcome, VersionTracker};
