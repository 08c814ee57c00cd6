//! What instances store in the platform's tables when it is restored from an older copy of them.

mod claims;
mod facts;
mod first_start;
#[path = "../support/claims.rs"]
mod ledger;
mod list;
#[path = "../support/paused.rs"]
mod paused;
mod store;
