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

pub use audit::WindowAudit;
pub use fanout::{FanOut, children};
pub use grant::{Ask, Borrower, Grant, Holding, Loan, Verdict};
pub use holder::{Before, Holder};
pub use lease::{
    Lease, LeaseChart, LeaseEvent, LeaseRow, LeaseState, LeaseWrite, Terms, Written, lease_chart,
};
pub use owner::Owner;
pub use quota::{Bucket, Quota, Split};
pub use replica::{Replica, ReplicaRow, RowChange, TableImage};
pub use roster::{Heartbeat, ListEntry, Member, Presence, Roster, rank};
pub use versioned::{Head, Offer, Standing, Versioned};
