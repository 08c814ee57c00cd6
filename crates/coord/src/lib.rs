//! Coordination through a shared table: leases, membership, divided quotas and versioned state.
//!
//! Every type is sans-IO: calls take an event and `now` on the caller's monotonic clock, and return
//! what to write or send. Nothing here opens a socket, starts a task or reads a clock, so the types
//! can be embedded in any program that has a table with compare-and-swap.

mod answer_dates;
mod audit;
mod catch_up;
mod demand;
mod departures;
mod fanout;
mod grant;
mod holder;
mod kept_rows;
mod lag;
mod lease;
mod membership;
mod owner;
pub mod parts;
mod quota;
mod readers;
mod replica;
mod rows_check;
mod rows_report;
mod shown_changes;
mod standstill;
mod table_rows;
mod turn_lag;
mod version_tracker;

pub use answer_dates::{Answer, AnswerDates};
pub use audit::QuotaAudit;
pub use catch_up::{CatchUp, FetchDelays};
pub use departures::{
    Departure, Departures, ReportedDepartures, RetainedEntry, lacking, retained_in_turns,
};
pub use fanout::{FanOut, children};
pub use grant::{AdmissionDecision, Grant, GrantRequest, GrantUsage, Loan, OwnerId};
pub use holder::{QuotaHolder, SlotHistory};
pub use kept_rows::{KeptRows, RowOrder, unordered_rows};
pub use lag::{Lag, PositionTimes};
pub use lease::{
    Lease, LeaseChart, LeaseEvent, LeaseRow, LeaseState, LeaseTiming, LeaseWrite, WriteOutcome,
    lease_chart,
};
pub use membership::{
    Heartbeat, ListEntry, Member, Membership, Presence, rendezvous_draw, rendezvous_rank,
};
pub use owner::QuotaOwner;
pub use quota::{Quota, QuotaSplit, TokenBucket};
pub use readers::{ReaderTiming, Readers, Reading};
pub use replica::Replica;
pub use rows_check::{RowsCheck, RowsDifference, RowsVerdict};
pub use rows_report::{RowsDigest, RowsReport};
pub use shown_changes::{KnownChange, ShownChanges};
pub use standstill::{MIN_STANDSTILL, Standstills};
pub use table_rows::{ReplicaRow, RowChange, TableSnapshot};
pub use turn_lag::{TURN_INTERVAL, TurnLag};
pub use version_tracker::{Freshness, Head, OfferOutcome, VersionTracker};
